package standincmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/standin/observe"
)

func newObserve(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "observe",
		Usage:     "Tell what the boxes of a fleet spend, or wait until a version is in force on all",
		UsageText: "sprucecrank-standin observe --admin 127.0.0.1:8201 --for 20s\n   sprucecrank-standin observe --admin 127.0.0.1:8201 --object config/service/look --version 7",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "admin", Required: true, Usage: "administration address of a box"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second},
			&cli.StringFlag{Name: "object", Usage: "wait for this object instead"},
			&cli.Uint64Flag{Name: "version"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.String("object") != "" {
				return observeVersion(ctx, c, out)
			}
			return observeFleet(ctx, c, out)
		},
	}
}

func observeVersion(ctx context.Context, c *cli.Command, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("for"))
	defer cancel()
	began := time.Now()
	if err := observe.InForce(ctx, c.StringSlice("admin"), c.String("object"), c.Uint64("version")); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "in force on %d boxes after %s\n", len(c.StringSlice("admin")), time.Since(began).Round(time.Millisecond))
	return err
}

func observeFleet(ctx context.Context, c *cli.Command, out io.Writer) error {
	r, err := observe.Fleet(ctx, c.StringSlice("admin"), c.Duration("for"))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "boxes %d cpu%% %.2f (most %.2f) memory MB %.1f (most %.1f) messages/s %.1f bytes/s %.0f (most %.0f) platform reads/s %.2f writes/s %.2f\n",
		r.Boxes, r.CPU, r.CPUMost, r.MemoryMB, r.MemoryMBMost, r.Messages, r.Bytes, r.BytesMost, r.Reads, r.Writes)
	return err
}

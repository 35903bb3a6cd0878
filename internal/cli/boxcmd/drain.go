package boxcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

type drainOptions struct {
	factory *cmdutil.Factory
	id      string
}

func newDrain(f *cmdutil.Factory, run func(context.Context, *drainOptions) error) *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "Stop a box: it ends its requests first",
		UsageText: "sprucecrank box drain ID\n\nEXAMPLE:\n   sprucecrank box drain box-1",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return cmdutil.Usage("name one box; see: sprucecrank box list")
			}
			return run(ctx, &drainOptions{factory: f, id: c.Args().First()})
		},
	}
}

func runDrain(ctx context.Context, o *drainOptions) error {
	boxes, err := Find(ctx, o.factory, o.id)
	if err != nil {
		return err
	}
	if err := o.factory.Post("http://" + boxes[0].Admin + "/drain"); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.factory.IO.Out, "box %s: draining\n", o.id)
	return err
}

// Package standincmd is the command line of the stand-ins: the platform, a
// target, and the load driver.
//
// # Usage
//
//	os.Exit(standincmd.Main(os.Args, os.Stdout, os.Stderr))
package standincmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/standin/load"
	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

const shutdownWithin = 30 * time.Second

// Main runs a stand-in and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command := &cli.Command{
		Name:      "sprucecrank-standin",
		Usage:     "Stand in for what surrounds sprucecrank, and drive load",
		Writer:    out,
		ErrWriter: errOut,
		Commands:  []*cli.Command{newPlatform(), newTarget(), newMember(), newLoad(out), newKey(out)},
	}
	if err := command.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintf(errOut, "sprucecrank-standin: %v\n", err)
		return 1
	}
	return 0
}

func serve(ctx context.Context, listen string, h http.Handler, stopping func()) error {
	server := &http.Server{Addr: listen, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		stopping()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownWithin)
		defer cancel()
		done <- server.Shutdown(ctx)
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-done
}

func newPlatform() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "Stand in for the platform's object API",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), platformsim.New().Handler(), func() {})
		},
	}
}

func newTarget() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "Stand in for a server of a service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9000"},
			&cli.IntFlag{Name: "slots", Value: 3},
			&cli.IntFlag{Name: "queue", Value: 6, Usage: "requests that wait inside the target before it sheds"},
			&cli.DurationFlag{Name: "work", Value: 40 * time.Millisecond},
			&cli.DurationFlag{Name: "probe", Value: 5 * time.Millisecond},
			&cli.DurationFlag{Name: "leave-for", Value: time.Second, Usage: "how long a stopping target says that it leaves before it stops"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			t := targetsim.New(targetsim.Options{
				Slots: c.Int("slots"), Queue: c.Int("queue"), Work: c.Duration("work"), Probe: c.Duration("probe"),
			})
			leave := func() {
				t.SetFaults(targetsim.Faults{Leaving: true})
				time.Sleep(c.Duration("leave-for"))
			}
			return serve(ctx, c.String("listen"), t.Handler(), leave)
		},
	}
}

func newMember() *cli.Command {
	return &cli.Command{
		Name:  "member",
		Usage: "Put a box or target into the platform stand-in's list, as the platform would",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Value: "127.0.0.1:7000"},
			&cli.StringFlag{Name: "list", Value: "boxes", Usage: "boxes or targets"},
			&cli.StringFlag{Name: "id", Required: true},
			&cli.StringFlag{Name: "address", Required: true, Usage: "peer address of a box, or address of a target"},
			&cli.StringFlag{Name: "admin", Usage: "administration address of a box"},
			&cli.StringFlag{Name: "hall", Required: true},
			&cli.StringFlag{Name: "state", Value: string(store.Live), Usage: "live or leaving"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			m := store.Member{
				ID: c.String("id"), Address: c.String("address"), Admin: c.String("admin"),
				Hall: c.String("hall"), State: store.State(c.String("state")),
			}
			return putMember(ctx, c.String("platform"), c.String("list"), m)
		},
	}
}

func putMember(ctx context.Context, address, list string, m store.Member) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/control/members/"+list, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func newKey(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "Write a new Idempotency-Key",
		Action: func(context.Context, *cli.Command) error {
			id, err := uuid.NewV7()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(out, id)
			return err
		},
	}
}

// errNotWhole makes the load driver fail when an answer was not the own.
var errNotWhole = errors.New("some answers were not the own or not whole")

func newLoad(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "Send requests at a steady rate and report what became of them",
		UsageText: "sprucecrank-standin load --to 127.0.0.1:8001 --path /preview/7 --rate 100 --requests 1000",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "to", Required: true, Usage: "address of a box, or of a target for comparison"},
			&cli.StringSliceFlag{Name: "kind", Required: true, Usage: "NAME:METHOD:PATH:SHARE, or with :once at the end"},
			&cli.FloatFlag{Name: "rate", Value: 50, Usage: "requests per second"},
			&cli.IntFlag{Name: "requests", Value: 500},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "one-way", Usage: "time from the client to the box, each way"},
			&cli.BoolFlag{Name: "plot", Usage: "draw the latencies, too"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runLoad(ctx, c, out) },
	}
}

func runLoad(ctx context.Context, c *cli.Command, out io.Writer) error {
	kinds, err := parseKinds(c.StringSlice("kind"))
	if err != nil {
		return err
	}
	report := load.Run(ctx, load.Plan{
		Addresses: c.StringSlice("to"), Rate: c.Float("rate"), Requests: c.Int("requests"),
		Kinds: kinds, Seed: c.Uint64("seed"), OneWay: c.Duration("one-way"),
	})
	if err := report.WriteTable(out); err != nil {
		return err
	}
	if c.Bool("plot") {
		if err := report.WritePlot(out); err != nil {
			return err
		}
	}
	if report.Failed() {
		return errNotWhole
	}
	return nil
}

// Package explaincmd holds the command that tells what became of a request.
//
// # Usage
//
//	root.Commands = append(root.Commands, explaincmd.NewCommand(f))
package explaincmd

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/cli/timeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
)

type options struct {
	factory *cmdutil.Factory
	request string
	files   []string
	json    bool
	list    bool
}

// NewCommand makes the explain command.
func NewCommand(f *cmdutil.Factory) *cli.Command {
	o := &options{factory: f}
	return &cli.Command{
		Name:  "explain",
		Usage: "Tell from the gateways' logs what became of a request",
		UsageText: "sprucecrank explain REQUEST-ID FILE...\n" +
			"sprucecrank explain --failed FILE...\n\n" +
			"EXAMPLES\n" +
			"   sprucecrank explain 9c41d07be2a35f68 gateway-*.log\n" +
			"   cat gateway-*.log | sprucecrank explain --json 9c41d07be2a35f68 -\n" +
			"   sprucecrank explain --failed gateway-*.log",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.json},
			&cli.BoolFlag{Name: "failed", Usage: "list the requests that were not served, with the cause of each", Destination: &o.list},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			o.files = c.Args().Slice()
			if !o.list {
				o.request = c.Args().First()
				o.files = c.Args().Tail()
			}
			return run(o)
		},
	}
}

func run(o *options) error {
	if len(o.files) == 0 || !o.list && o.request == "" {
		return cmdutil.Usage("name a request and at least one log file (- for standard input)")
	}
	logs, err := read(o)
	if err != nil {
		return err
	}
	if logs.Torn() > 0 {
		_, _ = fmt.Fprintf(o.factory.IO.Err, "%d torn lines were left out\n", logs.Torn())
	}
	if o.list {
		return printFailed(o, logs)
	}
	told, ok := logs.Of(o.request)
	if !ok {
		return fmt.Errorf("no line of these logs names request %s; they tell of %d others", o.request, logs.Requests())
	}
	if o.json {
		return cmdutil.WriteJSON(o.factory.IO, told)
	}
	return print(o, told)
}

func read(o *options) (*timeline.Logs, error) {
	var all bytes.Buffer
	for _, file := range o.files {
		raw, err := o.factory.ReadInput(file)
		if err != nil {
			return nil, err
		}
		all.Write(raw)
		all.WriteByte('\n')
	}
	return timeline.Read(&all)
}

func printFailed(o *options, logs *timeline.Logs) error {
	ids := logs.NotServed()
	if o.json {
		stories := make([]timeline.Timeline, 0, len(ids))
		for _, id := range ids {
			told, _ := logs.Of(id)
			stories = append(stories, told)
		}
		return cmdutil.WriteJSON(o.factory.IO, stories)
	}
	var rows [][]string
	for _, id := range ids {
		told, _ := logs.Of(id)
		for i, line := range told.Lines {
			rows = append(rows, []string{id, strconv.Itoa(line.Status), told.Causes[i]})
		}
	}
	return cmdutil.Table(o.factory.IO, []string{"REQUEST", "STATUS", "CAUSE"}, rows)
}

func print(o *options, told timeline.Timeline) error {
	table := tabwriter.NewWriter(o.factory.IO.Out, 0, 0, 2, ' ', 0)
	for i, line := range told.Lines {
		began := line.Time.Add(-time.Duration(line.HeldMS * float64(time.Millisecond)))
		_, _ = fmt.Fprintf(table, "%s\t%s takes request %s\troute %s, service %s, configuration %d%s\n",
			began.Format(time.StampMilli), line.Gateway, told.Request, line.Route, line.Service, line.Config, whose(line))
		for _, target := range line.PassedOver {
			_, _ = fmt.Fprintf(table, "\tpassed over %s\t%s%s\n", target.Target, whyPassedOver(target), left(target))
		}
		for _, send := range line.Sends {
			what := "sent to"
			if send.Hedge {
				what = "also sent to"
			}
			_, _ = fmt.Fprintf(table, "\t%s %s in %s\t%d running, %d waiting, %d slots, %.1f times usual, read %.1f ms before; expected %.0f ms, ended after %.0f ms: %s%s\n",
				what, send.Target, where(send), send.Running, send.Waiting, send.Slots, send.Slowness, send.AgeMS, send.PredictedMS, send.TookMS, send.Result, asked(send))
		}
		_, _ = fmt.Fprintf(table, "%s\tended with %d after %.0f ms\t%s%s\n",
			line.Time.Format(time.StampMilli), line.Status, line.HeldMS, told.Causes[i], comeBack(line))
	}
	return table.Flush()
}

// whyPassedOver says what a target that was passed over had said of itself.
func whyPassedOver(target forward.PassedOver) string {
	if target.BackOff {
		return "it asked for back-off"
	}
	return "no request was left of the limit that it names"
}

// left says for how much longer a target was passed over, where that is known.
func left(target forward.PassedOver) string {
	if target.LeftMS == 0 {
		return ""
	}
	return fmt.Sprintf(", %.0f ms left", target.LeftMS)
}

// asked says for how long a target asked to be sent nothing in its answer.
func asked(send forward.Send) string {
	if send.RetryAfterMS == 0 {
		return ""
	}
	return fmt.Sprintf(", and asked for back-off of %.0f ms", send.RetryAfterMS)
}

// whose names the workspace of a request that has one.
func whose(line timeline.Line) string {
	if line.Workspace == "" {
		return ""
	}
	return ", workspace " + line.Workspace
}

// where is the hall of a send's target and, in a fleet that spans regions, its region
// and how far that is.
func where(send forward.Send) string {
	if send.Tier == "" {
		return send.Hall
	}
	return fmt.Sprintf("%s (%s, %s)", send.Hall, send.Region, send.Tier)
}

func comeBack(line timeline.Line) string {
	if line.RetryAfterMS <= 0 {
		return ""
	}
	return fmt.Sprintf("; the client was told to come back after %.0f ms", line.RetryAfterMS)
}

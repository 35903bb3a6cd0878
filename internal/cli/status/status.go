// Package status holds the status command: which version is in force on which
// box, what each home knows of its targets, and what measuring costs.
//
// # Usage
//
//	root.Commands = append(root.Commands, status.NewCommand(f))
package status

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/box"
	"github.com/sprucecrank/sprucecrank/internal/cli/boxcmd"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

type options struct {
	factory *cmdutil.Factory
	boxes   []string
	json    bool
}

// NewCommand makes the status command.
func NewCommand(f *cmdutil.Factory) *cli.Command {
	return newCommand(f, run)
}

func newCommand(f *cmdutil.Factory, run func(context.Context, *options) error) *cli.Command {
	o := &options{factory: f}
	return &cli.Command{
		Name:      "status",
		Usage:     "Tell which version is in force where, and how targets and queues stand",
		UsageText: "sprucecrank status [--admin ADDRESS ...]\n\nEXAMPLE:\n   sprucecrank status --admin 127.0.0.1:8201",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "write JSON for scripts", Destination: &o.json},
			&cli.StringSliceFlag{Name: "admin", Usage: "administration address of a box, when the platform is down", Destination: &o.boxes},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, o) },
	}
}

// answer is one box's status, or why there is none.
type answer struct {
	Box    string      `json:"box"`
	Status *box.Status `json:"status,omitempty"`
	Error  string      `json:"error,omitempty"`
}

func run(ctx context.Context, o *options) error {
	answers, err := collect(ctx, o)
	if err != nil {
		return err
	}
	if o.json {
		return cmdutil.WriteJSON(o.factory.IO, answers)
	}
	return write(o.factory, answers)
}

func collect(ctx context.Context, o *options) ([]answer, error) {
	asked := map[string]string{}
	var order []string
	for _, a := range o.boxes {
		asked[a] = a
		order = append(order, a)
	}
	if len(o.boxes) == 0 {
		members, err := boxcmd.Find(ctx, o.factory, "")
		if err != nil {
			return nil, err
		}
		for _, m := range members {
			asked[m.ID] = m.Admin
			order = append(order, m.ID)
		}
	}
	answers := make([]answer, 0, len(order))
	for _, id := range order {
		answers = append(answers, ask(o.factory, id, asked[id]))
	}
	return answers, nil
}

func ask(f *cmdutil.Factory, id, address string) answer {
	var s box.Status
	if err := f.GetJSON("http://"+address+"/status", &s); err != nil {
		return answer{Box: id, Error: err.Error()}
	}
	return answer{Box: s.ID, Status: &s}
}

func write(f *cmdutil.Factory, answers []answer) error {
	if err := cmdutil.Table(f.IO, []string{"BOX", "HALL", "STATE", "IN FLIGHT", "OBJECT", "VERSION", "IN FORCE FOR"}, versionRows(f, answers)); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(f.IO.Out)
	if err := cmdutil.Table(f.IO, []string{"SERVICE", "HOME", "QUEUE", "TARGET", "STATE", "SLOTS", "IN FLIGHT"}, targetRows(answers)); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(f.IO.Out)
	return cmdutil.Table(f.IO, []string{"TARGET", "PROBES", "PROBE MS", "MS PER S", "BUDGET MS PER S"}, probeRows(f, answers))
}

func state(s *box.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "starting"
	}
}

func versionRows(f *cmdutil.Factory, answers []answer) [][]string {
	var rows [][]string
	for _, a := range answers {
		if a.Status == nil {
			rows = append(rows, []string{a.Box, "-", "no answer", "-", "-", "-", "-"})
			continue
		}
		for _, object := range a.Status.Objects {
			age := f.Clock().Sub(object.Since).Round(time.Second)
			rows = append(rows, []string{
				a.Box, a.Status.Hall, state(a.Status), strconv.Itoa(a.Status.InFlight),
				object.Key, strconv.FormatUint(object.Version, 10), age.String(),
			})
		}
	}
	return rows
}

// targetRows shows each service as its own home sees it.
func targetRows(answers []answer) [][]string {
	var rows [][]string
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		for _, s := range a.Status.Services {
			if s.Home != a.Box {
				continue
			}
			for _, t := range s.Targets {
				rows = append(rows, []string{
					s.Name, s.Home, strconv.Itoa(s.Queue), t.Address, t.State,
					fmt.Sprintf("%d of %d", t.Limit, t.Slots), strconv.Itoa(t.InFlight),
				})
			}
		}
	}
	return rows
}

// probeRows adds up what all boxes' probes took of each target.
func probeRows(f *cmdutil.Factory, answers []answer) [][]string {
	var sums probeSums
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		up := f.Clock().Sub(time.Unix(0, int64(a.Status.Start))).Seconds()
		for _, s := range a.Status.Services {
			for _, p := range s.Probes {
				sum := sums.of(p.Target, s.ProbeBudgetMS)
				sum.probes += p.Probes
				sum.ms += p.MS
				sum.rate += p.MS / max(up, 1)
			}
		}
	}
	return sums.rows()
}

// probeSums add up what boxes tell of their probes, by target, in the order in which
// targets were first told of.
type probeSums []*probeSum

// probeSum is one target's: time in milliseconds, and each second.
type probeSum struct {
	target           string
	probes           int
	ms, rate, budget float64
}

func (s *probeSums) of(target string, budget float64) *probeSum {
	for _, sum := range *s {
		if sum.target == target {
			return sum
		}
	}
	sum := &probeSum{target: target, budget: budget}
	*s = append(*s, sum)
	return sum
}

func (s probeSums) rows() [][]string {
	rows := make([][]string, 0, len(s))
	for _, sum := range s {
		rows = append(rows, []string{
			sum.target, strconv.Itoa(sum.probes), fmt.Sprintf("%.1f", sum.ms),
			fmt.Sprintf("%.3f", sum.rate), fmt.Sprintf("%.1f", sum.budget),
		})
	}
	return rows
}

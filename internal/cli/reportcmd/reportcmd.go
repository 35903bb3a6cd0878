// Package reportcmd holds the command that sums up the logs of gateways.
//
// # Usage
//
//	root.Commands = append(root.Commands, reportcmd.NewCommand(f))
package reportcmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/cli/report"
)

type options struct {
	factory *cmdutil.Factory
	files   []string
	html    string
}

// NewCommand makes the report command.
func NewCommand(f *cmdutil.Factory) *cli.Command {
	o := &options{factory: f}
	return &cli.Command{
		Name:  "report",
		Usage: "Sum up the gateways' logs: how requests ended, and what decided it",
		UsageText: "sprucecrank report FILE...\n\n" +
			"EXAMPLES\n" +
			"   sprucecrank report gateway-*.log\n" +
			"   cat gateway-*.log | sprucecrank report -\n" +
			"   sprucecrank report --html report.html gateway-*.log",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "also draw it over time as one page, into `FILE`", Destination: &o.html},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			o.files = c.Args().Slice()
			return run(o)
		},
	}
}

func run(o *options) error {
	if len(o.files) == 0 {
		return cmdutil.Usage("name at least one log file (- for standard input)")
	}
	r := report.New()
	for _, name := range o.files {
		if err := read(o, r, name); err != nil {
			return err
		}
	}
	if bad, named := r.Bad(); bad > 0 {
		_, _ = fmt.Fprintf(o.factory.IO.Err, "%d lines could not be read and were left out:\n  %s\n", bad, strings.Join(named, "\n  "))
	}
	if r.Lines() == 0 {
		return errors.New("no line of these logs tells of a request; are they a gateway's, with log_level info?")
	}
	if o.html != "" {
		if err := writeHTML(o.html, r); err != nil {
			return err
		}
	}
	return print(o.factory.IO, r)
}

func read(o *options, r *report.Report, name string) error {
	if name == "-" {
		return r.Read("standard input", o.factory.IO.In)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // nothing was written
	return r.Read(name, file)
}

func writeHTML(name string, r *report.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := r.WriteHTML(file); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}

func print(streams cmdutil.Streams, r *report.Report) error {
	for _, s := range r.Services() {
		if err := printService(streams, s); err != nil {
			return err
		}
	}
	return nil
}

func printService(streams cmdutil.Streams, s *report.Service) error {
	probed, idle := s.Probed()
	peak, requests, span := s.PeakSecondSends()
	writeLines(streams.Out,
		fmt.Sprintf("service %s: %d requests: %d in time, %d late, %d refused, %d failed", nameOf(s), s.Requests(),
			s.Ended(report.InTime), s.Ended(report.Late), s.Ended(report.Refused), s.Ended(report.Failed)),
		fmt.Sprintf("  held: median %s, 99 in 100 %s", s.Held(50), s.Held(99)),
		fmt.Sprintf("  second sends: %d retries, %d of them answered; %d hedges, %d of them answered",
			s.Retries().Sent, s.Retries().Won, s.Hedges().Sent, s.Hedges().Won),
		fmt.Sprintf("  most second sends in %s: %d, of %d requests", span, peak, requests),
		fmt.Sprintf("  targets probed: %d, %s idle", probed, share(idle, probed)),
	)
	for _, tier := range s.Tiers() {
		writeLines(streams.Out, fmt.Sprintf("  sent to %s: %d", tier.Name, tier.Sends))
	}
	for _, reason := range s.Reasons() {
		writeLines(streams.Out, fmt.Sprintf("  not served: %d %s", reason.Count, reason.Name))
	}
	var rows [][]string
	for _, l := range s.Levels() {
		rows = append(rows, []string{l.String(), strconv.Itoa(l.Sends()), l.Predicted().String(), l.Took().String()})
	}
	if len(rows) == 0 {
		return nil
	}
	return cmdutil.Table(streams, []string{"RUNNING", "SENDS", "PREDICTED", "TOOK"}, rows)
}

// nameOf is a service's name; a request without a route has none.
func nameOf(s *report.Service) string {
	if s.Name() == "" {
		return "(no route)"
	}
	return s.Name()
}

func share(part, whole int) string {
	if whole == 0 {
		return "none"
	}
	return fmt.Sprintf("%d in 100", 100*part/whole)
}

// writeLines prints to standard output; that it is closed is no reason to fail.
func writeLines(out io.Writer, lines ...string) {
	for _, line := range lines {
		_, _ = fmt.Fprintln(out, line)
	}
}

package object

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

func newHistory(f *cmdutil.Factory, noun envelope.Noun, run func(context.Context, *namedOptions) error) *cli.Command {
	o := &namedOptions{factory: f, noun: noun}
	return &cli.Command{
		Name:      "history",
		Usage:     fmt.Sprintf("List the versions of a %s, newest first", noun),
		UsageText: fmt.Sprintf("sprucecrank %s history NAME", noun),
		Flags:     []cli.Flag{jsonFlag(&o.json)},
		Action:    o.withName(func(ctx context.Context) error { return run(ctx, o) }),
	}
}

func runHistory(ctx context.Context, o *namedOptions) error {
	env, version, err := current(ctx, o.factory, o.noun, o.name)
	if err != nil {
		return err
	}
	if version == 0 {
		return fmt.Errorf("there never was a %s %q; see the names with: sprucecrank %s list", o.noun, o.name, o.noun)
	}
	newest := env.Revision
	newest.Version = version
	revisions := append([]envelope.Revision{newest}, env.History...)
	if o.json {
		return cmdutil.WriteJSON(o.factory.IO, revisions)
	}
	rows := make([][]string, len(revisions))
	for i, r := range revisions {
		rows[i] = []string{strconv.FormatUint(r.Version, 10), r.By, r.At.Format(time.RFC3339), what(r)}
	}
	return cmdutil.Table(o.factory.IO, []string{"VERSION", "BY", "AT", "WHAT"}, rows)
}

func what(r envelope.Revision) string {
	if r.Deleted {
		return "deleted"
	}
	return fmt.Sprintf("%d bytes", len(r.Value))
}

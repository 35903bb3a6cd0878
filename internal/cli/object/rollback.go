package object

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/box/submit"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

type rollbackOptions struct {
	namedOptions
	version uint64
}

func newRollback(f *cmdutil.Factory, noun envelope.Noun, run func(context.Context, *rollbackOptions) error) *cli.Command {
	o := &rollbackOptions{namedOptions: namedOptions{factory: f, noun: noun}}
	return &cli.Command{
		Name:      "rollback",
		Usage:     fmt.Sprintf("Submit an earlier version of a %s again, as a new version", noun),
		UsageText: fmt.Sprintf("sprucecrank %s rollback --to VERSION NAME", noun),
		Flags: []cli.Flag{
			jsonFlag(&o.json),
			&cli.Uint64Flag{Name: "to", Usage: "the version to submit again", Required: true, Destination: &o.version},
		},
		Action: o.withName(func(ctx context.Context) error { return run(ctx, o) }),
	}
}

func runRollback(ctx context.Context, o *rollbackOptions) error {
	env, version, err := current(ctx, o.factory, o.noun, o.name)
	if err != nil {
		return err
	}
	at := slices.IndexFunc(env.History, func(r envelope.Revision) bool { return r.Version == o.version && !r.Deleted })
	if at < 0 {
		return cmdutil.Usage("version %d of %s %q is not kept; see: sprucecrank %s history %s", o.version, o.noun, o.name, o.noun, o.name)
	}
	value := env.History[at].Value
	if _, err := check(o.noun, value); err != nil {
		return err
	}
	c := submit.Change{Noun: o.noun, Name: o.name, Value: value, Expect: &version}
	return report(ctx, o.factory, c, o.json, fmt.Sprintf("version %d submitted again", o.version))
}

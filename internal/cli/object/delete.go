package object

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/box/submit"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

func newDelete(f *cmdutil.Factory, noun envelope.Noun, run func(context.Context, *namedOptions) error) *cli.Command {
	o := &namedOptions{factory: f, noun: noun}
	return &cli.Command{
		Name:      "delete",
		Usage:     fmt.Sprintf("Take a %s out of force; its history stays", noun),
		UsageText: fmt.Sprintf("sprucecrank %s delete NAME", noun),
		Flags:     []cli.Flag{jsonFlag(&o.json)},
		Action:    o.withName(func(ctx context.Context) error { return run(ctx, o) }),
	}
}

// runDelete writes a tombstone: a version like any other, so that creating the
// object anew later is never taken for going back.
func runDelete(ctx context.Context, o *namedOptions) error {
	_, version, err := existing(ctx, o.factory, o.noun, o.name)
	if err != nil {
		return err
	}
	c := submit.Change{Noun: o.noun, Name: o.name, Deleted: true, Expect: &version}
	return report(ctx, o.factory, c, o.json, "deleted")
}

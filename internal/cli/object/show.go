package object

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

func newShow(f *cmdutil.Factory, noun envelope.Noun, run func(context.Context, *namedOptions) error) *cli.Command {
	o := &namedOptions{factory: f, noun: noun}
	return &cli.Command{
		Name:      "show",
		Usage:     fmt.Sprintf("Write the %s that is in force, as JSON", noun),
		UsageText: fmt.Sprintf("sprucecrank %s show NAME", noun),
		Action:    o.withName(func(ctx context.Context) error { return run(ctx, o) }),
	}
}

func runShow(ctx context.Context, o *namedOptions) error {
	env, version, err := existing(ctx, o.factory, o.noun, o.name)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.factory.IO.Err, "version %d, by %s\n", version, env.By)
	return cmdutil.WriteJSON(o.factory.IO, env.Value)
}

package object

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

type showOptions struct {
	factory *cmdutil.Factory
	noun    envelope.Noun
	name    string
}

func newShow(f *cmdutil.Factory, noun envelope.Noun, run func(context.Context, *showOptions) error) *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     fmt.Sprintf("Write the %s that is in force, as JSON", noun),
		UsageText: fmt.Sprintf("sprucecrank %s show NAME", noun),
		Action: func(ctx context.Context, c *cli.Command) error {
			name, err := nameArgument(c)
			if err != nil {
				return err
			}
			return run(ctx, &showOptions{factory: f, noun: noun, name: name})
		},
	}
}

func runShow(ctx context.Context, o *showOptions) error {
	env, version, err := existing(ctx, o.factory, o.noun, o.name)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.factory.IO.Err, "version %d, by %s\n", version, env.By)
	return cmdutil.WriteJSON(o.factory.IO, env.Value)
}

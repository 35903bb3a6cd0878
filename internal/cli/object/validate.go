package object

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

type validateOptions struct {
	factory *cmdutil.Factory
	noun    envelope.Noun
	file    string
}

func newValidate(f *cmdutil.Factory, noun envelope.Noun, run func(*validateOptions) error) *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     fmt.Sprintf("Check a %s without submitting it", noun),
		UsageText: fmt.Sprintf("sprucecrank %s validate FILE", noun),
		Action: func(_ context.Context, c *cli.Command) error {
			return run(&validateOptions{factory: f, noun: noun, file: c.Args().First()})
		},
	}
}

func runValidate(o *validateOptions) error {
	raw, err := o.factory.ReadInput(o.file)
	if err != nil {
		return err
	}
	name, err := check(o.noun, raw)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.factory.IO.Out, "%s %s: valid\n", o.noun, name)
	return err
}

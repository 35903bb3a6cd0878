// Package configcmd holds the commands about a box's settings file.
//
// # Usage
//
//	root.Commands = append(root.Commands, configcmd.NewCommand(f))
package configcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/box"
	"github.com/sprucecrank/sprucecrank/gateway"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

// NewCommand makes the config command with its verbs.
func NewCommand(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "config",
		Usage:    "Check a box's settings",
		Commands: []*cli.Command{newCheck(f, runCheck)},
	}
}

type checkOptions struct {
	factory *cmdutil.Factory
	file    string
	gateway bool
}

func newCheck(f *cmdutil.Factory, run func(*checkOptions) error) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "Check a settings file whole, without starting a box",
		UsageText: "sprucecrank config check FILE\nsprucecrank config check --gateway FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "gateway", Usage: "the file holds the settings of a gateway"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return run(&checkOptions{factory: f, file: c.Args().First(), gateway: c.Bool("gateway")})
		},
	}
}

func runCheck(o *checkOptions) error {
	raw, err := o.factory.ReadInput(o.file)
	if err != nil {
		return err
	}
	if o.gateway {
		return checkGateway(o, raw)
	}
	s, err := box.ParseSettings(raw)
	if err != nil {
		return cmdutil.Usage("the settings are not valid:\n%w", err)
	}
	_, err = fmt.Fprintf(o.factory.IO.Out, "settings of box %s in hall %s: valid\n", s.ID, s.Hall)
	return err
}

func checkGateway(o *checkOptions, raw []byte) error {
	s, err := gateway.ParseSettings(raw)
	if err != nil {
		return cmdutil.Usage("the settings are not valid:\n%w", err)
	}
	_, err = fmt.Fprintf(o.factory.IO.Out, "settings of gateway %s in hall %s: valid\n", s.ID, s.Hall)
	return err
}

// Package root puts the operators' command line together.
//
// # Usage
//
//	os.Exit(root.Main(os.Args, cmdutil.NewFactory(cmdutil.System())))
package root

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/cli/boxcmd"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/cli/configcmd"
	"github.com/sprucecrank/sprucecrank/internal/cli/explaincmd"
	"github.com/sprucecrank/sprucecrank/internal/cli/object"
	"github.com/sprucecrank/sprucecrank/internal/cli/oncecmd"
	"github.com/sprucecrank/sprucecrank/internal/cli/reportcmd"
	"github.com/sprucecrank/sprucecrank/internal/cli/status"
	"github.com/sprucecrank/sprucecrank/internal/cli/versioncmd"
)

// Version is set when a release is built.
var Version = "dev"

// DefaultPlatform is where the platform's object API is looked for.
const DefaultPlatform = "127.0.0.1:7000"

// NewCommand makes the whole command line.
func NewCommand(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:                  "sprucecrank",
		Usage:                 "Operate a sprucecrank fleet",
		Version:               Version,
		EnableShellCompletion: true,
		Writer:                f.IO.Out,
		ErrWriter:             f.IO.Err,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "platform", Usage: "address of the platform's object API",
				Value: DefaultPlatform, Sources: cli.EnvVars("SPRUCECRANK_PLATFORM"), Destination: &f.PlatformAddress,
			},
			&cli.StringFlag{
				Name: "admin-token", Usage: "token of the boxes' administration API",
				Sources: cli.EnvVars("SPRUCECRANK_ADMIN_TOKEN"), Destination: &f.AdminToken,
			},
		},
		Commands: []*cli.Command{
			object.NewCommand(f, envelope.Service), object.NewCommand(f, envelope.Policy),
			status.NewCommand(f), boxcmd.NewCommand(f), oncecmd.NewCommand(f), configcmd.NewCommand(f),
			explaincmd.NewCommand(f), reportcmd.NewCommand(f), versioncmd.NewCommand(f, Version),
		},
	}
}

// Main runs the command line and returns its exit code.
func Main(args []string, f *cmdutil.Factory) int {
	err := NewCommand(f).Run(context.Background(), args)
	if err == nil {
		return cmdutil.ExitOK
	}
	_, _ = fmt.Fprintf(f.IO.Err, "sprucecrank: %v\n", err)
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return cmdutil.ExitUsage
	}
	return cmdutil.ExitCode(err)
}

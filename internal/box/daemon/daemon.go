// Package daemon is the command line of a box's process.
//
// # Usage
//
//	os.Exit(daemon.Main(os.Args, os.Stdout, os.Stderr))
package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/box"
)

// Main runs a box until it is told to stop, and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var path string
	command := &cli.Command{
		Name:      "sprucecrank-box",
		Usage:     "Run an entry box",
		UsageText: "sprucecrank-box --settings FILE\n\nA first SIGTERM drains the box: it ends its requests and stops.",
		Writer:    out,
		ErrWriter: errOut,
		Flags:     []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings file", Required: true, Destination: &path}},
		Action:    func(ctx context.Context, _ *cli.Command) error { return serve(ctx, path, out, errOut) },
	}
	if err := command.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintf(errOut, "sprucecrank-box: %v\n", err)
		return 1
	}
	return 0
}

func serve(ctx context.Context, path string, out, errOut io.Writer) error {
	settings, err := box.ReadSettings(path)
	if err != nil {
		return fmt.Errorf("settings %s:\n%w", path, err)
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.LogLevel)); err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(errOut, &slog.HandlerOptions{Level: level}))
	b, err := box.New(settings, box.Options{Log: log, Traces: out})
	if err != nil {
		return err
	}
	return b.Run(ctx)
}

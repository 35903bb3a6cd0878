// Package oncecmd holds the commands about operations that run at most once.
//
// # Usage
//
//	root.Commands = append(root.Commands, oncecmd.NewCommand(f))
package oncecmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/core/box/once"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

// NewCommand makes the once command with its verbs.
func NewCommand(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "once",
		Usage:    "Look up operations that run at most once",
		Commands: []*cli.Command{newShow(f, runShow)},
	}
}

type showOptions struct {
	factory *cmdutil.Factory
	service string
	client  string
	key     string
	json    bool
}

func newShow(f *cmdutil.Factory, run func(context.Context, *showOptions) error) *cli.Command {
	o := &showOptions{factory: f}
	return &cli.Command{
		Name:      "show",
		Usage:     "Tell how far the operation of an Idempotency-Key has come",
		UsageText: "sprucecrank once show --service NAME [--client NAME] KEY",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Usage: "the service of the operation", Required: true, Destination: &o.service},
			&cli.StringFlag{Name: "client", Usage: "the Sprucecrank-Client header of the request", Destination: &o.client},
			&cli.BoolFlag{Name: "json", Usage: "write JSON for scripts", Destination: &o.json},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return cmdutil.Usage("name one Idempotency-Key; see: sprucecrank once show --help")
			}
			o.key = c.Args().First()
			return run(ctx, o)
		},
	}
}

var meanings = map[once.State]string{
	once.Held:    "not sent yet",
	once.Sent:    "sent; no answer is recorded: ask the service whether it ran",
	once.Done:    "ran, and its answer is kept",
	once.Refused: "did not run",
}

func runShow(ctx context.Context, o *showOptions) error {
	object, err := o.factory.Platform().Get(ctx, once.ObjectKey(o.service, o.client, o.key))
	if errors.Is(err, store.ErrNotFound) {
		return fmt.Errorf("no record of this key: it was never sent through sprucecrank, or more than %s ago", once.Retention)
	}
	if err != nil {
		return cmdutil.Explain(err)
	}
	var record once.Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return err
	}
	if o.json {
		return cmdutil.WriteJSON(o.factory.IO, record)
	}
	rows := [][]string{{o.key, string(record.State), record.Box, record.At.Format(time.RFC3339), meanings[record.State]}}
	return cmdutil.Table(o.factory.IO, []string{"KEY", "STATE", "BOX", "AT", "MEANING"}, rows)
}

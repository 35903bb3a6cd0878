// Package boxcmd holds the commands about boxes: list and drain.
//
// # Usage
//
//	root.Commands = append(root.Commands, boxcmd.NewCommand(f))
package boxcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

// NewCommand makes the box command with its verbs.
func NewCommand(f *cmdutil.Factory) *cli.Command {
	return &cli.Command{
		Name:     "box",
		Usage:    "List boxes and stop them without cutting a request",
		Commands: []*cli.Command{newList(f, runList), newDrain(f, runDrain)},
	}
}

// Find reads the platform's list of boxes; id may be empty for all.
func Find(ctx context.Context, f *cmdutil.Factory, id string) ([]store.Member, error) {
	all, err := f.Platform().Members(ctx, "boxes")
	if err != nil {
		return nil, cmdutil.Explain(err)
	}
	if id == "" {
		return all, nil
	}
	for _, m := range all {
		if m.ID == id {
			return []store.Member{m}, nil
		}
	}
	return nil, fmt.Errorf("the platform's list has no box %q; see: sprucecrank box list", id)
}

package boxcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

type listOptions struct {
	factory *cmdutil.Factory
	json    bool
}

func newList(f *cmdutil.Factory, run func(context.Context, *listOptions) error) *cli.Command {
	o := &listOptions{factory: f}
	return &cli.Command{
		Name:   "list",
		Usage:  "List the boxes that the platform knows; the list lags",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "write JSON for scripts", Destination: &o.json}},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, o) },
	}
}

func runList(ctx context.Context, o *listOptions) error {
	boxes, err := Find(ctx, o.factory, "")
	if err != nil {
		return err
	}
	if o.json {
		return cmdutil.WriteJSON(o.factory.IO, boxes)
	}
	rows := make([][]string, len(boxes))
	for i, b := range boxes {
		rows[i] = []string{b.ID, b.Hall, string(b.State), b.Address, b.Admin}
	}
	return cmdutil.Table(o.factory.IO, []string{"BOX", "HALL", "STATE", "PEERS", "ADMIN"}, rows)
}

package object

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

type listOptions struct {
	factory *cmdutil.Factory
	noun    envelope.Noun
	json    bool
}

// listed is one object of a list for scripts.
type listed struct {
	Name    string    `json:"name"`
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

func newList(f *cmdutil.Factory, noun envelope.Noun, run func(context.Context, *listOptions) error) *cli.Command {
	o := &listOptions{factory: f, noun: noun}
	return &cli.Command{
		Name:   "list",
		Usage:  fmt.Sprintf("List what stands for each %s", noun),
		Flags:  []cli.Flag{jsonFlag(&o.json)},
		Action: func(ctx context.Context, _ *cli.Command) error { return run(ctx, o) },
	}
}

func runList(ctx context.Context, o *listOptions) error {
	snapshot, err := o.factory.Platform().List(ctx, o.noun.KeyPrefix())
	if err != nil {
		return cmdutil.Explain(err)
	}
	items := []listed{}
	for _, object := range snapshot.Objects {
		env, err := envelope.Parse(object.Value)
		if err != nil || env.Deleted {
			continue
		}
		name := strings.TrimPrefix(object.Key, o.noun.KeyPrefix())
		items = append(items, listed{Name: name, Version: object.Version, By: env.By, At: env.At})
	}
	slices.SortFunc(items, func(a, b listed) int { return strings.Compare(a.Name, b.Name) })
	if o.json {
		return cmdutil.WriteJSON(o.factory.IO, items)
	}
	rows := make([][]string, len(items))
	for i, it := range items {
		rows[i] = []string{it.Name, strconv.FormatUint(it.Version, 10), it.By, it.At.Format(time.RFC3339)}
	}
	return cmdutil.Table(o.factory.IO, []string{"NAME", "VERSION", "BY", "AT"}, rows)
}

package object

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/box/submit"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

type submitOptions struct {
	factory   *cmdutil.Factory
	noun      envelope.Noun
	file      string
	ifVersion uint64
	checked   bool
	json      bool
}

// submitted is the result of a submission for scripts.
type submitted struct {
	Noun    envelope.Noun `json:"noun"`
	Name    string        `json:"name"`
	Version uint64        `json:"version"`
}

func newSubmit(f *cmdutil.Factory, noun envelope.Noun, run func(context.Context, *submitOptions) error) *cli.Command {
	o := &submitOptions{factory: f, noun: noun}
	return &cli.Command{
		Name:      "submit",
		Usage:     fmt.Sprintf("Check a %s and put it in force everywhere", noun),
		UsageText: fmt.Sprintf("sprucecrank %s submit FILE\n\nEXAMPLE:\n   sprucecrank %s submit examples/studio/preview.%s.json", noun, noun, noun),
		Flags: []cli.Flag{
			jsonFlag(&o.json),
			&cli.Uint64Flag{Name: "if-version", Usage: "submit only if the object stands at this version; 0 means that there is none"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o.file = c.Args().First()
			o.ifVersion = c.Uint64("if-version")
			o.checked = c.IsSet("if-version")
			return run(ctx, o)
		},
	}
}

func runSubmit(ctx context.Context, o *submitOptions) error {
	raw, err := o.factory.ReadInput(o.file)
	if err != nil {
		return err
	}
	name, err := check(o.noun, raw)
	if err != nil {
		return err
	}
	c := submit.Change{Noun: o.noun, Name: name, Value: json.RawMessage(raw)}
	if o.checked {
		c.Expect = &o.ifVersion
	}
	return report(ctx, o.factory, c, o.json, "submitted")
}

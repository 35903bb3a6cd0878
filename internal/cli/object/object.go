// Package object holds the commands for services and policies: both are
// configuration objects with the same verbs.
//
// # Usage
//
//	root.Commands = append(root.Commands, object.NewCommand(f, envelope.Service))
package object

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/box/submit"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

// NewCommand makes the command of a noun with its verbs.
func NewCommand(f *cmdutil.Factory, noun envelope.Noun) *cli.Command {
	return &cli.Command{
		Name:  string(noun),
		Usage: fmt.Sprintf("Submit, read and delete a %s", noun),
		Commands: []*cli.Command{
			newSubmit(f, noun, runSubmit), newValidate(f, noun, runValidate),
			newShow(f, noun, runShow), newList(f, noun, runList),
			newDelete(f, noun, runDelete), newHistory(f, noun, runHistory),
			newRollback(f, noun, runRollback),
		},
	}
}

// jsonFlag asks for output for scripts.
func jsonFlag(into *bool) cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "write JSON for scripts", Destination: into}
}

// namedOptions are those of a verb about one object.
type namedOptions struct {
	factory *cmdutil.Factory
	noun    envelope.Noun
	name    string
	json    bool
}

// withName takes the one name that such a verb needs before it runs.
func (o *namedOptions) withName(run func(context.Context) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Args().Len() != 1 {
			return cmdutil.Usage("%s takes one name; see %s --help", c.FullName(), c.FullName())
		}
		o.name = c.Args().First()
		return run(ctx)
	}
}

// check validates a document and finds its name.
func check(noun envelope.Noun, raw []byte) (string, error) {
	name, err := submit.Check(noun, raw)
	if err != nil {
		return "", cmdutil.Usage("the %s is not valid; nothing was changed:\n%w", noun, err)
	}
	return name, nil
}

// current reads the object that stands now; version 0 means none.
func current(ctx context.Context, f *cmdutil.Factory, noun envelope.Noun, name string) (envelope.Envelope, uint64, error) {
	env, version, err := submit.Current(ctx, f.Platform().Objects(), noun, name)
	return env, version, cmdutil.Explain(err)
}

// existing reads an object that must stand and not be deleted.
func existing(ctx context.Context, f *cmdutil.Factory, noun envelope.Noun, name string) (envelope.Envelope, uint64, error) {
	env, version, err := current(ctx, f, noun, name)
	if err != nil {
		return env, version, err
	}
	if version == 0 || env.Deleted {
		return env, version, fmt.Errorf("there is no %s %q; see the names with: sprucecrank %s list", noun, name, noun)
	}
	return env, version, nil
}

// report writes a change and tells the operator its version.
func report(ctx context.Context, f *cmdutil.Factory, c submit.Change, asJSON bool, verb string) error {
	c.ID, c.By, c.At = f.NewID(), f.User(), f.Clock()
	version, err := submit.Write(ctx, f.Platform().Objects(), c)
	var raced *submit.RacedError
	if errors.As(err, &raced) {
		return cmdutil.Conflict("%s %q: %w. Look at it with: sprucecrank %s show %s, and submit again with --if-version %d",
			c.Noun, c.Name, err, c.Noun, c.Name, raced.Version())
	}
	if err != nil {
		return cmdutil.Explain(err)
	}
	if asJSON {
		return cmdutil.WriteJSON(f.IO, submitted{Noun: c.Noun, Name: c.Name, Version: version})
	}
	_, err = fmt.Fprintf(f.IO.Out, "%s %s: %s as version %d\n", c.Noun, c.Name, verb, version)
	return err
}

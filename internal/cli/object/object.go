// Package object holds the commands for services and policies: both are
// configuration objects with the same verbs.
//
// # Usage
//
//	root.Commands = append(root.Commands, object.NewCommand(f, envelope.Service))
package object

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/envelope"
	"github.com/sprucecrank/sprucecrank/platform"
	"github.com/sprucecrank/sprucecrank/policy"
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

// nameArgument takes the one name that a verb needs.
func nameArgument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", cmdutil.Usage("%s takes one name; see %s --help", c.FullName(), c.FullName())
	}
	return c.Args().First(), nil
}

// check validates a document and finds its name.
func check(noun envelope.Noun, raw []byte) (string, error) {
	if noun == envelope.Policy {
		p, err := policy.ParsePolicy(raw)
		if err != nil {
			return "", invalid(noun, err)
		}
		return p.Service(), nil
	}
	s, err := policy.ParseService(raw)
	if err != nil {
		return "", invalid(noun, err)
	}
	return s.Name, nil
}

func invalid(noun envelope.Noun, err error) error {
	return cmdutil.Usage("the %s is not valid; nothing was changed:\n%w", noun, err)
}

// current reads the object that stands now; version 0 means none.
func current(ctx context.Context, f *cmdutil.Factory, noun envelope.Noun, name string) (envelope.Envelope, uint64, error) {
	object, err := f.Platform().Get(ctx, noun.Key(name))
	if errors.Is(err, platform.ErrNotFound) {
		return envelope.Envelope{}, 0, nil
	}
	if err != nil {
		return envelope.Envelope{}, 0, cmdutil.Explain(err)
	}
	env, err := envelope.Parse(object.Value)
	return env, object.Version, err
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

// change is one submission to be written.
type change struct {
	noun    envelope.Noun
	name    string
	value   json.RawMessage
	deleted bool
	// expect is the version that the operator saw; nil means the current one.
	expect *uint64
}

// write submits a change as a conditional update. A lost answer is settled by
// the submission's id.
func write(ctx context.Context, f *cmdutil.Factory, c change) (uint64, error) {
	env, version, err := current(ctx, f, c.noun, c.name)
	if err != nil {
		return 0, err
	}
	if c.expect != nil && *c.expect != version {
		return 0, raced(c, version)
	}
	next := env.Next(version, envelope.Revision{
		ID: f.NewID(), By: f.User(), At: f.Clock().UTC(), Deleted: c.deleted, Value: c.value,
	})
	raw, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	mine := func(o platform.Object) bool {
		found, err := envelope.Parse(o.Value)
		return err == nil && found.ID == next.ID
	}
	ctx, cancel := context.WithTimeout(ctx, submitPatience)
	defer cancel()
	written, err := f.Platform().PutSettled(ctx, c.noun.Key(c.name), raw, version, mine)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return 0, raced(c, conflict.Current().Version)
	}
	return written, cmdutil.Explain(err)
}

func raced(c change, version uint64) error {
	return cmdutil.Conflict("%s %q is at version %d now: another operator was faster; nothing was changed. "+
		"Look at it with: sprucecrank %s show %s, and submit again with --if-version %d",
		c.noun, c.name, version, c.noun, c.name, version)
}

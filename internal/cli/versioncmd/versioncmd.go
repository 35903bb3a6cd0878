// Package versioncmd holds the command that prints which build this is.
//
// # Usage
//
//	root.Commands = append(root.Commands, versioncmd.NewCommand(f, version))
package versioncmd

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
)

// Build describes a build.
type Build struct {
	Version string `json:"version"`
	// Revision is the commit that was built, or "unknown".
	Revision string `json:"revision"`
	// Modified says that the tree held changes that were not committed.
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// unknown stands for what the build does not tell.
const unknown = "unknown"

// Keys under which the toolchain keeps what it knows of the commit.
const (
	keyRevision = "vcs.revision"
	keyModified = "vcs.modified"
)

type options struct {
	factory *cmdutil.Factory
	version string
	json    bool
	read    func() (*debug.BuildInfo, bool)
}

// NewCommand makes the version command.
func NewCommand(f *cmdutil.Factory, version string) *cli.Command {
	o := &options{factory: f, version: version, read: debug.ReadBuildInfo}
	return &cli.Command{
		Name:      "version",
		Usage:     "Print which build this is",
		UsageText: "sprucecrank version [--json]\n\nEXAMPLES\n   sprucecrank version\n   sprucecrank version --json",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.json}},
		Action:    func(context.Context, *cli.Command) error { return run(o) },
	}
}

func run(o *options) error {
	build := describe(o.version, o.read)
	if o.json {
		return json.NewEncoder(o.factory.IO.Out).Encode(build)
	}
	modified := ""
	if build.Modified {
		modified = ", with changes"
	}
	_, err := fmt.Fprintf(o.factory.IO.Out, "sprucecrank %s (revision %s%s, %s)\n", build.Version, build.Revision, modified, build.Go)
	return err
}

func describe(version string, read func() (*debug.BuildInfo, bool)) Build {
	build := Build{Version: version, Revision: unknown, Go: unknown}
	info, ok := read()
	if !ok {
		return build
	}
	build.Go = info.GoVersion
	for _, setting := range info.Settings {
		switch setting.Key {
		case keyRevision:
			build.Revision = setting.Value
		case keyModified:
			build.Modified = setting.Value == "true"
		}
	}
	return build
}

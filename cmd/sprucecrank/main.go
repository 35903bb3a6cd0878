// Command sprucecrank is the command-line tool for operators.
package main

import (
	"os"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/cli/root"
)

func main() {
	os.Exit(root.Main(os.Args, cmdutil.NewFactory(cmdutil.System())))
}

// Command sprucecrank is the operators' command line.
package main

import (
	"os"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/cli/root"
)

func main() {
	os.Exit(root.Main(os.Args, cmdutil.NewFactory(cmdutil.System())))
}

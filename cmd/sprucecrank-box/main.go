// Command sprucecrank-box is the daemon that runs on an entry box.
package main

import (
	"os"

	"github.com/sprucecrank/sprucecrank/internal/box/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args, os.Stdout, os.Stderr))
}

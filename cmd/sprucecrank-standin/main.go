// Command sprucecrank-standin simulates the environment of sprucecrank: the
// platform, targets, and clients.
package main

import (
	"os"

	"github.com/sprucecrank/sprucecrank/internal/standin/standincmd"
)

func main() {
	os.Exit(standincmd.Main(os.Args, os.Stdout, os.Stderr))
}

//go:build review

// Package driver runs one case of the review: it starts the project's own program as processes, plays
// the clients, the servers and the platform, and checks one rule by what these saw. It exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case could not run. It is built by
// review/build.sh (go test -c), and its folder is none of ./...
package driver

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}
}

// line writes a line with its time.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and prints it too.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// started are the machines whose processes have to be ended.
var started []*gateway

func endAll() {
	for _, g := range started {
		if g.process != nil {
			_ = g.process.Kill()
			<-g.end()
		}
	}
}

// cannotRun ends the case without a verdict.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	endAll()
	os.Exit(2)
}

// cases are those of the review, by the names that run.sh gives.
var cases = map[string]func(dir string, rec *record, trouble bool) (broken bool){}

// TestMain plays the case that the command line names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD, in the repository")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("%v", err)
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		dir = filepath.Clean(keep)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	rec := newRecord(os.Args[2])
	broken := cases[os.Args[1]](dir, rec, os.Getenv("TROUBLE") != "0")
	endAll()
	rec.close()
	if broken {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
		os.Exit(1)
	}
}

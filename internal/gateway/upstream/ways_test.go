package upstream_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// writers are the functions of the package that write to a target, each with whoever asks the gate
// for it.
var writers = map[string]string{"Probe": "Probe", "send": "Exchange"}

// A way to a target that does not ask the gate fails here: whatever writes to a connection must be
// named above, and who it names must ask.
func TestEachWayToATargetAsksTheGate(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("*.go")
	g.Expect(err).NotTo(HaveOccurred())
	bodies, calls := map[string]string{}, map[string][]string{}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, text, 0)
		g.Expect(err).NotTo(HaveOccurred())
		for _, declared := range file.Decls {
			f, ok := declared.(*ast.FuncDecl)
			if !ok {
				continue
			}
			body := string(text[files.Position(f.Pos()).Offset:files.Position(f.End()).Offset])
			bodies[f.Name.Name] += body
			for name := range writers {
				if strings.Contains(body, "."+name+"(") {
					calls[name] = append(calls[name], f.Name.Name)
				}
			}
		}
	}
	for name, body := range bodies {
		if writes := strings.Contains(body, ".net.Write(") || strings.Contains(body, "(c.net,"); writes {
			g.Expect(writers).To(HaveKey(name), "%s writes to a target", name)
		}
	}
	for name, asks := range writers {
		g.Expect(bodies[asks]).To(ContainSubstring(".gate("), "%s writes to a target", name)
		if asks != name {
			g.Expect(calls[name]).To(ConsistOf(asks), "callers of %s", name)
		}
	}
}

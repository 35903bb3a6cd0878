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

// writers maps each function of the package that writes to a target to the function that calls the
// gate for it.
var writers = map[string]string{"Probe": "Probe", "send": "Exchange"}

// Guards against new code that writes to a connection without calling the gate: each such function must
// be listed in writers, and the function that it maps to must call the gate.
func TestEveryWriteToATargetCallsTheGate(t *testing.T) {
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
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, path, text, 0)
		g.Expect(err).NotTo(HaveOccurred())
		for _, declared := range file.Decls {
			f, ok := declared.(*ast.FuncDecl)
			if !ok {
				continue
			}
			body := string(text[fileSet.Position(f.Pos()).Offset:fileSet.Position(f.End()).Offset])
			bodies[f.Name.Name] += body
			for name := range writers {
				if strings.Contains(body, "."+name+"(") {
					calls[name] = append(calls[name], f.Name.Name)
				}
			}
		}
	}
	for name, body := range bodies {
		if writes := strings.Contains(body, ".net.Write(") || strings.Contains(body, "(c.net,") || strings.Contains(body, "(c.net)"); writes {
			g.Expect(writers).To(HaveKey(name), "%s writes to a target", name)
		}
	}
	for name, gateCaller := range writers {
		g.Expect(bodies[gateCaller]).To(ContainSubstring(".gate("), "%s writes to a target", name)
		if gateCaller != name {
			g.Expect(calls[name]).To(ConsistOf(gateCaller), "callers of %s", name)
		}
	}
}

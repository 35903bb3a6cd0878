package explaincmd_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/cli/explaincmd"
)

var update = flag.Bool("update-golden", false, "write the golden files anew")

func run(args ...string) (out, errOut string, err error) {
	var o, e bytes.Buffer
	f := cmdutil.NewFactory(cmdutil.Streams{In: bytes.NewReader(nil), Out: &o, Err: &e})
	command := explaincmd.NewCommand(f)
	command.Writer, command.ErrWriter = &o, &e
	err = command.Run(context.Background(), append([]string{"explain"}, args...))
	return o.String(), e.String(), err
}

func TestGolden(t *testing.T) {
	for name, args := range map[string][]string{
		"refused": {"27ce79bc5bddfd5c", "testdata/logs.txt"},
		"hedged":  {"f9ffdc490f76c571", "testdata/logs.txt"},
		"json":    {"--json", "f9ffdc490f76c571", "testdata/logs.txt"},
		"failed":  {"--failed", "testdata/logs.txt"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			out, errOut, err := run(args...)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(errOut).To(Equal("1 torn lines were left out\n"))
			path := filepath.Join("testdata", name+".golden")
			if *update {
				g.Expect(os.WriteFile(path, []byte(out), 0o600)).To(Succeed())
			}
			want, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(out).To(Equal(string(want)))
		})
	}
}

func TestItSaysHowFarATargetWas(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "a.log")
	g.Expect(os.WriteFile(file, []byte(`{"time":"2026-12-02T08:00:00Z","msg":"served","request":"a","status":200,"held_ms":400,"service":"shop","sends":[{"target":"i-1","hall":"hall-c","region":"south","tier":"other-region","result":"200"}]}
`), 0o600)).To(Succeed())
	out, _, err := run("a", file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(ContainSubstring("sent to i-1 in hall-c (south, other-region)"))
}

func TestItSaysWhichTargetAskedForWhat(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "a.log")
	g.Expect(os.WriteFile(file, []byte(`{"time":"2026-12-02T08:00:00Z","msg":"served","request":"a","status":200,"held_ms":400,"service":"shop","passed_over":[{"target":"i-1","back_off":true,"left_ms":2400},{"target":"i-2"}],"sends":[{"target":"i-3","hall":"hall-c","result":"503","retry_after_ms":3000}]}
`), 0o600)).To(Succeed())
	out, _, err := run("a", file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(MatchRegexp(`passed over i-1 +it asked for back-off, 2400 ms left`))
	g.Expect(out).To(MatchRegexp(`passed over i-2 +no request was left of the limit that it names\n`))
	g.Expect(out).To(ContainSubstring("503, and asked for back-off of 3000 ms"))
}

func TestAnUnknownRequestGetsAClearWord(t *testing.T) {
	g := NewWithT(t)
	_, _, err := run("nobody", "testdata/logs.txt")
	g.Expect(err).To(MatchError("no line of these logs names request nobody; they tell of 2 others"))
	_, _, err = run("27ce79bc5bddfd5c")
	g.Expect(err).To(MatchError(ContainSubstring("at least one log file")))
}

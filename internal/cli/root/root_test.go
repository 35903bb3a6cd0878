package root_test

import (
	"bytes"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/cli/root"
	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
)

func TestRootSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command line")
}

// shell runs commands against a platform stand-in.
type shell struct {
	platform *platformsim.Server
	address  string
}

func newShell() *shell {
	p := platformsim.New()
	s := httptest.NewServer(p.Handler())
	DeferCleanup(s.Close)
	return &shell{platform: p, address: s.Listener.Addr().String()}
}

func (s *shell) run(stdin string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	f := cmdutil.NewFactory(cmdutil.Streams{In: strings.NewReader(stdin), Out: &o, Err: &e})
	f.User = func() string { return "som" }
	f.Clock = func() time.Time { return time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC) }
	code = root.Main(append([]string{"sprucecrank", "--platform", s.address}, args...), f)
	return code, o.String(), e.String()
}

const service = `{"name":"look","prefix":"/look","targets":[{"address":"10.0.0.1:80","hall":"north"}]}`

var _ = Describe("the command line", func() {
	It("submits, lists, shows, rolls back and deletes", func() {
		s := newShell()
		code, out, _ := s.run(service, "service", "submit", "-")
		Expect(code).To(Equal(cmdutil.ExitOK))
		Expect(out).To(Equal("service look: submitted as version 1\n"))
		_, out, _ = s.run(strings.Replace(service, "/look", "/see", 1), "service", "submit", "--json", "-")
		Expect(out).To(MatchJSON(`{"noun":"service","name":"look","version":2}`))
		_, out, _ = s.run("", "service", "list")
		Expect(out).To(Equal("NAME  VERSION  BY   AT\nlook  2        som  2026-12-02T09:00:00Z\n"))
		_, out, _ = s.run("", "service", "rollback", "--to", "1", "look")
		Expect(out).To(ContainSubstring("version 1 submitted again as version 3"))
		_, out, _ = s.run("", "service", "show", "look")
		Expect(out).To(MatchJSON(service))
		_, out, _ = s.run("", "service", "delete", "look")
		Expect(out).To(Equal("service look: deleted as version 4\n"))
		_, out, _ = s.run("", "service", "history", "look")
		Expect(strings.Count(out, "\n")).To(Equal(5))
		Expect(out).To(ContainSubstring("deleted"))
	})

	DescribeTable("says what is wrong and what to do next",
		func(stdin string, args []string, code int, want string) {
			s := newShell()
			got, _, errOut := s.run(stdin, args...)
			Expect(got).To(Equal(code), errOut)
			Expect(errOut).To(ContainSubstring(want))
			Expect(s.platform.Objects("")).To(BeEmpty(), "nothing was changed")
		},
		Entry("a bad service", `{"name":"look"}`, []string{"service", "submit", "-"}, cmdutil.ExitUsage, "nothing was changed:\nprefix: found"),
		Entry("a bad policy", `{"service":"look","program":"1","kinds":[{"name":"a"}]}`, []string{"policy", "validate", "-"}, cmdutil.ExitUsage, "program: found"),
		Entry("no file", "", []string{"service", "submit"}, cmdutil.ExitUsage, "name a file, or - for standard input"),
		Entry("a file that is not there", "", []string{"service", "submit", "nowhere.json"}, cmdutil.ExitFailed, "no such file"),
		Entry("no name", "", []string{"service", "show"}, cmdutil.ExitUsage, "takes one name"),
		Entry("an unknown name", "", []string{"service", "show", "x"}, cmdutil.ExitFailed, "see the names with: sprucecrank service list"),
		Entry("a race", service, []string{"service", "submit", "--if-version", "7", "-"}, cmdutil.ExitConflict, "submit again with --if-version 0"),
		Entry("a version that is not kept", "", []string{"service", "rollback", "--to", "9", "x"}, cmdutil.ExitUsage, "sprucecrank service history x"),
		Entry("an unknown flag", "", []string{"service", "list", "--nope"}, cmdutil.ExitFailed, "nope"),
		Entry("a key without a record", "", []string{"once", "show", "--service", "s", "k"}, cmdutil.ExitFailed, "no record of this key"),
		Entry("a box that is not listed", "", []string{"box", "drain", "box-9"}, cmdutil.ExitFailed, "see: sprucecrank box list"),
		Entry("bad settings", "{}", []string{"config", "check", "-"}, cmdutil.ExitUsage, "id: found"),
	)

	It("tells that the platform does not answer, with an exit code of its own", func() {
		s := newShell()
		s.platform.SetFaults(platformsim.Faults{Outage: true})
		code, _, errOut := s.run("", "service", "list")
		Expect(code).To(Equal(cmdutil.ExitPlatform))
		Expect(errOut).To(ContainSubstring("check --platform, or try again"))
	})

	It("settles a submission whose answer is lost", func() {
		s := newShell()
		s.platform.SetFaults(platformsim.Faults{LoseWrites: 0.7})
		for range 5 {
			code, _, errOut := s.run(service, "service", "submit", "-")
			Expect(code).To(Equal(cmdutil.ExitOK), errOut)
		}
		Expect(s.platform.Objects("config/service/look")[0].Version).To(Equal(uint64(5)), "each submission counts once")
	})

	It("lists boxes and tells which do not answer", func() {
		s := newShell()
		s.platform.SetMember("boxes", store.Member{ID: "box-1", Address: "127.0.0.1:1", Admin: "127.0.0.1:1", Hall: "north", State: store.Live})
		_, out, _ := s.run("", "box", "list")
		Expect(out).To(ContainSubstring("box-1  north  live"))
		code, out, _ := s.run("", "status")
		Expect(code).To(Equal(cmdutil.ExitOK))
		Expect(out).To(ContainSubstring("no answer"))
	})

	It("checks the example settings and has help, a version and completion", func() {
		s := newShell()
		raw, err := os.ReadFile("../../../examples/boxes/box-1.json")
		Expect(err).NotTo(HaveOccurred())
		_, out, _ := s.run(string(raw), "config", "check", "-")
		Expect(out).To(Equal("settings of box box-1 in hall silom: valid\n"))
		_, out, _ = s.run("", "service", "submit", "--help")
		Expect(out).To(ContainSubstring("EXAMPLE"))
		_, out, _ = s.run("", "--version")
		Expect(out).To(ContainSubstring(root.Version))
		_, out, _ = s.run("", "completion", "bash")
		Expect(out).To(ContainSubstring("sprucecrank"))
	})
})

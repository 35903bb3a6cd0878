package e2e_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

var update = flag.Bool("update-golden", false, "write the golden files anew")

// session records what happens: operators' commands, requests with their
// answers, and the log lines that they caused.
type session struct {
	f      *fleet
	box    *proc
	text   strings.Builder
	names  []string // pairs of what is found and what stands for it
	logged int
}

// newSession starts one box with the example services of a deployment, each
// with a single target of the test.
func newSession(deployment string, services ...string) *session {
	f := newFleet()
	f.maxBoxes = 1
	s := &session{f: f}
	for range services {
		f.addTargets(1, targetsim.Options{Slots: 3, Queue: 3, Work: time.Millisecond, Start: 7})
	}
	s.box = f.start("box-1", "north", nil).ready()
	s.name(s.box.settings.Listen, "BOX")
	for i, service := range services {
		s.name(f.targets[i].address, "TARGET-"+service)
		s.submit(deployment, service, "service", f.targets[i].address)
		s.submit(deployment, service, "policy", "")
	}
	return s
}

func (s *session) name(found, stands string) { s.names = append(s.names, found, stands) }

// submit submits an example file, its targets replaced by the test's.
func (s *session) submit(deployment, service, noun, target string) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "examples", deployment, service+"."+noun+".json"))
	Expect(err).NotTo(HaveOccurred())
	if target != "" {
		var doc map[string]any
		Expect(json.Unmarshal(raw, &doc)).To(Succeed())
		doc["targets"] = []map[string]any{{"address": target, "hall": "north"}}
		raw, err = json.Marshal(doc)
		Expect(err).NotTo(HaveOccurred())
	}
	s.operator(string(raw), noun, "submit", "-")
	s.f.inForce("config/" + noun + "/" + service)
	s.log()
}

func (s *session) operator(stdin string, args ...string) {
	code, out, errOut := s.f.operator(stdin, args...)
	s.printf("$ sprucecrank %s\n%s%sexit %d\n", strings.Join(args, " "), out, errOut, code)
}

func (s *session) printf(format string, args ...any) { _, _ = fmt.Fprintf(&s.text, format, args...) }

func (s *session) note(text string) { s.printf("\n# %s\n", text) }

// request sends a request and records its answer.
func (s *session) request(method, path, body string, header map[string]string) {
	h := map[string]string{"X-Request-Id": fmt.Sprintf("request-%d", strings.Count(s.text.String(), "\n> ")+1)}
	names := []string{}
	for name, value := range header {
		h[name] = value
		names = append(names, name)
	}
	slices.Sort(names)
	s.printf("\n> %s %s\n", method, path)
	for _, name := range names {
		s.printf("> %s: %s\n", name, header[name])
	}
	a := ask(context.Background(), client(), method, "http://"+s.box.settings.Listen+path, h, body)
	Expect(a.err).NotTo(HaveOccurred())
	s.printf("< %d\n", a.status)
	for _, name := range []string{"Content-Type", "Sprucecrank-Verdict", "Sprucecrank-Reason", "Sprucecrank-Replayed", "Retry-After", "X-Request-Id"} {
		if v := a.header.Get(name); v != "" {
			s.printf("< %s: %s\n", name, v)
		}
	}
	s.printf("%s", a.body)
	s.log()
}

// logLines are the messages that a session shows; the others come when they
// like.
var logLines = []string{"configuration in force", "request failed", "draining", "box stopped"}

// log records the log lines since the last time.
func (s *session) log() {
	time.Sleep(50 * time.Millisecond) // the process's output comes through a pipe
	lines := strings.Split(strings.TrimSpace(s.box.logText()), "\n")
	for _, line := range lines[s.logged:] {
		var entry map[string]any
		if json.Unmarshal([]byte(line), &entry) != nil || !slices.Contains(logLines, fmt.Sprint(entry["msg"])) {
			continue
		}
		entry["time"] = "TIME"
		raw, err := json.Marshal(entry)
		Expect(err).NotTo(HaveOccurred())
		s.printf("log %s\n", raw)
	}
	s.logged = len(lines)
}

var (
	uuidPattern  = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	timePattern  = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`)
	portPattern  = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	retryPattern = regexp.MustCompile(`"retry_after_ms":\d+`)
)

// normal replaces what differs from run to run.
func (s *session) normal() string {
	text := strings.NewReplacer(s.names...).Replace(s.text.String())
	ids := map[string]string{}
	text = uuidPattern.ReplaceAllStringFunc(text, func(id string) string {
		if ids[id] == "" {
			ids[id] = fmt.Sprintf("UUID-%d", len(ids)+1)
		}
		return ids[id]
	})
	text = timePattern.ReplaceAllString(text, "TIME")
	text = retryPattern.ReplaceAllString(text, `"retry_after_ms":N`)
	return portPattern.ReplaceAllString(text, "ADDRESS")
}

func (s *session) expect(file string) {
	path := filepath.Join("testdata", file)
	if *update {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(s.normal()), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.normal()).To(Equal(string(want)))
}

var _ = Describe("a whole session", func() {
	It("of the studio's approval desk is as its golden file says", func() {
		s := newSession("studio", "approval", "archive")
		s.operation("/approval/bill/42", "the still of the lobby")
		s.note("lookups go on while the platform is down; approvals are answered at once")
		s.f.platform.SetFaults(platformsim.Faults{Outage: true})
		s.request(http.MethodGet, "/archive/browse", "", map[string]string{"X-Mark": "artist"})
		s.request(http.MethodPost, "/approval/bill/43", "", map[string]string{"Idempotency-Key": newKey()})
		s.f.platform.SetFaults(platformsim.Faults{})
		s.note("the archive's only target leaves")
		s.f.targets[1].SetFaults(targetsim.Faults{Leaving: true})
		s.request(http.MethodGet, "/archive/browse", "", map[string]string{"X-Mark": "artist"})
		s.request(http.MethodGet, "/archive/browse", "", map[string]string{"X-Mark": "artist"})
		s.expect("studio-approval.golden")
	})

	It("of Loblolly's haul booking is as its golden file says", func() {
		s := newSession("loblolly", "haul")
		s.operation("/haul/book/9", "tract 9")
		s.note("the target cuts the connection after it ran: never sent again")
		s.f.targets[0].SetFaults(targetsim.Faults{CutAfterRun: true})
		key := map[string]string{"Idempotency-Key": newKey()}
		s.request(http.MethodPost, "/haul/book/10", "", key)
		s.f.targets[0].SetFaults(targetsim.Faults{})
		s.request(http.MethodPost, "/haul/book/10", "", key)
		s.operator("", "once", "show", "--service", "haul", key["Idempotency-Key"])
		s.note("the service is taken out of force, and the box stops")
		s.operator("", "service", "delete", "haul")
		s.f.inForce("config/service/haul")
		s.request(http.MethodGet, "/haul/look", "", nil)
		s.box.stop()
		Eventually(s.box.exited).Should(BeClosed())
		s.log()
		s.expect("loblolly-haul.golden")
	})
})

// operation sends an operation, repeats it, and misuses its key.
func (s *session) operation(path, body string) {
	s.note("an operation, its repeat, its key with another body, and without a key")
	key := map[string]string{"Idempotency-Key": newKey(), "Sprucecrank-Client": "client-1", "X-Mark": "m"}
	s.request(http.MethodPost, path, body, key)
	s.request(http.MethodPost, path, body, key)
	s.request(http.MethodPost, path, body+" again", key)
	s.request(http.MethodPost, path, body, nil)
	s.note("what no service or kind covers, and what is too large")
	s.request(http.MethodGet, "/elsewhere", "", nil)
	s.request(http.MethodPost, path, strings.Repeat("x", 300<<10), key)
}

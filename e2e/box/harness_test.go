// Package e2e_test proves the promises with real box processes: they are
// killed, frozen and cut off while clients send requests. The platform and the
// targets are the stand-ins, run inside the test so that it can count there.
package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box"
	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/cli/root"
	"github.com/sprucecrank/sprucecrank/internal/standin/freeport"
	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

const eventually = 20 * time.Second

func TestE2ESuite(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(eventually)
	RunSpecs(t, "e2e")
}

var boxBinary string

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "sprucecrank-e2e")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = os.RemoveAll(dir) })
	boxBinary = filepath.Join(dir, "sprucecrank-box")
	out, err := exec.Command("go", "build", "-o", boxBinary, "../../cmd/sprucecrank-box").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// server serves h on a free loopback port until the spec ends.
func server(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	DeferCleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// target is a target stand-in with its address.
type target struct {
	*targetsim.Target
	address string
}

func newTarget(o targetsim.Options) *target {
	t := targetsim.New(o)
	return &target{Target: t, address: server(t.Handler())}
}

// fleet is a platform, targets and boxes.
type fleet struct {
	platform *platformsim.Server
	address  string
	targets  []*target
	boxes    []*proc
	maxBoxes int
	dir      string
}

func newFleet() *fleet {
	p := platformsim.New()
	return &fleet{platform: p, address: server(p.Handler()), maxBoxes: 6, dir: GinkgoT().TempDir()}
}

// proc is a box process.
type proc struct {
	fleet    *fleet
	settings box.Settings
	cmd      *exec.Cmd
	log      *bytes.Buffer
	exited   chan struct{}
	mu       sync.Mutex
}

// freePort finds an address that a box can listen on.
func freePort() string {
	address, err := freeport.Address()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// start starts a box and puts it into the platform's list. change may alter
// its settings.
func (f *fleet) start(id, hall string, change func(*box.Settings)) *proc {
	s := box.Settings{
		ID: id, Hall: hall, Listen: freePort(), PeerListen: freePort(), AdminListen: freePort(),
		Platform: f.address, MaxBoxes: f.maxBoxes, DrainLagMS: 300, StopWithinMS: 20000, LogLevel: "debug",
	}
	if change != nil {
		change(&s)
	}
	p := f.launch(s)
	f.list(p, store.Live)
	f.boxes = append(f.boxes, p)
	return p
}

// launch starts a box process without telling the platform.
func (f *fleet) launch(s box.Settings) *proc {
	raw, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(f.dir, fmt.Sprintf("%s-%d.json", s.ID, time.Now().UnixNano()))
	Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
	p := &proc{fleet: f, settings: s, log: &bytes.Buffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(boxBinary, "--settings", path)
	p.cmd.Stderr = writer(func(b []byte) (int, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.log.Write(b)
	})
	Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	DeferCleanup(func() {
		p.thaw()
		p.kill()
		<-p.exited
		if CurrentSpecReport().Failed() {
			_, _ = fmt.Fprintf(GinkgoWriter, "--- log of %s\n%s\n", s.ID, tail(p.logText()))
		}
	})
	return p
}

type writer func([]byte) (int, error)

func (w writer) Write(b []byte) (int, error) { return w(b) }

func tail(s string) string {
	const most = 4000
	return s[max(len(s)-most, 0):]
}

func (p *proc) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (f *fleet) list(p *proc, state store.State) {
	f.platform.SetMember("boxes", store.Member{
		ID: p.settings.ID, Address: p.settings.PeerListen, Admin: p.settings.AdminListen,
		Hall: p.settings.Hall, State: state,
	})
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }
func (p *proc) kill()                   { p.signal(syscall.SIGKILL) }
func (p *proc) freeze()                 { p.signal(syscall.SIGSTOP) }
func (p *proc) thaw()                   { p.signal(syscall.SIGCONT) }
func (p *proc) stop()                   { p.signal(syscall.SIGTERM) }

// ready waits until the box is ready.
func (p *proc) ready() *proc {
	Eventually(func() int { return statusOf("http://" + p.settings.AdminListen + "/readyz") }).Should(Equal(http.StatusNoContent))
	return p
}

func statusOf(url string) int {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// status asks the box's administration API.
func (p *proc) status() (box.Status, error) {
	var s box.Status
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + p.settings.AdminListen + "/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = r.Body.Close() }()
	return s, json.NewDecoder(r.Body).Decode(&s)
}

// version is the version of an object that is in force on the box; 0 for none.
func (p *proc) version(key string) uint64 {
	s, err := p.status()
	if err != nil {
		return 0
	}
	for _, o := range s.Objects {
		if o.Key == key {
			return o.Version
		}
	}
	return 0
}

// startBoxes starts n boxes in two halls and waits until they are ready.
func (f *fleet) startBoxes(n int) {
	for i := range n {
		f.start(fmt.Sprintf("box-%d", i+1), []string{"north", "south"}[i%2], nil)
	}
	for _, p := range f.boxes {
		p.ready()
	}
}

// addTargets starts n targets.
func (f *fleet) addTargets(n int, o targetsim.Options) {
	for range n {
		f.targets = append(f.targets, newTarget(o))
	}
}

// operator runs the operators' command line.
func (f *fleet) operator(stdin string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	factory := cmdutil.NewFactory(cmdutil.Streams{In: bytes.NewBufferString(stdin), Out: &o, Err: &e})
	code = root.Main(append([]string{"sprucecrank", "--platform", f.address}, args...), factory)
	return code, o.String(), e.String()
}

// submit puts a service with the fleet's targets and a policy in force, and
// waits until every box has both.
func (f *fleet) submit(name string, kinds string, program string) {
	f.submitService(name, f.targets, "")
	doc := fmt.Sprintf(`{"service":%q,"program":%s,"kinds":%s}`, name, quoted(program), kinds)
	code, _, errOut := f.operator(doc, "policy", "submit", "-")
	Expect(code).To(Equal(0), errOut)
	f.inForce("config/policy/" + name)
	f.inForce("config/service/" + name)
}

func (f *fleet) submitService(name string, targets []*target, more string) {
	list := []map[string]any{}
	for i, t := range targets {
		list = append(list, map[string]any{"address": t.address, "hall": []string{"north", "south"}[i%2], "slots": 3})
	}
	raw, err := json.Marshal(list)
	Expect(err).NotTo(HaveOccurred())
	doc := fmt.Sprintf(`{"name":%q,"prefix":"/%s","trust_shed":true,"echo_id":true,"targets":%s%s}`, name, name, raw, more)
	code, _, errOut := f.operator(doc, "service", "submit", "-")
	Expect(code).To(Equal(0), errOut)
}

func (f *fleet) inForce(key string) {
	newest := f.newest(key)
	for _, p := range f.boxes {
		Eventually(func() uint64 { return p.version(key) }).Should(BeNumerically(">=", newest), p.settings.ID)
	}
}

func (f *fleet) newest(key string) uint64 {
	for _, o := range f.platform.Objects(key) {
		if o.Key == key {
			return o.Version
		}
	}
	return 0
}

func quoted(s string) string {
	raw, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// runs adds up the runs of an id at all targets.
func (f *fleet) runs(id string) int {
	n := 0
	for _, t := range f.targets {
		n += t.Counts().Runs[id]
	}
	return n
}

// answer is what a client got.
type answer struct {
	status  int
	verdict string
	reason  string
	body    string
	header  http.Header
	err     error
}

// client sends requests on its own connections.
func client() *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	DeferCleanup(t.CloseIdleConnections)
	return &http.Client{Transport: t, Timeout: 30 * time.Second}
}

// ask sends a request once and reads its whole answer. The body can't be rewound,
// or the test's own transport would send a request again by itself when a box is
// killed, and two requests would count as one.
func ask(ctx context.Context, c *http.Client, method, url string, header map[string]string, body string) answer {
	r, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewBufferString(body)))
	if err != nil {
		return answer{err: err}
	}
	r.ContentLength = int64(len(body))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, verdict: response.Header.Get("Sprucecrank-Verdict"),
		reason: response.Header.Get("Sprucecrank-Reason"), body: string(raw), header: response.Header, err: err,
	}
}

package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/freeport"
	"github.com/sprucecrank/sprucecrank/platform"
	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

const eventual = 30 * time.Second

// daemon builds the gateway's program once for all tests.
var daemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "gateway")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "sprucecrank-gateway")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/sprucecrank-gateway").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// targetServer is a target that counts how often each attempt ran.
type targetServer struct {
	id   string
	http *httptest.Server
	runs *sync.Map // attempt id -> *atomic.Int32
	work time.Duration
	// arrivals counts the requests that came, whether they ran or not, and active those
	// that it works on.
	arrivals, active atomic.Int64
	// fails says that it answers with a failure.
	fails atomic.Bool
	// fatal says which requests end the target's process; nil for none. ended is whether
	// one has.
	fatal func(r *http.Request) bool
	ended atomic.Bool
	// limit is what it names as its limit; nil for none. Arrivals are noted meanwhile.
	limit atomic.Pointer[namedLimit]
	// refusing has it turn all requests away and ask for back-off; nil for not.
	refusing atomic.Pointer[refusing]
	// leaving says that it leaves, in all its answers, and toldLeaving how many of them did.
	leaving     atomic.Bool
	sentLeaving atomic.Int64
	// full says that it reports no free slot.
	full atomic.Bool
	// probed is called before a health probe is answered; nil for nothing.
	probed atomic.Pointer[func()]
}

func newTargetServer(t *testing.T, id string, runs *sync.Map, work time.Duration) *targetServer {
	t.Helper()
	b := &targetServer{id: id, runs: runs, work: work}
	b.http = httptest.NewServer(b)
	t.Cleanup(func() {
		b.http.CloseClientConnections()
		b.http.Close()
	})
	return b
}

func (b *targetServer) address() string { return b.http.Listener.Addr().String() }

func (b *targetServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", "0,0,8,100")
	if b.full.Load() {
		w.Header().Set("Server-Load", "8,9,8,100")
	}
	limit := b.limit.Load()
	if limit != nil && (limit.inProbes || r.URL.Path != "/health") {
		w.Header().Set("Server-Limit", limit.text)
	}
	if b.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
		b.sentLeaving.Add(1)
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		if probed := b.probed.Load(); probed != nil {
			(*probed)()
		}
		return
	}
	limit.arrived()
	b.arrivals.Add(1)
	b.active.Add(1)
	defer b.active.Add(-1)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expected-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if refusing := b.refusing.Load(); refusing != nil {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", refusing.turnAway(time.Now(), r.RemoteAddr, id))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	count, _ := b.runs.LoadOrStore(id, &atomic.Int32{})
	count.(*atomic.Int32).Add(1)
	time.Sleep(b.work)
	if b.fatal != nil && b.fatal(r) {
		b.ended.Store(true)
		_ = b.http.Config.Close()
		return
	}
	w.Header().Set("Server-Signature", b.id)
	if b.fails.Load() {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

// process is a gateway as a process of its own.
type process struct {
	t         *testing.T
	id        string
	addresses map[string]string
	settings  string
	command   *exec.Cmd
	log       string
	extra     storetest.Object // settings beside the usual ones, or in their place
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newProcess lays out the settings as the template in deploy/ does.
func newProcess(t *testing.T, id, storeAddress string, seeds *[]string) *process {
	t.Helper()
	p := &process{t: t, id: id, addresses: map[string]string{}}
	for _, name := range []string{"listen", "ready_listen", "peer_listen", "relay_listen"} {
		p.addresses[name] = freeAddress(t)
	}
	*seeds = append(*seeds, p.addresses["peer_listen"])
	dir := t.TempDir()
	p.settings, p.log = filepath.Join(dir, "settings.json"), filepath.Join(dir, "log")
	p.write(storeAddress, *seeds)
	return p
}

func (p *process) write(storeAddress string, seeds []string) {
	p.t.Helper()
	document := storetest.Object{
		"id": p.id, "hall": "hall-a", "store": storeAddress, "seeds": seeds,
		"apply_within_s": 2, "stop_within_s": 6, "retry_ratio": 0.2,
	}
	for name, address := range p.addresses {
		document[name] = address
	}
	maps.Copy(document, p.extra)
	raw, err := json.Marshal(document)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := os.WriteFile(p.settings, raw, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) start() {
	p.t.Helper()
	path, err := daemon()
	if err != nil {
		p.t.Fatal(err)
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(path)
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	command := p.command
	p.t.Cleanup(func() { _ = command.Process.Kill() })
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) wait() error { return p.command.Wait() }

func (p *process) ready() bool {
	response, err := http.Get("http://" + p.addresses["ready_listen"] + "/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// deployment is a store, servers and gateways.
type deployment struct {
	store    *storetest.Store
	targets  []*targetServer
	gateways []*process
	runs     sync.Map
	// attempts counts the attempts that got an id.
	attempts atomic.Int64
}

func newDeployment(t *testing.T, gateways int, work time.Duration) *deployment {
	t.Helper()
	return newDeploymentWith(t, gateways, work, nil)
}

// newDeploymentWith is newDeployment with settings of the gateways beside the usual ones.
func newDeploymentWith(t *testing.T, gateways int, work time.Duration, extra storetest.Object) *deployment {
	t.Helper()
	d := &deployment{}
	var address string
	d.store, address = storetest.New(t)
	d.configure(1)
	for i := range 3 {
		b := newTargetServer(t, fmt.Sprint("i-", i), &d.runs, work)
		d.targets = append(d.targets, b)
		d.store.Put(storetest.Servers, b.id, storetest.ServerEntry("shop", b.address(), "ready"))
	}
	var seeds []string
	for i := range gateways {
		d.gateways = append(d.gateways, newProcess(t, fmt.Sprint("gateway-", i), address, &seeds))
	}
	for _, p := range d.gateways {
		p.extra = extra
		p.write(address, seeds)
		p.start()
	}
	g := NewWithT(t)
	for _, p := range d.gateways {
		g.Eventually(p.ready, eventual).Should(BeTrue())
	}
	return d
}

// killAll ends some gateways at the same moment.
func killAll(gateways []*process) {
	for _, p := range gateways {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range gateways {
		_ = p.wait() // it ends as it was killed
	}
}

// startAll starts some gateways and returns once they are ready.
func startAll(g *WithT, gateways []*process) {
	for _, p := range gateways {
		p.start()
	}
	for _, p := range gateways {
		g.Eventually(p.ready, eventual).Should(BeTrue())
	}
}

func (d *deployment) configure(version int, extra ...string) {
	rules := []storetest.Object{}
	for _, prefix := range append([]string{"/read/", "/book/"}, extra...) {
		kind := "safe"
		if prefix == "/book/" {
			kind = "unsafe"
		}
		rules = append(rules, storetest.Object{
			"name": prefix, "kind": kind, "targetLatencyS": 2, "priority": 1,
			"matchCriteria": storetest.Object{"pathPrefix": prefix},
			"action":        storetest.Object{"service": "shop", "timeoutS": 20, "maxAttempts": 2},
		})
	}
	d.store.Put(storetest.Config, "main", storetest.Object{
		"version": version, "limits": storetest.Object{"maxBodyBytes": 1 << 20},
		"listeners": []storetest.Object{{"hostname": "shop.example", "rules": rules}},
		"clusters":  []storetest.Object{{"name": "shop", "healthCheckPath": "/health", "maxConnections": 200}},
	})
}

// call sends one attempt to a gateway.
func (d *deployment) call(client *http.Client, p *process, method, path, id string) (int, string, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.addresses["listen"]+path+"x", strings.NewReader("a body"))
	if err != nil {
		return 0, "", err
	}
	r.Host = "shop.example"
	r.GetBody = nil
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "20000")
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// traffic sends requests to random gateways until stop, and checks what every
// caller and server may always expect.
type traffic struct {
	d                       *deployment
	served, refused, broken atomic.Int32
	faults                  chan string
	stop                    chan struct{}
	wait                    sync.WaitGroup
}

func (d *deployment) traffic(clients int) *traffic {
	tr := &traffic{d: d, faults: make(chan string, 100), stop: make(chan struct{})}
	for n := range clients {
		tr.wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			random := rand.New(rand.NewPCG(7, uint64(n)))
			for i := 0; ; i++ {
				select {
				case <-tr.stop:
					return
				default:
					tr.one(client, random, fmt.Sprintf("attempt-%d-%d", n, i))
				}
			}
		})
	}
	return tr
}

func (tr *traffic) one(client *http.Client, random *rand.Rand, id string) {
	method, path := http.MethodGet, "/read/"
	if random.IntN(2) == 0 {
		method, path = http.MethodPost, "/book/"
	}
	p := tr.d.gateways[random.IntN(len(tr.d.gateways))]
	status, body, err := tr.d.call(client, p, method, path, id)
	runs := 0
	if count, ok := tr.d.runs.Load(id); ok {
		runs = int(count.(*atomic.Int32).Load())
	}
	switch {
	case path == "/book/" && runs > 1:
		tr.fault("%s ran %d times", id, runs)
	case err != nil:
		tr.broken.Add(1)
	case status == http.StatusOK && body != "answer to "+id:
		tr.fault("%s got %q", id, body)
	case status == http.StatusOK:
		tr.served.Add(1)
	case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && runs > 0:
		tr.fault("%s was told %d, but ran", id, status)
	case status >= 400 && status < 500:
		tr.fault("%s was denied with %d", id, status)
	default:
		tr.refused.Add(1)
		time.Sleep(5 * time.Millisecond)
	}
}

func (tr *traffic) fault(format string, args ...any) {
	select {
	case tr.faults <- fmt.Sprintf(format, args...):
	default:
	}
}

// end stops the clients and fails the test for each promise that was broken.
func (tr *traffic) end(t *testing.T) {
	t.Helper()
	close(tr.stop)
	tr.wait.Wait()
	close(tr.faults)
	for fault := range tr.faults {
		t.Error(fault)
	}
}

func (tr *traffic) progress(g *WithT) {
	before := tr.served.Load()
	g.Eventually(tr.served.Load, eventual).Should(BeNumerically(">", before+50))
}

func TestAPlannedStopLosesNoRequest(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, 2, 50*time.Millisecond)
	d.gateways = d.gateways[:1] // all traffic goes to the one that stops
	tr := d.traffic(8)
	tr.progress(g)
	p := d.gateways[0]
	p.signal(syscall.SIGTERM)
	g.Eventually(p.ready, eventual).Should(BeFalse())
	tr.progress(g) // it still serves those that have not heard of it
	g.Expect(tr.broken.Load()).To(BeZero())
	close(tr.stop)
	tr.wait.Wait()
	g.Expect(tr.broken.Load()).To(BeZero())
	g.Expect(p.wait()).To(Succeed())
	close(tr.faults)
	g.Expect(tr.faults).NotTo(Receive())
}

func TestKillsAndOutagesBreakNoPromise(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, 3, 5*time.Millisecond)
	tr := d.traffic(6)
	tr.progress(g)
	d.store.Fail(http.StatusServiceUnavailable)
	tr.progress(g)
	victim := d.gateways[1]
	victim.signal(syscall.SIGKILL)
	_ = victim.wait()
	victim.start() // while the store is down: it learns from the others
	g.Eventually(victim.ready, eventual).Should(BeTrue())
	tr.progress(g)
	d.store.Hang()
	tr.progress(g)
	d.store.Recover()
	d.configure(2, "/new/")
	for i, p := range d.gateways {
		g.Eventually(func() int {
			status, _, _ := d.call(http.DefaultClient, p, http.MethodGet, "/new/", fmt.Sprint("new-", i, "-", rand.Uint32()))
			return status
		}, eventual).Should(Equal(http.StatusOK))
	}
	d.gateways[2].signal(syscall.SIGSTOP)
	time.Sleep(300 * time.Millisecond)
	d.gateways[2].signal(syscall.SIGCONT)
	tr.progress(g)
	tr.end(t)
}

func TestALeavingServerGetsNoNewRequests(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, 2, time.Millisecond)
	leaving := d.targets[0]
	d.store.Put(storetest.Servers, leaving.id, storetest.ServerEntry("shop", leaving.address(), "draining"))
	d.store.Remove(storetest.Servers, d.targets[1].id)
	only := d.targets[2].id
	for i, p := range d.gateways {
		g.Eventually(func() bool {
			for n := range 20 {
				id := fmt.Sprint("leave-", i, "-", n, "-", rand.Uint32())
				status, _, err := d.call(http.DefaultClient, p, http.MethodGet, "/read/", id)
				if err != nil || status != http.StatusOK {
					return false
				}
			}
			return true
		}, eventual).Should(BeTrue())
		r, err := http.NewRequest(http.MethodGet, "http://"+p.addresses["listen"]+"/read/x", nil)
		g.Expect(err).NotTo(HaveOccurred())
		r.Host = "shop.example"
		r.Header.Set("Attempt-Id", "signed-"+p.id)
		g.Eventually(func() string {
			response, err := http.DefaultClient.Do(r)
			if err != nil {
				return ""
			}
			defer func() { _ = response.Body.Close() }()
			return response.Header.Get("Server-Signature")
		}, eventual).Should(Equal(only))
	}
}

func TestChangedSettingsAreFoundWithoutASignal(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, 1, time.Millisecond)
	p := d.gateways[0]
	log := func() string { raw, _ := os.ReadFile(p.log); return string(raw) }
	g.Expect(log()).NotTo(ContainSubstring("settings reloaded"))
	p.write("127.0.0.1:1", []string{"127.0.0.1:2"})
	g.Eventually(log, eventual).Should(ContainSubstring(`"msg":"settings reloaded","gateway":"gateway-0","seeds":["127.0.0.1:2"]`))
}

func TestSettingsAreReadAgainWithoutCuttingARequest(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, 1, 20*time.Millisecond)
	tr := d.traffic(4)
	tr.progress(g)
	p := d.gateways[0]
	for range 3 {
		p.signal(syscall.SIGHUP)
		tr.progress(g)
	}
	g.Expect(os.WriteFile(p.settings, []byte("{"), 0o600)).To(Succeed())
	p.signal(syscall.SIGHUP)
	tr.progress(g)
	tr.end(t)
	g.Expect(tr.broken.Load()).To(BeZero())
	log, err := os.ReadFile(p.log)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(log)).To(ContainSubstring("settings reloaded"))
	g.Eventually(func() string { log, _ := os.ReadFile(p.log); return string(log) }, eventual).Should(ContainSubstring("settings not reloaded"))
}

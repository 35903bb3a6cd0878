package gateway_test

import (
	"bufio"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/faultproxy"
	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

const (
	megabyte = 1 << 20
	// longestBody is the longest body that the configuration allows, as the users' do, in bytes.
	longestBody = 64 * megabyte
	// longestHead is the longest head that it allows.
	longestHead = 16 << 10
)

var loneBodies = flag.Int("memory.bodies", 3, "how many bodies of the longest length are sent one after the other")

// leastMemory is the memory of the users' smallest machines, in megabytes.
const leastMemory = 136

// maxAttempts bounds the uploads of a test, so that each has another content.
const maxAttempts = 1 << 14

// content is what all bodies and answers are parts of.
var content = sync.OnceValue(func() []byte {
	all := make([]byte, longestBody+maxAttempts)
	random := rand.NewChaCha8([32]byte{75})
	_, _ = random.Read(all) // it never fails
	return all
})

// keepingTarget is a target that keeps the digest of each body that it got.
type keepingTarget struct {
	id       string
	http     *httptest.Server
	bodies   sync.Map // attempt id -> sha256 of its body
	runs     atomic.Int64
	work     atomic.Int64 // how long a request takes, in ns
	answer   atomic.Int64 // bytes of each answer
	turnAway atomic.Bool  // it answers that it did not run the request
	full     atomic.Bool  // it reports no free slot
}

func newKeepingTarget(t *testing.T, id string) *keepingTarget {
	t.Helper()
	b := &keepingTarget{id: id}
	b.http = httptest.NewServer(b)
	t.Cleanup(func() {
		b.http.CloseClientConnections()
		b.http.Close()
	})
	return b
}

func (b *keepingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", "0,0,400,100")
	if b.full.Load() {
		w.Header().Set("Server-Load", "400,400,400,100")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	digest := sha256.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return
	}
	if b.turnAway.Load() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.runs.Add(1)
	b.bodies.Store(r.Header.Get("Attempt-Id"), [sha256.Size]byte(digest.Sum(nil)))
	time.Sleep(time.Duration(b.work.Load()))
	w.Header().Set("Server-Signature", b.id)
	if n := b.answer.Load(); n > 0 && r.URL.Query().Has("long") {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
		_, _ = w.Write(content()[:n])
		return
	}
	_, _ = io.WriteString(w, "served")
}

// memoryRig is gateways with little memory before a target.
type memoryRig struct {
	t         *testing.T
	g         *WithT
	memoryMB  int
	store     *storetest.Store
	address   string
	seeds     []string
	target    *keepingTarget
	targets   []*keepingTarget  // target among them
	links     *faultproxy.Proxy // of several gateways to the target; nil for one gateway
	processes []*process
	attempts  atomic.Int64
	pids      []int
	// clientsComeBack says that clients of short requests may be refused, and come back.
	clientsComeBack bool
}

func newMemoryRig(t *testing.T, memoryMB, gateways int) *memoryRig {
	t.Helper()
	r := &memoryRig{t: t, g: NewWithT(t), memoryMB: memoryMB}
	r.store, r.address = storetest.New(t)
	r.configure(1)
	r.target = newKeepingTarget(t, "i-0")
	r.targets = append(r.targets, r.target)
	at := r.target.http.Listener.Addr().String()
	if gateways > 1 {
		r.links = r.newLinks(at)
		at = r.links.Address()
	}
	r.store.Put(storetest.Servers, r.target.id, storetest.ServerEntry("shop", at, "ready"))
	for i := range gateways {
		r.processes = append(r.processes, newProcess(t, fmt.Sprint("gateway-", i), r.address, &r.seeds))
	}
	for _, p := range r.processes {
		p.extra = storetest.Object{"memory_mb": memoryMB}
		p.write(r.address, r.seeds)
		p.start()
		r.pids = append(r.pids, p.command.Process.Pid)
	}
	for _, p := range r.processes {
		r.g.Eventually(p.ready, eventual).Should(BeTrue())
	}
	return r
}

// newLinks puts a proxy before a target, which knows each gateway's connections.
func (r *memoryRig) newLinks(target string) *faultproxy.Proxy {
	r.t.Helper()
	byPort := &origins{processes: r.origins}
	links, err := faultproxy.NewWithOrigins(target, byPort.of)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(links.Close)
	return links
}

// addTarget starts another target.
func (r *memoryRig) addTarget(id string) *keepingTarget {
	r.t.Helper()
	b := newKeepingTarget(r.t, id)
	r.targets = append(r.targets, b)
	r.store.Put(storetest.Servers, id, storetest.ServerEntry("shop", b.http.Listener.Addr().String(), "ready"))
	return b
}

// origins returns the gateways by their process ids.
func (r *memoryRig) origins() map[int]faultproxy.Origin {
	processes := map[int]faultproxy.Origin{}
	for i, pid := range r.pids {
		processes[pid] = faultproxy.Origin{Name: r.processes[i].id}
	}
	return processes
}

func (r *memoryRig) configure(version int) {
	rules := []storetest.Object{}
	for prefix, kind := range map[string]string{"/read/": "safe", "/book/": "unsafe"} {
		rules = append(rules, storetest.Object{
			"name": prefix, "kind": kind, "targetLatencyS": 2, "priority": 1,
			"matchCriteria": storetest.Object{"pathPrefix": prefix},
			"action":        storetest.Object{"service": "shop", "timeoutS": 20, "maxAttempts": 2},
		})
	}
	r.store.Put(storetest.Config, "main", storetest.Object{
		"version":   version,
		"limits":    storetest.Object{"maxHeaderBytes": longestHead, "maxBodyBytes": longestBody, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []storetest.Object{{"hostname": "shop.example", "rules": rules}},
		"clusters":  []storetest.Object{{"name": "shop", "healthCheckPath": "/health", "maxConnections": 1000}},
	})
}

// checkMemory checks that every process still runs and never used more than its memory.
func (r *memoryRig) checkMemory() {
	r.t.Helper()
	for i, p := range r.processes {
		peak := peakMemory(r.t, r.pids[i])
		r.t.Logf("%s of %d MB used %d MB at most", p.id, r.memoryMB, peak/megabyte)
		r.g.Expect(peak).To(BeNumerically("<=", r.memoryMB*megabyte), "%s went over its memory", p.id)
	}
}

// peakMemory returns the most memory that a process had resident, in bytes.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	peak, err := residentPeak(pid)
	if err != nil || peak == 0 {
		t.Fatalf("process %d has ended: %v", pid, err)
	}
	return peak
}

// upload is a request with a body, as a client sends it.
type upload struct {
	path    string
	length  int
	chunked bool
	// pause is after each megabyte.
	pause time.Duration
}

// uploaded is how an upload ended.
type uploaded struct {
	id     string
	status int
	retry  string
	err    error
	digest [sha256.Size]byte
}

// send sends an upload to a gateway and reads the answer, which may come early.
func (r *memoryRig) send(p *process, u upload) (got uploaded) {
	n := r.attempts.Add(1)
	got.id = fmt.Sprint("attempt-", n)
	body := content()[n%maxAttempts:][:u.length]
	got.digest = sha256.Sum256(body)
	conn, err := net.Dial("tcp", p.addresses["listen"])
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = conn.Close() }()
	go u.write(conn, got.id, body)
	_ = conn.SetReadDeadline(time.Now().Add(eventual))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		got.err = err
		return got
	}
	got.status, got.retry = response.StatusCode, response.Header.Get("Retry-After")
	return got
}

// write writes an upload. That it fails says nothing: the answer may have come before.
func (u upload) write(conn net.Conn, id string, body []byte) {
	framing := fmt.Sprintf("Content-Length: %d", u.length)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if _, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 20000\r\n%s\r\n\r\n", u.path, id, framing); err != nil {
		return
	}
	for len(body) > 0 {
		part := body[:min(megabyte, len(body))]
		body = body[len(part):]
		if u.chunked {
			_, _ = fmt.Fprintf(conn, "%x\r\n", len(part))
		}
		if _, err := conn.Write(part); err != nil {
			return
		}
		if u.chunked {
			_, _ = io.WriteString(conn, "\r\n")
		}
		time.Sleep(u.pause)
	}
	if u.chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// sendAll sends uploads at once and checks how each ended; it returns how many were served.
func (r *memoryRig) sendAll(n int, u upload) (served int) {
	ends := make([]uploaded, n)
	var all sync.WaitGroup
	for i := range ends {
		all.Go(func() { ends[i] = r.send(r.processes[i%len(r.processes)], u) })
	}
	all.Wait()
	for _, end := range ends {
		if r.checkUploaded(end) {
			served++
		}
	}
	return served
}

// checkUploaded checks that an upload was served with the body that was sent, or refused without
// having run and with when to come back.
func (r *memoryRig) checkUploaded(end uploaded) (served bool) {
	r.t.Helper()
	ran, ok := r.bodyOf(end.id)
	switch {
	case end.err != nil:
		r.t.Errorf("%s got no answer: %v", end.id, end.err)
	case end.status == http.StatusOK:
		r.g.Expect(ran).To(Equal(end.digest), "%s came with another body", end.id)
		return true
	default:
		r.g.Expect(end.status).To(Equal(http.StatusServiceUnavailable), end.id)
		r.g.Expect(end.retry).NotTo(BeEmpty(), "%s was not told when to come back", end.id)
		r.g.Expect(ok).To(BeFalse(), "%s was refused but ran", end.id)
	}
	return false
}

// bodyOf returns the digest of the body that a target got with an attempt.
func (r *memoryRig) bodyOf(id string) (digest any, ok bool) {
	for _, b := range r.targets {
		if digest, ok = b.bodies.Load(id); ok {
			return digest, ok
		}
	}
	return nil, false
}

// smallClients is how many clients send short requests.
const smallClients = 4

// smallRequests sends short requests on kept connections until stop is closed, and counts how many
// were served and how many were not.
func (r *memoryRig) smallRequests(stop <-chan struct{}) (begun, served, failed func() int64) {
	var ok, bad atomic.Int64
	var done sync.WaitGroup
	for range smallClients {
		done.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if r.smallServed(client) {
					ok.Add(1)
				} else {
					bad.Add(1)
				}
			}
		})
	}
	end := func(n *atomic.Int64) func() int64 {
		return func() int64 {
			done.Wait()
			return n.Load()
		}
	}
	return ok.Load, end(&ok), end(&bad)
}

// smallServed sends a short request and reports whether it was served, at once or, where clients
// come back, after a while.
func (r *memoryRig) smallServed(client *http.Client) bool {
	status := r.small(client)
	for began := time.Now(); r.clientsComeBack && status != http.StatusOK && time.Since(began) < eventual; {
		time.Sleep(time.Second) // as they are told
		status = r.small(client)
	}
	return status == http.StatusOK
}

// small sends a short request and returns its status; 0 for no answer.
func (r *memoryRig) small(client *http.Client) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.processes[0].addresses["listen"]+"/book/x", strings.NewReader("a body"))
	if err != nil {
		r.t.Error(err)
		return 0
	}
	request.Host, request.GetBody = "shop.example", nil
	request.Header.Set("Attempt-Id", fmt.Sprint("attempt-", r.attempts.Add(1)))
	request.Header.Set("Deadline-Ms", "20000")
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		if _, ran := r.bodyOf(request.Header.Get("Attempt-Id")); ran {
			r.t.Errorf("LOST %s: it ran and got no answer: %v", request.Header.Get("Attempt-Id"), err)
		}
		r.t.Logf("%s was closed unread after %v: %v", request.Header.Get("Attempt-Id"), time.Since(began), err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		r.t.Logf("%s was answered with %d after %v, to come back in %q s", request.Header.Get("Attempt-Id"), response.StatusCode, time.Since(began), response.Header.Get("Retry-After"))
	}
	return response.StatusCode
}

// beside has short requests go on beside something, and checks that all of them were served.
func (r *memoryRig) beside(do func()) {
	r.t.Helper()
	stop := make(chan struct{})
	begun, served, failed := r.smallRequests(stop)
	r.g.Eventually(begun, eventual).Should(BeNumerically(">=", smallClients), "all have connections")
	do()
	close(stop)
	r.g.Expect(served()).To(BeNumerically(">", 0))
	r.g.Expect(failed()).To(BeZero(), "short requests that were not served")
}

// Guards against large bodies that end a gateway by its memory (review/2): three of 40 MB at once.
func TestLargeBodiesAtOnceDoNotEndAGateway(t *testing.T) {
	for _, memoryMB := range []int{leastMemory, 184, 284, 1048} {
		t.Run(fmt.Sprint(memoryMB, " MB"), func(t *testing.T) {
			t.Parallel()
			r := newMemoryRig(t, memoryMB, 1)
			r.beside(func() {
				for range 3 {
					r.sendAll(3, upload{path: "/book/", length: 40_000_000})
				}
			})
			r.checkMemory()
		})
	}
}

// Guards against a body within the operator's limit that is refused although no other one is held.
func TestALoneBodyOfTheLongestLengthIsServedByTheSmallestMachine(t *testing.T) {
	for _, memoryMB := range []int{leastMemory, 284} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(memoryMB, " MB, chunked ", chunked), func(t *testing.T) {
				t.Parallel()
				r := newMemoryRig(t, memoryMB, 1)
				r.beside(func() {
					for range *loneBodies {
						r.g.Expect(r.sendAll(1, upload{path: "/book/", length: longestBody, chunked: chunked})).To(Equal(1))
					}
				})
				r.checkMemory()
			})
		}
	}
}

// Guards against bodies, heads, connections and answers of any kind that end a gateway by its memory.
func TestWhateverArrivesAGatewayKeepsToItsMemory(t *testing.T) {
	for name, play := range map[string]func(r *memoryRig){
		"bodies in chunks": func(r *memoryRig) {
			r.beside(func() { r.sendAll(6, upload{path: "/book/", length: 30_000_000, chunked: true}) })
		},
		"middling bodies": func(r *memoryRig) {
			r.beside(func() { r.sendAll(300, upload{path: "/book/", length: megabyte}) })
		},
		"short bodies": func(r *memoryRig) {
			r.target.work.Store(int64(time.Second))
			r.sendAll(2000, upload{path: "/book/", length: 16 << 10})
		},
		"bodies that wait for a target": func(r *memoryRig) {
			r.target.full.Store(true)
			time.AfterFunc(2*time.Second, func() { r.target.full.Store(false) })
			r.sendAll(40, upload{path: "/book/", length: 10 * megabyte})
		},
		"bodies that are sent again": func(r *memoryRig) {
			r.target.turnAway.Store(true)
			time.AfterFunc(time.Second, func() { r.target.turnAway.Store(false) })
			r.sendAll(20, upload{path: "/read/", length: 10 * megabyte})
		},
		"bodies that are sent to two": (*memoryRig).sentToTwo,
		"bodies that never end":       (*memoryRig).neverEnding,
		"long answers, slow readers":  (*memoryRig).slowReaders,
		"connections that rest":       (*memoryRig).resting,
		"heads that do not end":       (*memoryRig).openHeads,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newMemoryRig(t, leastMemory, 1)
			play(r)
			r.checkMemory()
			r.g.Eventually(func() int { return r.small(http.DefaultClient) }, eventual).Should(Equal(http.StatusOK))
			r.g.Eventually(func() int { return r.sendAll(1, upload{path: "/book/", length: 40 * megabyte}) }, eventual).Should(Equal(1), "a lone body afterwards")
			r.checkMemory()
		})
	}
}

// sentToTwo has a second target make a second send of a slow request, and checks that there was one.
func (r *memoryRig) sentToTwo() {
	r.g.Expect(r.sendAll(20, upload{path: "/read/", length: 1000})).To(Equal(20))
	r.target.work.Store(int64(3 * time.Second))
	second := r.addTarget("i-1")
	r.g.Eventually(func() int64 {
		r.sendAll(12, upload{path: "/read/", length: 10 * megabyte})
		return r.target.runs.Load() + second.runs.Load() - r.attempts.Load()
	}, eventual).Should(BeNumerically(">", 0), "no request ran twice")
	r.target.work.Store(0)
	r.store.Remove(storetest.Servers, second.id)
}

// open opens connections that send a text and then nothing, until the test has ended.
func (r *memoryRig) open(n int, text string) {
	r.t.Helper()
	for range n {
		conn, err := net.Dial("tcp", r.processes[0].addresses["listen"])
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetWriteDeadline(time.Now().Add(eventual))
		_, _ = io.WriteString(conn, text) // one that finds no room may be closed meanwhile
	}
}

// neverEnding has clients announce the longest body and stop sending, and then another one send a
// large body, which comes again as long as it is told to.
func (r *memoryRig) neverEnding() {
	head := fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: never\r\nContent-Length: %d\r\n\r\n", longestBody)
	r.open(20, head+strings.Repeat("a", megabyte))
	r.open(20, "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: never\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n"+strings.Repeat("a", megabyte)+"\r\n")
	r.beside(func() {
		r.g.Eventually(func() int { return r.sendAll(1, upload{path: "/book/", length: 40 * megabyte}) }, eventual).Should(Equal(1))
	})
}

// slowReaders has clients ask for long answers and read nothing.
func (r *memoryRig) slowReaders() {
	r.target.answer.Store(8 * megabyte)
	for i := range 200 {
		r.open(1, fmt.Sprintf("GET /read/x?long HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: slow-%d\r\nDeadline-Ms: 20000\r\n\r\n", i))
	}
	r.beside(func() { r.g.Eventually(r.target.runs.Load, eventual).Should(BeNumerically(">=", 150)) })
	r.target.answer.Store(0)
}

// resting has more connections rest than there is room for, half of them once they were served.
// Until those have rested for a while others are turned away, and so may be a client that itself
// sent nothing for as long.
func (r *memoryRig) resting() {
	r.clientsComeBack = true
	r.beside(func() {
		r.open(3000, "")
		r.open(3000, "GET /none HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: none\r\n\r\n")
	})
}

// openHeads has clients send most of a long head.
func (r *memoryRig) openHeads() {
	r.open(4000, "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Long: "+strings.Repeat("a", longestHead-200))
}

// Guards against bodies that end a gateway by its memory where they are relayed: at the gateway that
// took them, and at the one that serves them.
func TestBodiesThatAreRelayedKeepToTheMemoryOfBothGateways(t *testing.T) {
	r := newMemoryRig(t, leastMemory, 2)
	r.g.Expect(r.sendAll(2, upload{path: "/book/", length: 1000})).To(Equal(2))
	r.links.Set(faultproxy.Fault{Refuse: true, Origins: []string{r.processes[0].id}})
	r.links.ResetOf([]string{r.processes[0].id})
	r.g.Eventually(func() int { return r.small(http.DefaultClient) }, eventual).Should(Equal(http.StatusOK), "relayed")
	served := 0
	for range 3 {
		served += r.sendAll(6, upload{path: "/book/", length: 30_000_000})
	}
	r.g.Expect(served).To(BeNumerically(">", 0))
	r.checkMemory()
}

// Guards against a change of the limits, or a stop, that has large bodies end a gateway.
func TestLargeBodiesMeetAReloadAndAStop(t *testing.T) {
	r := newMemoryRig(t, 284, 1)
	p := r.processes[0]
	var uploads sync.WaitGroup
	uploads.Go(func() { r.sendAll(12, upload{path: "/book/", length: 20 * megabyte, pause: 50 * time.Millisecond}) })
	for version := 2; version < 6; version++ {
		r.configure(version)
		p.extra["memory_mb"] = []int{284, 184}[version%2]
		p.write(r.address, r.seeds)
		p.signal(syscall.SIGHUP)
		time.Sleep(200 * time.Millisecond)
	}
	uploads.Wait()
	r.checkMemory()
	uploads.Go(func() {
		for range 3 {
			r.send(p, upload{path: "/book/", length: 60 * megabyte, pause: 10 * time.Millisecond}) // it may be cut by the stop
		}
	})
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	for range 10 {
		r.checkMemory()
		time.Sleep(100 * time.Millisecond)
	}
	r.g.Expect(p.wait()).To(Succeed())
	uploads.Wait()
}

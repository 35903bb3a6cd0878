package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline/pipelinetest"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/verdict"
)

var names = headers.Defaults()

const (
	readPath  = "/read/"
	orderPath = "/order/"
	splitPath = "/split/"
	eventual  = 10 * time.Second
	// objective is long, so that a busy machine does not change what is decided.
	objective = 4 * time.Second
	timeout   = 30 * time.Second
)

// standin is a target that tells its load and does what a test says.
type standin struct {
	catalog.Target
	load atomic.Pointer[string]
	// warmup is for how much longer it says that it is cold, in milliseconds, and silent
	// that it does not answer probes.
	warmup atomic.Int64
	silent atomic.Bool
	// leaving says that it leaves, in all its answers.
	leaving atomic.Bool
	// limit is what it names as its limit; nil for none. probes counts those that it got, and
	// probeTakes is how long its answer to one takes.
	limit      atomic.Pointer[string]
	probes     atomic.Int32
	probeTakes time.Duration
	runs       atomic.Int32
	seen       sync.Map // header of each request by its id
	do         http.HandlerFunc
	entry      *httptest.Server
}

func newStandin(t testing.TB, id, service, hall string, do http.HandlerFunc) *standin {
	t.Helper()
	s := &standin{do: do}
	s.setLoad("0,0,3,100")
	s.entry = httptest.NewServer(s)
	t.Cleanup(func() {
		s.entry.CloseClientConnections()
		s.entry.Close()
	})
	s.Target = catalog.Target{ID: id, Service: service, Hall: hall, Address: s.entry.Listener.Addr().String(), Slots: 3}
	return s
}

func (s *standin) setWarmup(left time.Duration) { s.warmup.Store(left.Milliseconds()) }

func (s *standin) setLoad(load string) { s.load.Store(&load) }

func (s *standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.Load, *s.load.Load())
	if limit := s.limit.Load(); limit != nil {
		w.Header().Set(names.Limit, *limit)
	}
	if s.leaving.Load() {
		w.Header().Set(names.Leaving, "1")
	}
	if r.URL.Path == "/health" {
		s.probes.Add(1)
		if s.silent.Load() {
			<-r.Context().Done()
			return
		}
		time.Sleep(s.probeTakes)
		w.Header().Set(names.Instance, s.ID)
		if left := s.warmup.Load(); left > 0 {
			w.Header().Set(names.Warmup, strconv.FormatInt(left, 10))
		}
		return
	}
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if want := r.Header.Get(names.ExpectInstance); want != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.runs.Add(1)
	s.seen.Store(id, r.Header.Clone())
	s.do(w, r)
}

func (s *standin) header(id string) http.Header {
	h, ok := s.seen.Load(id)
	if !ok {
		return nil
	}
	return h.(http.Header)
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole answer") }

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func breakOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

func hang(gone chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // only then does net/http see the other side leave
		<-r.Context().Done()
		if gone != nil {
			close(gone)
		}
	}
}

// fixture is a gateway's data path before some targets.
type fixture struct {
	t       testing.TB
	options forward.Options
	view    *snapshot.Snapshot
	current bool
	ready   chan struct{}
	stop    atomic.Bool
	url     string
	next    atomic.Int32
	wires   sync.Map // of the targets, by address
	// handler is that of start.
	handler *forward.Handler
	// memory is that of clients' connections; nil for no bound.
	memory *membudget.Budget
}

func newFixture(t testing.TB, targets ...*standin) *fixture {
	t.Helper()
	f := &fixture{t: t, current: true, ready: make(chan struct{})}
	close(f.ready)
	f.view = snapshot.New(newTable(2, timeout), map[string][]catalog.Target{})
	for _, s := range targets {
		f.view.ByService()[s.Service] = append(f.view.ByService()[s.Service], s.Target)
	}
	f.options = forward.Options{
		Names: names, Places: func() *locality.Map { return locality.New("a", "", nil) }, Snapshot: func() *snapshot.Snapshot { return f.view }, Ready: f.ready,
		Current: func() bool { return f.current }, ExploreLimit: func() bool { return false },
		Pool:  upstream.New(upstream.Options{Names: names, Dial: f.dial}),
		Retry: forward.Retry{Ratio: 0.2, Saved: 1},
	}
	return f
}

func newTable(attempts int, timeout time.Duration) *routing.Table {
	return newTableOf(7, attempts, timeout)
}

// newTableOf is newTable of a version of the configuration.
func newTableOf(version uint64, attempts int, timeout time.Duration) *routing.Table {
	route := func(prefix string, repeatable bool, shares ...routing.Share) routing.Route {
		return routing.Route{
			Name: prefix, Host: "shop.example", Prefix: prefix, Repeatable: repeatable, Shares: shares,
			Objective: objective, Timeout: timeout, MaxAttempts: attempts,
		}
	}
	return routing.New(routing.Config{Version: version, Limits: routing.Limits{BodyBytes: 1 << 20}, Routes: []routing.Route{
		route(readPath, true, routing.Share{Service: "shop", Weight: 1}),
		route(orderPath, false, routing.Share{Service: "shop", Weight: 1}),
		route(splitPath, true, routing.Share{Service: "shop", Weight: 3}, routing.Share{Service: "farm", Weight: 1}),
	}, Services: []routing.Service{{Name: "shop", HealthPath: "/health"}, {Name: "farm", HealthPath: "/health"}}})
}

// replaceable has the gateway serve by a view that a test may replace meanwhile.
func (f *fixture) replaceable() *atomic.Pointer[snapshot.Snapshot] {
	view := &atomic.Pointer[snapshot.Snapshot]{}
	view.Store(f.view)
	f.options.Snapshot = view.Load
	return view
}

// start serves clients as the gateway does.
func (f *fixture) start() *fixture {
	f.t.Helper()
	f.handler = f.serve()
	return f
}

// serve is start for tests that look at the handler.
func (f *fixture) serve() *forward.Handler {
	f.t.Helper()
	handler := forward.New(f.options)
	f.t.Cleanup(f.options.Pool.Close)
	f.url = "http://" + pipelinetest.Serve(f.t, pipeline.Options{
		Handler: handler, Safe: handler.Repeatable, Limits: handler.Limits, Stopping: f.stop.Load, Memory: f.memory,
	})
	return handler
}

type result struct {
	id     string
	status int
	body   string
	header http.Header
	closes bool // the connection
	err    error
}

// send makes one request; extra are headers as name, value, name, value.
func (f *fixture) send(ctx context.Context, method, path string, extra ...string) result {
	f.t.Helper()
	id := fmt.Sprint("request-", f.next.Add(1))
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("an order")
	}
	r, err := http.NewRequestWithContext(ctx, method, f.url+path+"x?q=1", body)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set(names.RequestID, id)
	for i := 0; i+1 < len(extra); i += 2 {
		r.Header.Set(extra[i], extra[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return result{id: id, status: response.StatusCode, body: string(raw), header: response.Header, closes: response.Close, err: err}
}

func (f *fixture) read() result  { return f.send(f.t.Context(), http.MethodGet, readPath) }
func (f *fixture) order() result { return f.send(f.t.Context(), http.MethodPost, orderPath) }

func TestAnAnswerIsPassedOnWholeWithItsOwnId(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("Keep-Alive", "timeout=9")
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Host, body)
	})
	f := newFixture(t, s).start()
	got := f.send(t.Context(), http.MethodPost, orderPath, "X-Own", "1", names.Deadline, "600")
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.status).To(Equal(http.StatusOK))
	g.Expect(got.body).To(Equal("POST /order/x?q=1 shop.example an order"))
	g.Expect(got.header.Get(names.RequestID)).To(Equal(got.id))
	g.Expect(got.header.Get("X-Kept")).To(Equal("yes"))
	g.Expect(got.header).NotTo(HaveKey("Keep-Alive"))
	g.Expect(got.header).NotTo(HaveKey(names.Load))
	seen := s.header(got.id)
	g.Expect(seen.Get("X-Own")).To(Equal("1"))
	g.Expect(seen.Get(names.ExpectInstance)).To(Equal("s1"))
	left, err := strconv.Atoi(seen.Get(names.Deadline))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 600)))
}

func TestNoEncodingIsAskedForBesideTheClients(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "br")
		_, _ = io.WriteString(w, "as it is")
	})
	f := newFixture(t, s).start()
	got := f.send(t.Context(), http.MethodGet, readPath, "Accept-Encoding", "br")
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(s.header(got.id).Values("Accept-Encoding")).To(Equal([]string{"br"}))
	g.Expect(got.header.Values("Content-Encoding")).To(Equal([]string{"br"}))
	g.Expect(got.body).To(Equal("as it is"))
}

// The load that a target reports beside an answer is the gateway's, not the client's.
func TestALoadReportBesideAnAnswerIsKeptFromClients(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Load, "0,0,3,100")
		ok(w, r)
	})
	f := newFixture(t, s).start()
	got := f.read()
	g.Expect(got.status).To(Equal(http.StatusOK))
	g.Expect(got.header).NotTo(HaveKey(http.CanonicalHeaderKey(names.Load)))
}

func TestAnUnsafeRequestIsSentOnceUnlessItCertainlyDidNotRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  http.HandlerFunc
		runs   int32 // at both targets together
		status int
	}{
		{"refused", refuse, 2, http.StatusOK},
		{"broken off", breakOff, 1, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			first := newStandin(t, "s1", "shop", "a", c.first)
			second := newStandin(t, "s2", "shop", "a", ok)
			second.setLoad("2,0,3,100") // the first looks better
			f := newFixture(t, first, second).start()
			got := f.order()
			for range 20 {
				if first.runs.Load() > 0 {
					break
				}
				second.runs.Store(0)
				got = f.order()
			}
			g.Expect(first.runs.Load()).To(Equal(int32(1)))
			g.Expect(got.status).To(Equal(c.status))
			g.Expect(first.runs.Load() + second.runs.Load()).To(Equal(c.runs))
		})
	}
}

func TestARefusalOfTheGatewayIsAPromiseAndSaysWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	s.setLoad("3,9,3,500")
	f := newFixture(t, s).start()
	got := f.order()
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.header.Get(verdict.Header)).To(Equal("not-run"))
	pause, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pause).To(BeNumerically(">", 0))
	g.Expect(s.runs.Load()).To(BeZero())
}

func TestAFreeButSlowTargetIsTakenBeforeARequestIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	s.setLoad("0,0,3,900")
	f := newFixture(t, s).start()
	g.Expect(f.read().status).To(Equal(http.StatusOK))
}

func TestSecondSendsStayWithinTheBudgetAndTheRoutesAttempts(t *testing.T) {
	g := NewWithT(t)
	var targets []*standin
	for i := range 5 {
		targets = append(targets, newStandin(t, fmt.Sprint("s", i), "shop", "a", refuse))
	}
	f := newFixture(t, targets...)
	f.view = snapshot.New(newTable(3, timeout), f.view.ByService())
	f.start()
	const requests = 50
	for range requests {
		g.Expect(f.order().status).To(Equal(http.StatusServiceUnavailable))
	}
	arrivals := int32(0)
	for _, s := range targets {
		arrivals += s.runs.Load()
	}
	g.Expect(arrivals).To(BeNumerically(">=", requests))
	g.Expect(arrivals).To(BeNumerically("<=", requests+requests*0.2+1))
}

func TestATargetThatCannotBeReachedCostsNoSecondSend(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	dead := catalog.Target{ID: "dead", Service: "shop", Hall: "a", Address: listener.Addr().String()}
	_ = listener.Close()
	alive := newStandin(t, "s1", "shop", "b", ok)
	f := newFixture(t, alive)
	f.view = snapshot.New(newTable(1, timeout), f.view.ByService())
	f.view.ByService()["shop"] = append(f.view.ByService()["shop"], dead)
	f.start()
	for range 10 {
		g.Expect(f.order().status).To(Equal(http.StatusOK))
	}
	g.Expect(alive.runs.Load()).To(Equal(int32(10)))
}

func TestASlowLookupIsSentToASecondTargetAndTheLoserCancelled(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	var first atomic.Bool
	slow := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
		if first.Load() {
			hang(gone)(w, r)
		}
	})
	quick := newStandin(t, "s2", "shop", "b", ok) // the own hall goes first
	f := newFixture(t, slow, quick).start()
	for range 10 { // these earn the budget for a second send
		g.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	first.Store(true)
	got := f.read()
	g.Expect(got.status).To(Equal(http.StatusOK))
	g.Expect(got.body).To(Equal("whole answer"))
	g.Expect(quick.runs.Load()).To(Equal(int32(1)))
	g.Eventually(gone, eventual).Should(BeClosed())
}

func TestASlowUnsafeRequestIsNeverSentToASecondTarget(t *testing.T) {
	g := NewWithT(t)
	slow := newStandin(t, "s1", "shop", "a", hang(nil))
	quick := newStandin(t, "s2", "shop", "b", ok)
	f := newFixture(t, slow, quick)
	f.view = snapshot.New(newTable(2, 3*time.Second), f.view.ByService()) // longer than a lookup waits for its hedge
	f.start()
	got := f.order()
	g.Expect(got.status).To(Equal(http.StatusGatewayTimeout), "no promise")
	g.Expect(got.header.Get("Retry-After")).To(BeEmpty())
	g.Expect(quick.runs.Load()).To(BeZero())
}

func TestAClientThatLeavesEndsTheWorkForIt(t *testing.T) {
	g := NewWithT(t)
	arrived, gone := make(chan struct{}), make(chan struct{})
	s := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		hang(gone)(w, r)
	})
	f := newFixture(t, s)
	f.view = snapshot.New(newTable(2, time.Minute), f.view.ByService())
	f.start()
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-arrived
		leave()
	}()
	got := f.send(ctx, http.MethodPost, orderPath)
	g.Expect(got.err).To(HaveOccurred())
	g.Eventually(gone, eventual).Should(BeClosed())
}

func TestTheLesserOfTheClientsAndTheRoutesTimeHolds(t *testing.T) {
	for _, c := range []struct{ name, client string }{{"route", "60000"}, {"client", "500"}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newStandin(t, "s1", "shop", "a", hang(nil))
			f := newFixture(t, s)
			f.view = snapshot.New(newTable(1, 500*time.Millisecond), f.view.ByService())
			if c.name == "client" {
				f.view = snapshot.New(newTable(1, time.Minute), f.view.ByService())
			}
			f.start()
			got := f.send(t.Context(), http.MethodGet, readPath, names.Deadline, c.client)
			g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
			left, err := strconv.Atoi(s.header(got.id).Get(names.Deadline))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(left).To(BeNumerically("<=", 500))
		})
	}
}

func TestAnAddressThatNowBelongsToAnotherTargetIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	other := newStandin(t, "other", "farm", "a", ok)
	mine := newStandin(t, "s1", "shop", "b", ok)
	f := newFixture(t, mine)
	f.view.ByService()["shop"] = append(f.view.ByService()["shop"], catalog.Target{ID: "gone", Service: "shop", Hall: "a", Address: other.Address})
	f.start()
	for range 5 {
		g.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	g.Expect(other.runs.Load()).To(BeZero())
	g.Expect(mine.runs.Load()).To(Equal(int32(5)))
}

func TestATargetsOwnFailureKeepsItsStatus(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signature", "s1")
		w.WriteHeader(http.StatusInternalServerError)
	})
	f := newFixture(t, s).start()
	got := f.order()
	g.Expect(got.status).To(Equal(http.StatusInternalServerError))
	g.Expect(got.header.Get("X-Signature")).To(Equal("s1"))
}

func TestWhatIsNotKnownIsNotDenied(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(f *fixture)
		status  int
	}{
		{"a route that the newest configuration lacks", func(*fixture) {}, http.StatusNotFound},
		{"the same, but the configuration may be old", func(f *fixture) { f.current = false }, http.StatusServiceUnavailable},
		{"no configuration at all", func(f *fixture) {
			f.view = snapshot.New(nil, nil)
			f.ready = make(chan struct{})
			f.options.Ready = f.ready
		}, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			c.prepare(f)
			f.start()
			got := f.send(t.Context(), http.MethodGet, "/nowhere/")
			g.Expect(got.status).To(Equal(c.status))
			if c.status == http.StatusServiceUnavailable {
				g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		})
	}
}

func TestARequestWaitsForAProcessThatHasJustBegun(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	f := newFixture(t, s)
	known, unknown := f.view, snapshot.New(nil, nil)
	var view atomic.Pointer[snapshot.Snapshot]
	view.Store(unknown)
	f.ready = make(chan struct{})
	f.options.Ready = f.ready
	f.options.Snapshot = view.Load
	f.options.ReadyTimeout = timeout
	f.start()
	time.AfterFunc(20*time.Millisecond, func() {
		view.Store(known)
		close(f.ready)
	})
	g.Expect(f.read().status).To(Equal(http.StatusOK))
}

func TestAStoppingProcessEndsItsConnections(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	f := newFixture(t, s).start()
	f.stop.Store(true)
	r, err := http.NewRequest(http.MethodGet, f.url+readPath, nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "shop.example"
	r.Header.Set(names.RequestID, "last")
	response, err := http.DefaultTransport.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(response.Close).To(BeTrue())
}

func TestALargeBodyIsRefusedByTheLimits(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	f := newFixture(t, s).start()
	r, err := http.NewRequest(http.MethodPost, f.url+orderPath, strings.NewReader(strings.Repeat("a", 1<<20+1)))
	g.Expect(err).NotTo(HaveOccurred())
	r.Host = "shop.example"
	response, err := http.DefaultTransport.RoundTrip(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(s.runs.Load()).To(BeZero())
}

func TestAHeadBeyondTheLimitsIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	f := newFixture(t, s)
	table := routing.New(routing.Config{Version: 8, Limits: routing.Limits{HeaderBytes: 1 << 10}, Routes: []routing.Route{{
		Name: readPath, Host: "shop.example", Prefix: readPath, Repeatable: true, MaxAttempts: 1,
		Objective: objective, Timeout: timeout, Shares: []routing.Share{{Service: "shop", Weight: 1}},
	}}, Services: []routing.Service{{Name: "shop", HealthPath: "/health"}}})
	f.view = snapshot.New(table, f.view.ByService())
	f.start()
	got := f.send(t.Context(), http.MethodGet, readPath, "X-Long", strings.Repeat("a", 4<<10))
	g.Expect(got.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(s.runs.Load()).To(BeZero())
}

func TestHealthAnswersThatAreFalseForAllTargetsKeepNobodyOut(t *testing.T) {
	for name, health := range map[string]http.HandlerFunc{
		"ill":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"hangs": hang(nil),
		"cut":   breakOff,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newStandin(t, "s1", "shop", "a", ok)
			entry := s.entry.Config.Handler
			s.entry.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/health" {
					w.Header().Set(names.Load, "0,0,3,100")
					health(w, r)
					return
				}
				entry.ServeHTTP(w, r)
			})
			f := newFixture(t, s).start()
			g.Expect(f.order().status).To(Equal(http.StatusOK))
		})
	}
}

func TestASlotThatIsBetterLeftFreeIsLeftAndNowAndThenTried(t *testing.T) {
	g := NewWithT(t)
	var passed atomic.Int64 // beside the true time, in ns
	var work time.Duration
	s := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
		passed.Add(int64(work))
		ok(w, r)
	})
	f := newFixture(t, s)
	f.options.Clock = func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }
	explores := false
	f.options.ExploreLimit = func() bool { return explores }
	f.start()
	work = time.Second
	for range 60 {
		g.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	s.setLoad("4,0,6,100")
	work = 3 * time.Second // from the fifth on
	g.Expect(f.read().status).To(Equal(http.StatusOK))
	g.Expect(f.read().status).To(Equal(http.StatusServiceUnavailable))
	explores = true
	g.Expect(f.read().status).To(Equal(http.StatusOK))
	explores = false
	s.setLoad("3,0,6,100")
	g.Expect(f.read().status).To(Equal(http.StatusOK))
}

func TestTrafficIsSplitByWeight(t *testing.T) {
	g := NewWithT(t)
	shop, farm := newStandin(t, "s1", "shop", "a", ok), newStandin(t, "f1", "farm", "a", ok)
	f := newFixture(t, shop, farm)
	var drawn atomic.Int32
	f.options.Draw = func() float64 { return float64(drawn.Add(1)%4) / 4 }
	f.start()
	for range 40 {
		g.Expect(f.send(t.Context(), http.MethodGet, splitPath).status).To(Equal(http.StatusOK))
	}
	g.Expect(shop.runs.Load()).To(Equal(int32(30)))
	g.Expect(farm.runs.Load()).To(Equal(int32(10)))
}

func TestTargetsThatDoNotTellTheirLoadAreNotAskedForLong(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	s.setLoad("")
	var checks atomic.Int32
	entry := s.entry.Config.Handler
	s.entry.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			checks.Add(1)
		}
		entry.ServeHTTP(w, r)
	})
	f := newFixture(t, s).start()
	for range 40 {
		g.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	g.Expect(checks.Load()).To(BeNumerically("<", 20))
}

func TestTargetsWithARestingConnectionArePreferredAndNewOnesFound(t *testing.T) {
	for name, c := range map[string]struct {
		explore bool
		reached int
	}{
		"mostly":           {false, 2},
		"now and then any": {true, 6},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var targets []*standin
			for i := range 6 {
				targets = append(targets, newStandin(t, fmt.Sprint("s", i), "shop", "a", ok))
			}
			f := newFixture(t, targets...)
			f.options.Explore = func() bool { return c.explore }
			var opened atomic.Int32
			f.options.Pool = upstream.New(upstream.Options{Names: names, Opened: func() { opened.Add(1) }})
			f.start()
			// What another probe of a round found is given back beside the answer.
			resting := func() int32 {
				total := 0
				for _, n := range f.options.Pool.Idle() {
					total += n
				}
				return int32(total)
			}
			for range 100 {
				g.Expect(f.read().status).To(Equal(http.StatusOK))
				g.Eventually(func() bool { return resting() == opened.Load() }, eventual).Should(BeTrue())
			}
			reached := 0
			for _, s := range targets {
				if s.runs.Load() > 0 {
					reached++
				}
			}
			g.Expect(reached).To(BeNumerically("~", c.reached, 1))
		})
	}
}

// Guards against a gateway that stands still for a wrong number in the load that a target reports (review/1).
func TestAWrongNumberOfSlotsHoldsNoRequestBack(t *testing.T) {
	for _, slots := range []string{"3728190345", "999999999999999999", "1048576"} {
		t.Run(slots, func(t *testing.T) {
			g := NewWithT(t)
			spoilt, sound := newStandin(t, "s1", "shop", "a", ok), newStandin(t, "s2", "shop", "a", ok)
			spoilt.setLoad("0,0," + slots + ",100")
			sound.setLoad("0,0,3,100")
			f := newFixture(t, spoilt, sound).start()
			for range 20 {
				g.Expect(f.read().status).To(Equal(http.StatusOK))
				g.Expect(f.order().status).To(Equal(http.StatusOK))
			}
		})
	}
}

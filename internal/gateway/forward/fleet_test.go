package forward_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	fleetTargets   = 24
	fleetObjective = 400 * time.Millisecond
	fleetTimeout   = time.Second
	// fleetWorkTime is how long a target works on a request.
	fleetWorkTime = 60 * time.Millisecond
	// fleetInterval is the mean time between two requests of one gateway's clients.
	fleetInterval = 400 * time.Millisecond
	// fleetTries is how many gateways there are at least in all fleets of a case together, so that enough
	// requests count.
	fleetTries = 90
	// fleetView is how many others a gateway knows: those of its hall, of other halls, and the first in rank.
	fleetView = 54
	// firstVersion is that of the configuration at first, configSpread how long another one takes to
	// reach all gateways.
	firstVersion = 7
	configSpread = 40 * time.Millisecond
	// Spans of a test of a cut.
	fleetWarmUp = 3 * time.Second
	fleetCut    = 6 * time.Second
	// fleetGrace is how long after a cut began its bound begins to hold.
	fleetGrace = time.Second
)

// linkFault is what becomes of the links from a gateway to all targets.
type linkFault int

const (
	linksHang linkFault = iota
	linksReset
	newLinksRefused
)

// fleet is a number of gateways before the same targets, in virtual time and memory.
type fleet struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand // of the test's goroutine alone
	targets   []catalog.Target
	mu        sync.Mutex
	listeners map[string]*dialled
	gateways  []*fleetGateway
	runs      sync.Map // *atomic.Int32 by id of request
	closers   []func()
	done      sync.WaitGroup
}

type fleetGateway struct {
	fleet   *fleet
	box     member.Box
	handler *forward.Handler
	view    atomic.Pointer[snapshot.Snapshot]
	fault   atomic.Int32 // a linkFault and one, 0 for none
	conns   sync.Map     // of targets' links
	// known are the gateways that it knows.
	known   []member.Box
	relayed atomic.Int32 // requests that others relayed to it
	// frozen is closed once relayed requests go on that hang there; nil if none do.
	frozen atomic.Pointer[chan struct{}]
	// tries counts its clients' requests by whether they were served, of those that count.
	tries, served atomic.Int32
}

func newFleet(t *testing.T, gateways int, seed uint64) *fleet {
	f := &fleet{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, uint64(gateways))), listeners: map[string]*dialled{}}
	for i := range max(fleetTargets, gateways/2) {
		f.addTarget(fmt.Sprint("t", i))
	}
	for i := range gateways {
		f.gateways = append(f.gateways, f.addGateway(fmt.Sprint("gateway-", i)))
	}
	for i, gw := range f.gateways {
		for _, j := range f.random.Perm(gateways) {
			if j != i && len(gw.known) < fleetView {
				gw.known = append(gw.known, f.gateways[j].box)
			}
		}
	}
	return f
}

func (f *fleet) listen(address string) *dialled {
	l := newDialled()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners[address] = l
	return l
}

func (f *fleet) serve(serve func() error) {
	f.done.Go(func() {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			f.t.Error(err)
		}
	})
}

func (f *fleet) addTarget(id string) {
	s := &standin{Target: catalog.Target{ID: id, Service: "shop", Hall: "a", Address: id, Slots: 3}}
	s.setLoad("0,0,3,100")
	s.do = func(w http.ResponseWriter, r *http.Request) {
		n, _ := f.runs.LoadOrStore(r.Header.Get(names.RequestID), &atomic.Int32{})
		n.(*atomic.Int32).Add(1)
		time.Sleep(fleetWorkTime)
		ok(w, r)
	}
	f.targets = append(f.targets, s.Target)
	server, listener := &http.Server{Handler: s}, f.listen(id)
	f.serve(func() error { return server.Serve(listener) })
	f.closers = append(f.closers, func() { _ = server.Close() })
}

// fleetTable is a version of the configuration of a fleet: both routes go to the one service.
func fleetTable(version uint64) *routing.Table {
	route := func(prefix string, repeatable bool) routing.Route {
		return routing.Route{
			Name: prefix, Host: "shop.example", Prefix: prefix, Repeatable: repeatable, Shares: []routing.Share{{Service: "shop", Weight: 1}},
			Objective: fleetObjective, Timeout: fleetTimeout, MaxAttempts: 2,
		}
	}
	return routing.New(routing.Config{
		Version: version, Limits: routing.Limits{BodyBytes: 1 << 20}, Routes: []routing.Route{route(readPath, true), route(orderPath, false)},
		Services: []routing.Service{{Name: "shop", HealthPath: "/health"}},
	})
}

func (f *fleet) addGateway(id string) *fleetGateway {
	gw := &fleetGateway{fleet: f, box: member.Box{ID: id, Hall: "a", Start: 1, Relay: id}}
	gw.configure(firstVersion)
	ready := make(chan struct{})
	close(ready)
	toTargets := upstream.New(upstream.Options{Names: names, Dial: gw.dialTarget})
	toGateways := upstream.New(upstream.Options{Names: names, Dial: f.dial})
	gw.handler = forward.New(forward.Options{
		Names: names, Places: func() *locality.Map { return locality.New("a", "", nil) }, Snapshot: gw.view.Load,
		Ready: ready, Current: func() bool { return true }, Pool: toTargets, Retry: forward.Retry{Ratio: 0.2, Saved: 1},
		Relay: forward.Relay{Self: id, Gateways: func() []member.Box { return gw.known }, Pool: toGateways},
	})
	server, listener := pipeline.New(pipeline.Options{Handler: gw.countRelayed(gw.handler.Relayed()), Safe: gw.handler.Repeatable}), f.listen(id)
	f.serve(func() error { return server.Serve(listener) })
	f.closers = append(f.closers, func() {
		toTargets.Close()
		toGateways.Close()
		_ = server.Close()
	})
	return gw
}

// configure has a version of the configuration in force at a gateway.
func (gw *fleetGateway) configure(version uint64) {
	gw.view.Store(snapshot.New(fleetTable(version), map[string][]catalog.Target{"shop": gw.fleet.targets}))
}

// changeConfig puts a version into force at each gateway after a time of its own.
func (f *fleet) changeConfig(version uint64) {
	for _, gw := range f.gateways {
		time.AfterFunc(time.Duration(f.random.Int64N(int64(configSpread))), func() { gw.configure(version) })
	}
}

func (gw *fleetGateway) countRelayed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		gw.relayed.Add(1)
		if frozen := gw.frozen.Load(); frozen != nil {
			<-*frozen
		}
		next.ServeHTTP(w, r)
	})
}

func (f *fleet) close() {
	time.Sleep(probesEnd)
	for _, closeOne := range f.closers {
		closeOne()
	}
	f.done.Wait()
}

// dial connects to a target or a gateway.
func (f *fleet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	f.mu.Lock()
	listener := f.listeners[address]
	f.mu.Unlock()
	near, far := connect(newSharedLink(), newSharedLink())
	select {
	case listener.conns <- far:
		return near, nil
	case <-listener.closed:
	case <-ctx.Done():
	}
	_, _ = near.Close(), far.Close()
	return nil, syscall.ECONNREFUSED
}

// targetConn is a gateway's connection to a target: what either side writes behind a cut is lost.
type targetConn struct {
	net.Conn
	gateway *fleetGateway
}

func (c *targetConn) Write(p []byte) (int, error) {
	if c.gateway.has(linksHang) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *targetConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.gateway.has(linksHang) {
			return n, err
		}
	}
}

func (c *targetConn) Close() error {
	c.gateway.conns.Delete(c)
	return c.Conn.Close()
}

func (gw *fleetGateway) has(fault linkFault) bool { return gw.fault.Load() == int32(fault)+1 }

func (gw *fleetGateway) dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	if gw.has(linksHang) {
		return dialHangs(ctx, network, address)
	}
	if gw.has(linksReset) || gw.has(newLinksRefused) {
		return nil, syscall.ECONNREFUSED
	}
	raw, err := gw.fleet.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &targetConn{Conn: raw, gateway: gw}
	gw.conns.Store(conn, nil)
	return conn, nil
}

// cut has a gateway lose its links to all targets.
func (gw *fleetGateway) cut(fault linkFault) {
	gw.fault.Store(int32(fault) + 1)
	if fault == linksReset {
		gw.conns.Range(func(conn, _ any) bool {
			_ = conn.(*targetConn).Close()
			return true
		})
	}
}

func (gw *fleetGateway) heal() { gw.fault.Store(0) }

// request sends a request as a client of the gateway.
func (gw *fleetGateway) request(id string, method, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path+"x", nil)
	if method == http.MethodPost {
		r = httptest.NewRequest(method, path+"x", strings.NewReader("an order"))
	}
	r.Host = "shop.example"
	r.Header.Set(names.RequestID, id)
	answer := httptest.NewRecorder()
	gw.handler.ServeHTTP(answer, r)
	return answer
}

// traffic has the clients of all gateways send requests for a time; those count that come from a
// moment on. It returns once all have ended.
func (f *fleet) traffic(lasts, countFrom time.Duration) {
	var clients, requests sync.WaitGroup
	began := time.Now()
	for i, gw := range f.gateways {
		random := rand.New(rand.NewPCG(f.seed, uint64(1000+i)))
		clients.Go(func() {
			for n := 0; ; n++ {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(fleetInterval)))
				at := time.Since(began)
				if at > lasts {
					return
				}
				method, path := http.MethodGet, readPath
				if n%2 == 0 {
					method, path = http.MethodPost, orderPath
				}
				id := fmt.Sprint(gw.box.ID, "-", began.UnixMilli(), "-", n)
				requests.Go(func() {
					served := gw.request(id, method, path).Code == http.StatusOK
					if at < countFrom {
						return
					}
					gw.tries.Add(1)
					if served {
						gw.served.Add(1)
					}
				})
			}
		})
	}
	clients.Wait()
	requests.Wait()
}

// tally counts the requests that count of some gateways.
type tally struct {
	tries, served int32
	mostRelayed   int32 // that others relayed to one of them
}

func (n *tally) add(gateways []*fleetGateway) {
	for _, gw := range gateways {
		n.tries += gw.tries.Load()
		n.served += gw.served.Load()
		n.mostRelayed = max(n.mostRelayed, gw.relayed.Load())
	}
}

// share is which share of them was served.
func (n *tally) share() float64 { return float64(n.served) / float64(max(n.tries, 1)) }

// fleetSize is the size of a fleet: by hand, one that the environment names.
func fleetSize(size int) int {
	if n, err := strconv.Atoi(os.Getenv("FLEET")); err == nil {
		return n
	}
	return size
}

// Clients of gateways that lost their links to all targets were served far worse than others, the more gateways did.
func TestFirstTriesAtCutOffGatewaysAreServedLikeOthers(t *testing.T) {
	const within = 1.0 / 50 // the goal of the users' rule, from fleetGrace on
	for _, c := range []struct {
		gateways, left int
		fault          linkFault
		changes        time.Duration // between two versions of the configuration; 0 for none
	}{
		{18, 9, linksHang, 0}, {18, 3, linksHang, 0}, {18, 1, linksHang, 0}, {18, 3, linksReset, 0}, {18, 3, newLinksRefused, 0},
		{123, 61, linksHang, 0}, {123, 20, linksHang, 0}, {123, 6, linksHang, 0},
		{18, 3, linksHang, 500 * time.Millisecond}, {18, 9, linksHang, 100 * time.Millisecond}, {123, 20, linksHang, 500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d of %d are left, fault %d, changes %v", c.left, c.gateways, c.fault, c.changes), func(t *testing.T) {
			g := NewWithT(t)
			size := fleetSize(c.gateways)
			var atCutOff, atOthers tally
			for seed := range fleetTries/size + 1 {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, size, uint64(seed))
					defer f.close()
					f.traffic(fleetWarmUp, fleetWarmUp)
					left := max(c.left*size/c.gateways, 1)
					for _, gw := range f.gateways[left:] {
						gw.cut(c.fault)
						defer gw.heal()
					}
					for at, version := c.changes, uint64(firstVersion); c.changes > 0 && at < fleetCut; at += c.changes {
						version++
						time.AfterFunc(at, func() { f.changeConfig(version) })
					}
					f.traffic(fleetCut, fleetGrace)
					atOthers.add(f.gateways[:left])
					atCutOff.add(f.gateways[left:])
					f.runs.Range(func(id, n any) bool {
						g.Expect(n.(*atomic.Int32).Load()).To(BeNumerically("<=", 2), id)
						return true
					})
				})
			}
			t.Logf("served %.3f of %d, at the others %.3f of %d; most relayed requests to one gateway %d", atCutOff.share(), atCutOff.tries, atOthers.share(), atOthers.tries, atOthers.mostRelayed)
			g.Expect(atCutOff.share()).To(BeNumerically(">=", atOthers.share()-within))
		})
	}
}

// An order that no target's probe answered for was sent on an idle connection that led nowhere, and held up to its deadline.
func TestOrderIsNotSentOnIdleConnectionThatLeadsNowhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 1, 0)
		defer f.close()
		f.traffic(fleetWarmUp, 0)
		f.gateways[0].cut(linksHang)
		began := time.Now()
		answer := f.gateways[0].request("an-order", http.MethodPost, orderPath)
		g.Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(answer.Header().Get(verdict.Header)).To(Equal(verdict.NotRun.String()))
		g.Expect(time.Since(began)).To(BeNumerically("<", fleetTimeout))
	})
}

// A gateway that hung was asked on and on by those that are cut off, and held each request to its deadline.
func TestGatewayThatHangsIsPassedOver(t *testing.T) {
	const (
		requests = 200
		interval = 30 * time.Millisecond
		// allowed are those of the first third of a second and one for each time that it is passed over for.
		allowed = 16
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 4, 0)
		defer f.close()
		cutOff, hangs := f.gateways[0], f.gateways[1]
		f.traffic(fleetWarmUp, fleetWarmUp)
		cutOff.cut(linksHang)
		send := func() *atomic.Int32 {
			var served atomic.Int32
			var underWay sync.WaitGroup
			for i := range requests {
				id := fmt.Sprint(time.Now().UnixMilli(), "-", i)
				underWay.Go(func() {
					if cutOff.request(id, http.MethodGet, readPath).Code == http.StatusOK {
						served.Add(1)
					}
				})
				time.Sleep(interval)
			}
			underWay.Wait()
			return &served
		}
		send() // it knows who serves
		thawed := make(chan struct{})
		thaw := sync.OnceFunc(func() { close(thawed) })
		defer thaw()
		hangs.frozen.Store(&thawed)
		before := hangs.relayed.Load()
		served := send().Load()
		t.Logf("asked %d times, served %d of %d", hangs.relayed.Load()-before, served, requests)
		g.Expect(hangs.relayed.Load() - before).To(BeNumerically("<=", allowed))
		g.Expect(served).To(BeNumerically(">=", requests-allowed))
		thaw()
		hangs.frozen.Store(nil)
		time.Sleep(2 * fleetTimeout)
		before = hangs.relayed.Load()
		send()
		g.Expect(hangs.relayed.Load()-before).To(BeNumerically(">", requests/10), "it is back")
	})
}

// Gateways refused relayed requests by what they knew of a cut that had healed while no requests came.
func TestRelayedRequestIsServedAfterCutThatHealedWithoutTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 3, 0)
		defer f.close()
		f.traffic(fleetWarmUp, fleetWarmUp)
		for _, gw := range f.gateways {
			gw.cut(linksHang)
		}
		f.traffic(fleetCut, fleetCut)
		for _, gw := range f.gateways[1:] {
			gw.heal()
		}
		time.Sleep(time.Minute)
		answer := f.gateways[0].request("an-order", http.MethodPost, orderPath)
		g.Expect(answer.Code).To(Equal(http.StatusOK))
	})
}

// A request that was under way when its gateway was cut off was held up to its deadline, though it may run twice.
func TestRequestUnderWayWhenCutBeginsIsServedByAnotherGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 4, 0)
		defer f.close()
		f.traffic(fleetWarmUp, fleetWarmUp)
		cutOff := f.gateways[0]
		time.AfterFunc(fleetWorkTime/2, func() { cutOff.cut(linksHang) })
		answer := cutOff.request("a-read", http.MethodGet, readPath)
		g.Expect(answer.Code).To(Equal(http.StatusOK))
		runs, _ := f.runs.Load("a-read")
		g.Expect(runs.(*atomic.Int32).Load()).To(Equal(int32(2)))
		time.AfterFunc(0, cutOff.heal)
	})
}

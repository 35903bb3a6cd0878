package forward_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline/pipelinetest"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// nowhere is a target at an address at which nobody listens, and that no other process is given
// while the test runs.
func nowhere(t *testing.T, id string) *standin {
	t.Helper()
	s := newStandin(t, id, "shop", "a", ok)
	s.entry.Close()
	s.Address = reservedAddress(t)
	return s
}

// reservedAddress binds a socket that does not listen, so that connections to it are refused.
func reservedAddress(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(bound.(*syscall.SockaddrInet4).Port)).String()
}

// relayedTo has a gateway know another one, which serves by the view of its own fixture, and
// returns how many requests that one was sent.
func (f *fixture) relayedTo(other *fixture) *atomic.Int32 {
	f.t.Helper()
	relayed := &atomic.Int32{}
	serve := forward.New(other.options).Relayed()
	address := pipelinetest.Serve(f.t, pipeline.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		relayed.Add(1)
		serve.ServeHTTP(w, r)
	})})
	f.knows(address)
	return relayed
}

// knows has a gateway know another one by its address.
func (f *fixture) knows(address string) {
	f.t.Helper()
	if f.options.Relay.Pool == nil {
		f.options.Relay = forward.Relay{Self: "gateway-a", Pool: upstream.New(upstream.Options{Names: names})}
		f.t.Cleanup(f.options.Relay.Pool.Close)
	}
	known := []member.Box{{ID: "gateway-" + address, Hall: "a", Relay: address}}
	if f.options.Relay.Gateways != nil {
		known = append(known, f.options.Relay.Gateways()...)
	}
	f.options.Relay.Gateways = func() []member.Box { return known }
}

func TestARelayedRequestReachesItsTargetAsItsClientSentIt(t *testing.T) {
	g := NewWithT(t)
	target := newStandin(t, "t1", "shop", "a", ok)
	f := newFixture(t, nowhere(t, "t0"))
	f.relayedTo(newFixture(t, target))
	got := f.start().send(t.Context(), http.MethodPost, orderPath, "X-Own", "1", names.Deadline, "9000")
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.status).To(Equal(http.StatusOK))
	g.Expect(got.body).To(Equal("whole answer"))
	seen := target.header(got.id)
	g.Expect(seen.Get("X-Own")).To(Equal("1"))
	g.Expect(seen.Get(names.ExpectInstance)).To(Equal("t1"))
	for name := range seen {
		g.Expect(strings.HasPrefix(name, "Sprucecrank-Relay")).To(BeFalse(), name)
	}
	for name := range got.header {
		g.Expect(strings.HasPrefix(name, "Sprucecrank-Relay")).To(BeFalse(), name)
	}
}

func TestARequestIsRelayedOnce(t *testing.T) {
	g := NewWithT(t)
	f, other := newFixture(t, nowhere(t, "t0")), newFixture(t, nowhere(t, "t1"))
	back := other.relayedTo(f)
	relayed := f.relayedTo(other)
	got := f.start().order()
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.header.Get(verdict.Header)).To(Equal(verdict.NotRun.String()))
	g.Expect(relayed.Load()).To(Equal(int32(1)), "it is passed over then")
	g.Expect(back.Load()).To(BeZero())
}

func TestSendsBeforeARelayCount(t *testing.T) {
	g := NewWithT(t)
	first, second := newStandin(t, "t1", "shop", "a", breakOff), newStandin(t, "t2", "shop", "a", breakOff)
	f, other := newFixture(t, newStandin(t, "t0", "shop", "a", breakOff)), newFixture(t, first, second)
	relayed := f.relayedTo(other)
	got := f.start().read() // two sends are allowed
	g.Expect(got.status).To(Equal(http.StatusBadGateway))
	g.Expect(relayed.Load()).To(Equal(int32(1)))
	g.Expect(first.runs.Load() + second.runs.Load()).To(Equal(int32(1)))
}

// Clients of a gateway must not see a newer configuration in force there, and then an older one.
func TestAGatewayWithAnotherConfigurationServesNoRelayedRequest(t *testing.T) {
	for _, version := range []uint64{6, 8} {
		t.Run(fmt.Sprint(version), func(t *testing.T) {
			g := NewWithT(t)
			target := newStandin(t, "t1", "shop", "a", ok)
			f, other := newFixture(t, nowhere(t, "t0")), newFixture(t, target)
			f.view = snapshot.New(newTableOf(version, 2, timeout), map[string][]catalog.Target{"shop": f.view.Targets("shop")})
			relayed := f.relayedTo(other)
			got := f.start().order()
			g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(relayed.Load()).To(Equal(int32(1)))
			g.Expect(target.runs.Load()).To(BeZero())
		})
	}
}

func TestOnlyGatewaysMaySendRelayedRequests(t *testing.T) {
	g := NewWithT(t)
	target := newStandin(t, "t1", "shop", "a", ok)
	f := newFixture(t, target)
	address := pipelinetest.Serve(t, pipeline.Options{Handler: forward.New(f.options).Relayed()})
	response, err := http.Get(fmt.Sprintf("http://%s%sx", address, readPath))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	g.Expect(target.runs.Load()).To(BeZero())
}

// newOrder is an order as the handler gets it.
func newOrder() *http.Request {
	r := httptest.NewRequest(http.MethodPost, orderPath+"x", strings.NewReader("an order"))
	r.Host = "shop.example"
	return r
}

// newRelayed is an order as another gateway relays it, by a version of the configuration.
func newRelayed(config uint64) *http.Request {
	r := newOrder()
	r.Header.Set("Sprucecrank-Relayed-By", "gateway-c")
	r.Header.Set("Sprucecrank-Relay-Service", "shop")
	r.Header.Set("Sprucecrank-Relay-Config", strconv.FormatUint(config, 10))
	r.Header.Set("Sprucecrank-Relay-Sends", "0")
	return r
}

// A relayed request that met full targets kept the gateway's own requests from being relayed.
func TestRelayedRequestThatFindsFullTargetsDoesNotPauseRelays(t *testing.T) {
	g := NewWithT(t)
	full, free := newStandin(t, "t1", "shop", "a", ok), newStandin(t, "t2", "shop", "a", ok)
	full.setLoad("3,9,3,500")
	f := newFixture(t, nowhere(t, "t0"), full)
	asked := f.relayedTo(newFixture(t, free))
	handler := f.serve()
	g.Expect(f.order().status).To(Equal(http.StatusOK), "it reaches few targets")
	var refused sync.WaitGroup
	refused.Go(func() {
		answer := httptest.NewRecorder()
		handler.Relayed().ServeHTTP(answer, newRelayed(7))
		g.Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
	})
	time.Sleep(50 * time.Millisecond) // its search ends shortly before that of the next one
	g.Expect(f.order().status).To(Equal(http.StatusOK))
	refused.Wait()
	g.Expect(asked.Load()).To(Equal(int32(2)))
}

// A request was refused by the first gateway it was relayed to, which reached few targets, though another had room.
func TestRequestIsRelayedPastGatewayThatReachesFewTargets(t *testing.T) {
	g := NewWithT(t)
	full, free := newStandin(t, "t1", "shop", "a", ok), newStandin(t, "t2", "shop", "a", ok)
	full.setLoad("3,9,3,500")
	f := newFixture(t, nowhere(t, "t0"))
	few := f.relayedTo(newFixture(t, nowhere(t, "t0"), full))
	f.relayedTo(newFixture(t, free))
	f.start()
	g.Eventually(func() int32 {
		g.Expect(f.order().status).To(Equal(http.StatusOK))
		return few.Load()
	}, eventual).Should(BeNumerically(">", 0), "it was asked")
}

// A gateway to which a request was relayed searched as long as if its client had just sent it.
func TestRelayedRequestIsSearchedForNoLongerThanOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t)
		f.view = snapshot.New(newTable(2, timeout), map[string][]catalog.Target{"shop": {{ID: "t0", Service: "shop", Hall: "a"}}})
		f.options.Pool = upstream.New(upstream.Options{Names: names, Dial: dialHangs})
		handler := forward.New(f.options).Relayed()
		search := func(held time.Duration) time.Duration {
			r := newRelayed(7)
			r.Header.Set("Sprucecrank-Relay-Held-Ms", strconv.FormatInt(held.Milliseconds(), 10))
			answer, began := httptest.NewRecorder(), time.Now()
			handler.ServeHTTP(answer, r)
			g.Expect(answer.Header().Get("Sprucecrank-Relay-Reason")).To(Equal(string(verdict.ReasonUnreachable)))
			return time.Since(began)
		}
		whole := search(0)
		g.Expect(search(whole)).To(BeNumerically("<", whole/2))
		time.Sleep(probesEnd)
	})
}

// A gateway that was cut off made a round of probes for a relayed request before it refused it.
func TestRelayedRequestIsRefusedAtOnceByCutOffGateway(t *testing.T) {
	const askInterval = 500 * time.Millisecond // a request that comes after a second without any looks again
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(t)
		f.view = snapshot.New(newTable(2, timeout), map[string][]catalog.Target{"shop": {{ID: "t0", Service: "shop", Hall: "a"}}})
		f.options.Pool = upstream.New(upstream.Options{Names: names, Dial: dialHangs})
		handler := forward.New(f.options).Relayed()
		ask := func() time.Duration {
			answer, began := httptest.NewRecorder(), time.Now()
			handler.ServeHTTP(answer, newRelayed(7))
			g.Expect(answer.Header().Get("Sprucecrank-Relay-Reason")).To(Equal(string(verdict.ReasonUnreachable)))
			return time.Since(began)
		}
		g.Expect(ask()).To(BeNumerically(">", 0), "it does not know yet")
		for range 20 {
			g.Expect(ask()).To(BeZero())
			time.Sleep(askInterval)
		}
		time.Sleep(probesEnd)
	})
}

// Clients of a gateway were refused since it knew no gateway that reaches targets, though another one did.
func TestRequestIsRelayedToGatewayThatRefusalNames(t *testing.T) {
	g := NewWithT(t)
	target := newStandin(t, "t1", "shop", "a", ok)
	asked, f := newFixture(t, nowhere(t, "t0")), newFixture(t, nowhere(t, "t0"))
	asked.relayedTo(newFixture(t, target))
	g.Expect(asked.start().order().status).To(Equal(http.StatusOK))
	f.options.Relay = forward.Relay{Self: "gateway-f", Pool: asked.options.Relay.Pool}
	address := pipelinetest.Serve(t, pipeline.Options{Handler: asked.handler.Relayed()})
	f.options.Relay.Gateways = func() []member.Box { return []member.Box{{ID: "gateway-b", Hall: "a", Relay: address}} }
	g.Expect(f.start().order().status).To(Equal(http.StatusOK))
	g.Expect(target.runs.Load()).To(Equal(int32(2)))
}

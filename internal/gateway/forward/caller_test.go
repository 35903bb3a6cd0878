package forward_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/core/gateway/workspace"
	"github.com/sprucecrank/sprucecrank/core/member"
	internalquota "github.com/sprucecrank/sprucecrank/internal/gateway/quota"
)

// openPath is that of a route that needs no key.
const openPath = "/open/"

// keyed is a data path whose configuration asks for keys, and may change.
type keyed struct {
	*fixture
	believed atomic.Pointer[snapshot.Snapshot]
	logs     lockedBuffer
}

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newKeyed(t *testing.T, version uint64, workspaces []workspace.Config, targets ...*standin) *keyed {
	k := &keyed{fixture: newFixture(t, targets...)}
	k.put(version, workspaces)
	k.options.Snapshot = k.believed.Load
	k.options.Log = slog.New(slog.NewJSONHandler(&k.logs, &slog.HandlerOptions{Level: slog.LevelDebug}))
	return k
}

// put puts a version of the configuration in force.
func (k *keyed) put(version uint64, workspaces []workspace.Config) {
	route := func(prefix string, repeatable, public bool) routing.Route {
		return routing.Route{
			Name: prefix, Host: "shop.example", Prefix: prefix, Repeatable: repeatable, Public: public,
			Shares:    []routing.Share{{Service: "shop", Weight: 1}},
			Objective: objective, Timeout: timeout, MaxAttempts: 2, Priority: 1,
		}
	}
	table := routing.New(routing.Config{
		Version:  version,
		Routes:   []routing.Route{route(readPath, true, false), route(orderPath, false, false), route(openPath, true, true)},
		Services: []routing.Service{{Name: "shop", HealthPath: "/health"}}, Workspaces: workspaces,
	})
	k.believed.Store(snapshot.New(table, k.view.ByService()))
}

func (k *keyed) get(path string, extra ...string) result {
	k.t.Helper()
	return k.send(k.t.Context(), http.MethodGet, path, extra...)
}

func harbour(keys ...string) []workspace.Config {
	return []workspace.Config{{Name: "harbour", Keys: keys}}
}

func TestATargetGetsTheWorkspaceAndNeverTheKey(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	k := newKeyed(t, 7, harbour("k-1"), s)
	k.start()
	for _, path := range []string{readPath, openPath} {
		got := k.get(path, "Authorization", "bearer  k-1", names.Workspace, "mill")
		g.Expect(got.status).To(Equal(http.StatusOK))
		g.Expect(s.header(got.id)).NotTo(HaveKey("Authorization"))
		g.Expect(s.header(got.id)[names.Workspace]).To(Equal([]string{"harbour"}))
	}
	open := k.get(openPath, "Authorization", "Bearer strange", names.Workspace, "mill")
	g.Expect(open.status).To(Equal(http.StatusOK))
	g.Expect(s.header(open.id)).NotTo(Or(HaveKey("Authorization"), HaveKey(names.Workspace)))
	g.Expect(k.logs.String()).To(ContainSubstring(`"workspace":"harbour"`))
	g.Expect(k.logs.String()).NotTo(Or(ContainSubstring("k-1"), ContainSubstring("strange")))
}

func TestARequestWithoutAKnownKeyIsRefusedAtOnce(t *testing.T) {
	s := newStandin(t, "s1", "shop", "a", ok)
	for name, shown := range map[string][]string{
		"none":           nil,
		"unknown":        {"Authorization", "Bearer k-2"},
		"another scheme": {"Authorization", "Basic k-1"},
		"empty":          {"Authorization", "Bearer "},
		"of 8 kB":        {"Authorization", "Bearer " + strings.Repeat("k", 8<<10)},
		"its name alone": {names.Workspace, "harbour"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			k := newKeyed(t, 7, harbour("k-1"), s)
			k.start()
			got := k.get(readPath, shown...)
			g.Expect(got.status).To(Equal(http.StatusUnauthorized))
			g.Expect(got.header.Get("WWW-Authenticate")).To(Equal("Bearer"))
			g.Expect(got.header).NotTo(HaveKey("Retry-After"))
			g.Expect(s.runs.Load()).To(BeZero())
		})
	}
}

func TestAConfigurationWithoutAnyKeyAsksForOneAllTheSame(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	k := newKeyed(t, 7, []workspace.Config{}, s)
	k.start()
	g.Expect(k.get(readPath, "Authorization", "Bearer k-1").status).To(Equal(http.StatusUnauthorized))
	k.put(8, nil) // no workspaces at all: whatever the header holds is the target's
	got := k.get(readPath, "Authorization", "Bearer k-1")
	g.Expect(got.status).To(Equal(http.StatusOK))
	g.Expect(s.header(got.id).Get("Authorization")).To(Equal("Bearer k-1"))
}

// A gateway that may be behind does not know that a key is wrong.
func TestAKeyThatMayBeNewIsNotDeniedByAGatewayThatMayBeBehind(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	k := newKeyed(t, 7, harbour("k-1"), s)
	k.current = false
	k.start()
	got := k.get(readPath, "Authorization", "Bearer k-2")
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(k.get(readPath).status).To(Equal(http.StatusUnauthorized)) // without any, no version helps
	g.Expect(k.get(readPath, "Authorization", "Bearer k-1").status).To(Equal(http.StatusOK))
}

func TestKeysThatCannotBeTrustedAreRefusedForNow(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	k := newKeyed(t, 7, harbour("k-1"), s)
	var trusted atomic.Bool
	k.options.TrustsKeys = trusted.Load
	k.start()
	g.Expect(k.get(readPath, "Authorization", "Bearer k-1").status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(s.runs.Load()).To(BeZero())
	g.Expect(k.get(openPath).status).To(Equal(http.StatusOK))
	g.Expect(k.get(openPath, "Authorization", "Bearer k-1").status).To(Equal(http.StatusOK))
	trusted.Store(true)
	g.Expect(k.get(readPath, "Authorization", "Bearer k-1").status).To(Equal(http.StatusOK))
}

// Whatever has not been sent when a key is taken away is not sent any more.
func TestARevokedKeySendsNothingMore(t *testing.T) {
	t.Run("a second send", func(t *testing.T) {
		g := NewWithT(t)
		var k *keyed
		revoke := func(w http.ResponseWriter, r *http.Request) {
			k.put(8, harbour("k-2"))
			refuse(w, r)
		}
		first, second := newStandin(t, "s1", "shop", "a", revoke), newStandin(t, "s2", "shop", "a", revoke)
		k = newKeyed(t, 7, harbour("k-1"), first, second)
		k.start()
		g.Expect(k.get(readPath, "Authorization", "Bearer k-1").status).To(Equal(http.StatusUnauthorized))
		g.Expect(first.runs.Load() + second.runs.Load()).To(Equal(int32(1)))
	})
	t.Run("while it waits for a target", func(t *testing.T) {
		g := NewWithT(t)
		s := newStandin(t, "s1", "shop", "a", ok)
		s.setLoad("3,0,3,100")
		k := newKeyed(t, 7, harbour("k-1"), s)
		k.start()
		time.AfterFunc(20*time.Millisecond, func() { k.put(8, harbour("k-2")) })
		g.Expect(k.get(readPath, "Authorization", "Bearer k-1").status).To(Equal(http.StatusUnauthorized))
		g.Expect(s.runs.Load()).To(BeZero())
	})
	t.Run("at most once, and it may have run", func(t *testing.T) {
		g := NewWithT(t)
		var k *keyed
		s := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
			k.put(8, harbour("k-2"))
			breakOff(w, r)
		})
		k = newKeyed(t, 7, harbour("k-1"), s)
		k.start()
		got := k.send(t.Context(), http.MethodPost, orderPath, "Authorization", "Bearer k-1")
		g.Expect(got.status).To(Equal(http.StatusBadGateway)) // no promise
		g.Expect(s.runs.Load()).To(Equal(int32(1)))
	})
}

func TestAKeyThatMovesIsTheOtherWorkspacesAtOnce(t *testing.T) {
	g := NewWithT(t)
	var k *keyed
	move := func(w http.ResponseWriter, r *http.Request) {
		if k.believed.Load().Table().Version() == 7 {
			k.put(8, []workspace.Config{{Name: "mill", Keys: []string{"k-1"}}})
			refuse(w, r)
			return
		}
		ok(w, r)
	}
	first, second := newStandin(t, "s1", "shop", "a", move), newStandin(t, "s2", "shop", "a", move)
	k = newKeyed(t, 7, harbour("k-1"), first, second)
	k.start()
	got := k.get(readPath, "Authorization", "Bearer k-1")
	g.Expect(got.status).To(Equal(http.StatusOK))
	var seen []string
	for _, s := range []*standin{first, second} {
		seen = append(seen, s.header(got.id).Get(names.Workspace))
	}
	g.Expect(seen).To(ConsistOf("harbour", "mill"))
}

// limited is a limiter of a fleet of one, which is its own home.
func limited(t *testing.T) *internalquota.Limiter {
	self := member.Box{ID: "gateway-1", Peer: "127.0.0.1:1"}
	var read atomic.Bool
	register := internalquota.New(internalquota.Options{
		Self: self, Homes: func(int) []member.Box { return []member.Box{self} },
		FleetSize: func() int { return 1 }, HasLimits: func() bool { return true },
		Clock: func() time.Time {
			if !read.Swap(true) {
				return time.Now().Add(-time.Minute) // it began long ago, and knows that it is alone
			}
			return time.Now()
		},
	})
	return register
}

func TestARequestBeyondTheQuotaIsRefusedWithoutAProbe(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	k := newKeyed(t, 7, []workspace.Config{
		{Name: "harbour", Keys: []string{"k-1"}, Limit: quota.Limit{Rate: 0.001, Burst: 40}},
		{Name: "mill", Keys: []string{"k-2"}},
	}, s)
	k.options.Quota = limited(t)
	k.start()
	served := 0
	var last result
	for range 20 {
		if last = k.get(readPath, "Authorization", "Bearer k-1"); last.status == http.StatusOK {
			served++
		}
	}
	g.Expect(last.status).To(Equal(http.StatusTooManyRequests))
	g.Expect(last.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(served).To(BeNumerically(">", 0))
	g.Expect(served).To(BeNumerically("<=", 40))
	g.Expect(int(s.runs.Load())).To(Equal(served))
	g.Expect(k.get(readPath, "Authorization", "Bearer k-2").status).To(Equal(http.StatusOK))
}

// A request that did not run has used nothing of its quota.
func TestARequestThatDidNotRunGivesItsCreditBack(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", refuse)
	k := newKeyed(t, 7, []workspace.Config{
		{Name: "harbour", Keys: []string{"k-1"}, Limit: quota.Limit{Rate: 0.001, Burst: 20}},
	}, s)
	k.options.Quota = limited(t)
	k.start()
	for range 10 {
		got := k.get(readPath, "Authorization", "Bearer k-1")
		g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	}
}

// BenchmarkAStranger measures what a request with a made-up key costs the gateway, without
// its connection: 6 us beside other load, so that 10,000 a second take 6 hundredths of a core.
func BenchmarkAStranger(b *testing.B) {
	f := newFixture(b)
	table := routing.New(routing.Config{
		Version:    7,
		Routes:     []routing.Route{{Name: "read", Host: "shop.example", Prefix: readPath, Repeatable: true}},
		Workspaces: harbour("k-1"),
	})
	f.view = snapshot.New(table, nil)
	handler := f.serve()
	r := httptest.NewRequest(http.MethodGet, "http://shop.example"+readPath+"x", nil)
	r.Header.Set("Authorization", "Bearer made-up")
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != http.StatusUnauthorized {
			b.Fatal(w.Code)
		}
	}
}

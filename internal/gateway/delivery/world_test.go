package delivery_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/delivery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// What becomes of calls to the store: no answer, or one that says that nothing was done.
var (
	errAway       = errors.New("the store is away")
	errTurnedAway = errors.New("the store turned the call away")
)

// silentAfter is how long a gateway that fails unseen is still taken for the reader, as
// in a deployment whose updates must be in force within 2.5 s.
const silentAfter = 1250 * time.Millisecond

// world is a store and a fleet of gateways in virtual time. Whoever reaches the store
// hears of a change at once; the first that does, in the order of the fleet, reads it.
type world struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]catalog.Rollout
	done     []catalog.Rollout // every write that was done
	calls    atomic.Int32      // writes that were tried
	bad      atomic.Bool       // all sends to the ordered version fail
	stuck    atomic.Bool       // nothing is decided
	reports  atomic.Int32      // how many gateways' the latest advance went by
	woken    chan struct{}
	// fate is what happens to a write before the store looks at it, and answer what to its
	// answer; nil is nothing.
	fate   func(g *gateway, r catalog.Rollout) error
	answer func(g *gateway) error
	// apart says whether two gateways can't reach each other.
	apart func(a, b *gateway) bool
	fleet []*gateway
}

func newWorld(size int) *world {
	w := &world{objects: map[string]catalog.Rollout{}, woken: make(chan struct{}), apart: func(a, b *gateway) bool { return false }}
	for i := range size {
		w.start("gateway-" + strconv.Itoa(i))
	}
	return w
}

// all lists the gateways, in the order in which they read the store.
func (w *world) all() []*gateway {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.fleet)
}

// lines keeps log lines for a test to look at.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// gateway is one gateway of a world.
type gateway struct {
	*delivery.Delivery
	world   *world
	self    member.Box
	stop    context.CancelFunc
	log     *lines
	leaving atomic.Bool
	insists atomic.Bool  // reads whoever else does
	idle    atomic.Bool  // sends nothing
	earlier atomic.Bool  // of a revision that takes no reports
	active  atomic.Int32 // sends to the old version under way

	mu     sync.Mutex
	broken time.Time     // since when it is dead, frozen or without the store; zero if it is not
	frozen chan struct{} // closed when it wakes; nil while it is awake
	dead   bool
	deaf   bool // without the store
	late   bool // without news of it
	heard  []catalog.Rollout
	conns  []net.Conn
	// met is when an order was first seen running, and failed are bad answers of its version
	// that a test adds.
	met    map[order]time.Time
	failed map[order]uint64
	began  time.Time
}

// order tells orders apart: what was counted for one version says nothing of the next.
type order struct{ service, version string }

func orderOf(r catalog.Rollout) order { return order{service: r.Service, version: r.Version} }

// start starts a gateway, in the place of one of the same id.
func (w *world) start(id string) *gateway {
	ctx, stop := context.WithCancel(context.Background())
	g := &gateway{world: w, stop: stop, log: &lines{}, met: map[order]time.Time{}, failed: map[order]uint64{}, began: time.Now()}
	g.self = member.Box{ID: id, Peer: id + ":80", Start: uint64(time.Now().UnixNano())}
	g.Delivery = delivery.New(delivery.Options{
		Self: g.self, Limits: rollout.Limits{Share: 0.1, Slack: 50, RollBackWithin: 5 * time.Second},
		Rollouts: g.believed, Changed: g.changed, Age: func() time.Duration { return 0 }, Reads: g.reads, Leaving: g.leaving.Load,
		Peers: g.peers, Standing: standing, Decide: w.decide,
		Reports: g.reports, Record: g.record, Dial: g.dial, Log: slog.New(slog.NewTextHandler(g.log, nil)),
		Clock: func() time.Time {
			g.pass()
			return time.Now()
		},
	})
	w.mu.Lock()
	if i := slices.IndexFunc(w.fleet, func(other *gateway) bool { return other.self.ID == id }); i >= 0 {
		w.fleet[i] = g
	} else {
		w.fleet = append(w.fleet, g)
	}
	w.mu.Unlock()
	for _, duty := range g.Duties() {
		go func() { _ = duty(ctx) }()
	}
	return g
}

func standing(catalog.Rollout) discovery.VersionTargets {
	return discovery.VersionTargets{OnTrial: true, Baseline: 3, Canary: 3, Warm: 3}
}

// decideByCounts goes from stage to stage each second, once all report the stage, and
// rolls back at the third failure, or at the deadline.
func decideByCounts(s rollout.State) rollout.Decision {
	stages := []int{50, 300, 1000}
	next := slices.IndexFunc(stages, func(permille int) bool { return permille > s.Order.Permille })
	switch {
	case s.Evidence.Total().Canary.Failed >= 3:
		return rollout.Decision{Verb: rollout.RollBack, Reason: rollout.ReasonFailures}
	case s.Age >= s.Order.Within:
		return rollout.Decision{Verb: rollout.RollBack, Reason: rollout.ReasonDeadline}
	case s.Order.State == catalog.RolloutOrdered:
		return rollout.Decision{Verb: rollout.Advance, Permille: stages[0], Reason: rollout.ReasonOrdered}
	case s.StageAge < time.Second || len(s.Behind) > 0 && s.StageAge < 3*time.Second || s.Evidence.Reports == 0:
		return rollout.Decision{}
	case next < 0 && s.BaselineActive == 0:
		return rollout.Decision{Verb: rollout.Complete, Reason: rollout.ReasonMoved}
	case next < 0:
		return rollout.Decision{}
	}
	return rollout.Decision{Verb: rollout.Advance, Permille: stages[next], Reason: rollout.ReasonSound}
}

func (w *world) decide(s rollout.State) rollout.Decision {
	if w.stuck.Load() {
		return rollout.Decision{}
	}
	decision := decideByCounts(s)
	if decision.Verb == rollout.Advance {
		w.reports.Store(int32(s.Evidence.Reports))
	}
	return decision
}

// pass waits while the gateway is frozen.
func (g *gateway) pass() {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (g *gateway) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen, g.broken = make(chan struct{}), time.Now()
}

func (g *gateway) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.frozen)
	g.frozen, g.broken = nil, time.Time{}
}

// kill ends the gateway as a killed process ends.
func (g *gateway) kill() {
	g.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead, g.broken = true, time.Now()
	for _, conn := range g.conns {
		_ = conn.Close()
	}
}

// cutOff takes the store from a gateway, or gives it back.
func (g *gateway) cutOff(deaf bool) {
	heard := g.believed()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deaf, g.heard, g.broken = deaf, heard, time.Time{}
	if deaf {
		g.broken = time.Now()
	}
}

// hold keeps news from a gateway that goes on reaching the store.
func (g *gateway) hold() {
	heard := g.believed()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late, g.heard = true, heard
}

// usable says whether others take the gateway for one that reads if it ranks first.
func (g *gateway) usable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leaving.Load() && (g.broken.IsZero() || time.Since(g.broken) < silentAfter)
}

func (g *gateway) reads() bool {
	g.pass()
	g.mu.Lock()
	deaf := g.deaf
	g.mu.Unlock()
	for _, other := range g.world.all() {
		if other == g || g.insists.Load() {
			break
		}
		if other.usable() && !g.world.isApart(g, other) {
			return false
		}
	}
	return !deaf
}

// believed are the rollouts as the store has them, or had them when it was last reached.
func (g *gateway) believed() []catalog.Rollout {
	g.pass()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.deaf || g.late {
		return g.heard
	}
	return g.world.list()
}

func (w *world) list() []catalog.Rollout {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []catalog.Rollout
	for _, r := range w.objects {
		out = append(out, r)
	}
	return out
}

func (g *gateway) changed() <-chan struct{} {
	g.world.mu.Lock()
	defer g.world.mu.Unlock()
	return g.world.woken
}

func (g *gateway) peers() []string {
	var out []string
	for _, other := range g.world.all() {
		if other.usable() {
			out = append(out, other.self.ID)
		}
	}
	return out
}

// sendEvery is the pause between two sends of a gateway to each version.
const sendEvery = 300 * time.Millisecond

// reports counts the sends to both versions since the rollout was first seen running; all
// to a bad one fail.
func (g *gateway) reports(running []catalog.Rollout) []rollout.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(running)
	var out []rollout.Report
	for _, r := range running {
		key := orderOf(r)
		if _, met := g.met[key]; !met {
			g.met[key] = time.Now()
		}
		n := uint64(time.Since(g.met[key]) / sendEvery)
		if g.idle.Load() {
			n = 0
		}
		canary := rollout.Counts{Sends: n + g.failed[key], Failed: g.failed[key]}
		if g.world.bad.Load() {
			canary.Failed = canary.Sends
		}
		out = append(out, rollout.Report{
			Service: r.Service, Version: r.Version, Permille: r.Permille, BaselineActive: int(g.active.Load()),
			Counts: []rollout.RouteCounts{
				{Route: "all", Counts: rollout.Counts{Sends: n}}, {Route: "all", Canary: true, Counts: canary},
			},
		})
	}
	return out
}

// forget drops what was counted for rollouts that are no longer under way.
func (g *gateway) forget(running []catalog.Rollout) {
	for key := range g.met {
		if !slices.ContainsFunc(running, func(r catalog.Rollout) bool { return orderOf(r) == key }) {
			delete(g.met, key)
			delete(g.failed, key)
		}
	}
}

// fail counts bad answers of the version that is ordered now.
func (g *gateway) fail(service string, n uint64) {
	key := orderOf(g.world.rollout(service))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed[key] += n
}

// order writes an order as an operator does.
func (w *world) order(service, version string, within time.Duration) {
	w.put(catalog.Rollout{Service: service, Version: version, Within: within})
}

// put writes an object at the next revision.
func (w *world) put(r catalog.Rollout) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putLocked(r)
}

// putLocked is put; the lock is held.
func (w *world) putLocked(r catalog.Rollout) catalog.Rollout {
	w.revision++
	r.Revision = w.revision
	w.objects[r.Service] = r
	close(w.woken)
	w.woken = make(chan struct{})
	return r
}

// remove deletes an order.
func (w *world) remove(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	delete(w.objects, service)
	close(w.woken)
	w.woken = make(chan struct{})
}

// write is the store's part of a write.
func (w *world) write(r catalog.Rollout) (discovery.RecordResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, ok := w.objects[r.Service]
	if !ok || now.Revision != r.Revision {
		return discovery.RecordResult{Outcome: discovery.RecordRefused, Rollout: &now}, errors.New("another revision")
	}
	r = w.putLocked(r)
	w.done = append(w.done, r)
	return discovery.RecordResult{Outcome: discovery.RecordDone, Rollout: &r}, nil
}

// record is a gateway's write.
func (g *gateway) record(ctx context.Context, r catalog.Rollout) (discovery.RecordResult, error) {
	w := g.world
	g.pass()
	w.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
	g.mu.Lock()
	deaf := g.deaf
	g.mu.Unlock()
	if deaf {
		time.Sleep(time.Second)
		return discovery.RecordResult{}, errAway
	}
	w.mu.Lock()
	fate, answer := w.fate, w.answer
	w.mu.Unlock()
	if fate != nil {
		if err := fate(g, r); errors.Is(err, errTurnedAway) {
			return discovery.RecordResult{Outcome: discovery.RecordRefused}, err
		} else if err != nil {
			return discovery.RecordResult{}, err
		}
	}
	g.pass()
	if ctx.Err() != nil {
		return discovery.RecordResult{}, ctx.Err() // killed before it was sent
	}
	record, err := w.write(r)
	g.pass()
	if answer != nil && answer(g) != nil {
		return discovery.RecordResult{}, errAway
	}
	return record, err
}

// setFate changes what happens to writes and to their answers.
func (w *world) setFate(fate func(g *gateway, r catalog.Rollout) error, answer func(g *gateway) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fate, w.answer = fate, answer
}

// lateWrite leaves a write without an answer, and does it after a time if its condition
// holds then.
func (w *world) lateWrite(r catalog.Rollout, late time.Duration) {
	time.AfterFunc(late, func() { _, _ = w.write(r) }) // refused is what should come of most
}

// at is the gateway at an address; nil if there is none.
func (w *world) at(address string) *gateway {
	for _, g := range w.all() {
		if g.self.Peer == address {
			return g
		}
	}
	return nil
}

func (w *world) isApart(a, b *gateway) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.apart(a, b)
}

func (w *world) setApart(apart func(a, b *gateway) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apart = apart
}

// dial connects to another gateway.
func (g *gateway) dial(ctx context.Context, _, address string) (net.Conn, error) {
	to := g.world.at(address)
	if to == nil {
		return nil, errors.New("connection refused")
	}
	if g.world.isApart(g, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.dead {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	cut := func() bool { return g.world.isApart(g, to) }
	to.conns = append(to.conns, far)
	server := rpc.NewServer()
	if service := to.Service(); !to.earlier.Load() {
		if err := server.RegisterName(service.Name, service.Methods); err != nil {
			return nil, err
		}
	}
	go server.ServeConn(&lossy{Conn: far, cut: cut})
	return &lossy{Conn: near, cut: cut}, nil
}

// lossy is a connection that loses what is written while its way is cut.
type lossy struct {
	net.Conn
	cut func() bool
}

func (l *lossy) Write(p []byte) (int, error) {
	if l.cut() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// stopAll ends all gateways.
func (w *world) stopAll() {
	for _, g := range w.all() {
		g.mu.Lock()
		frozen := g.frozen != nil
		g.mu.Unlock()
		if frozen {
			g.wake()
		}
		g.kill()
	}
}

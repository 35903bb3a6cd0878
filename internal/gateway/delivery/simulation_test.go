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

// Results of calls to the store: no response, or a response that nothing was done.
var (
	errUnavailable = errors.New("store unavailable")
	errRejected    = errors.New("store rejected the call")
)

// failureDetection is how long a gateway that has failed silently still counts as the
// reader, as in a deployment whose updates must be in effect within 2.5 s.
const failureDetection = 1250 * time.Millisecond

// fleetSimulation is a store and a fleet of gateways in virtual time. Every gateway that
// reaches the store receives a change at once; the first one that does, in the order of the
// fleet, is the reader.
type fleetSimulation struct {
	mu               sync.Mutex
	revision         uint64
	objects          map[string]catalog.Rollout
	written          []catalog.Rollout // every write that was done
	writeAttempts    atomic.Int32      // attempted writes
	canaryFails      atomic.Bool       // all sends to the ordered version fail
	paused           atomic.Bool       // no decisions are made
	reportsAtAdvance atomic.Int32      // the gateways that had reported at the latest advance
	changed          chan struct{}
	// beforeWrite is called before the store handles a write, and afterWrite before its
	// response is returned; nil for none.
	beforeWrite func(g *gateway, r catalog.Rollout) error
	afterWrite  func(g *gateway) error
	// partitioned reports whether two gateways can't reach each other.
	partitioned func(a, b *gateway) bool
	gateways    []*gateway
}

func newFleetSimulation(size int) *fleetSimulation {
	w := &fleetSimulation{objects: map[string]catalog.Rollout{}, changed: make(chan struct{}), partitioned: func(a, b *gateway) bool { return false }}
	for i := range size {
		w.start("gateway-" + strconv.Itoa(i))
	}
	return w
}

// all lists the gateways, in the order in which they read the store.
func (w *fleetSimulation) all() []*gateway {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.gateways)
}

// logBuffer keeps log lines for a test to examine.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// gateway is one gateway of the simulation.
type gateway struct {
	*delivery.Delivery
	fleet          *fleetSimulation
	self           member.Box
	stop           context.CancelFunc
	log            *logBuffer
	leaving        atomic.Bool
	alwaysReads    atomic.Bool  // reads the store even if another gateway does
	idle           atomic.Bool  // sends nothing
	withoutReports atomic.Bool  // of a revision that accepts no reports
	active         atomic.Int32 // sends to the baseline in flight

	mu          sync.Mutex
	failedSince time.Time     // since when it is dead, frozen or cut off from the store; zero if it is not
	frozen      chan struct{} // closed when the gateway continues; nil while it is not frozen
	dead        bool
	storeCut    bool // the store is unreachable
	stale       bool // receives no updates from the store
	lastKnown   []catalog.Rollout
	conns       []net.Conn
	// firstRunning is when an order was first seen running, and failed counts bad responses
	// of its version that a test adds.
	firstRunning map[orderKey]time.Time
	failed       map[orderKey]uint64
	began        time.Time
}

// orderKey identifies an order: the counts for one version don't apply to the next.
type orderKey struct{ service, version string }

func keyOf(r catalog.Rollout) orderKey { return orderKey{service: r.Service, version: r.Version} }

// start starts a gateway, in place of one with the same id.
func (w *fleetSimulation) start(id string) *gateway {
	ctx, stop := context.WithCancel(context.Background())
	g := &gateway{fleet: w, stop: stop, log: &logBuffer{}, firstRunning: map[orderKey]time.Time{}, failed: map[orderKey]uint64{}, began: time.Now()}
	g.self = member.Box{ID: id, Peer: id + ":80", Start: uint64(time.Now().UnixNano())}
	g.Delivery = delivery.New(delivery.Options{
		Self: g.self, Limits: rollout.Limits{Share: 0.1, Slack: 50, RollBackWithin: 5 * time.Second},
		Rollouts: g.known, Changed: g.changed, Age: func() time.Duration { return 0 }, Reads: g.reads, Leaving: g.leaving.Load,
		Peers: g.peers, Standing: standing, Decide: w.decide,
		Reports: g.reports, Record: g.record, Dial: g.dial, Log: slog.New(slog.NewTextHandler(g.log, nil)),
		Clock: func() time.Time {
			g.waitWhileFrozen()
			return time.Now()
		},
	})
	w.mu.Lock()
	if i := slices.IndexFunc(w.gateways, func(other *gateway) bool { return other.self.ID == id }); i >= 0 {
		w.gateways[i] = g
	} else {
		w.gateways = append(w.gateways, g)
	}
	w.mu.Unlock()
	for _, task := range g.Tasks() {
		go func() { _ = task(ctx) }()
	}
	return g
}

func standing(catalog.Rollout) discovery.VersionTargets {
	return discovery.VersionTargets{OnTrial: true, Baseline: 3, Canary: 3, Warm: 3}
}

// decideByCounts advances the stage each second, once all gateways report the stage, and
// rolls back at the third failure, or at the deadline.
func decideByCounts(s rollout.State) rollout.Decision {
	stages := []int{50, 300, 1000}
	next := slices.IndexFunc(stages, func(permille int) bool { return permille > s.Order.Permille })
	switch {
	case s.Evidence.Total().Canary.Failed >= 3:
		return rollout.Decision{Action: rollout.RollBack, Reason: rollout.ReasonFailures}
	case s.Age >= s.Order.Within:
		return rollout.Decision{Action: rollout.RollBack, Reason: rollout.ReasonDeadline}
	case s.Order.State == catalog.RolloutOrdered:
		return rollout.Decision{Action: rollout.Advance, Permille: stages[0], Reason: rollout.ReasonOrdered}
	case s.StageAge < time.Second || len(s.Behind) > 0 && s.StageAge < 3*time.Second || s.Evidence.Reports == 0:
		return rollout.Decision{}
	case next < 0 && s.BaselineActive == 0:
		return rollout.Decision{Action: rollout.Complete, Reason: rollout.ReasonTrafficShifted}
	case next < 0:
		return rollout.Decision{}
	}
	return rollout.Decision{Action: rollout.Advance, Permille: stages[next], Reason: rollout.ReasonHealthy}
}

func (w *fleetSimulation) decide(s rollout.State) rollout.Decision {
	if w.paused.Load() {
		return rollout.Decision{}
	}
	decision := decideByCounts(s)
	if decision.Action == rollout.Advance {
		w.reportsAtAdvance.Store(int32(s.Evidence.Reports))
	}
	return decision
}

// waitWhileFrozen blocks while the gateway is frozen.
func (g *gateway) waitWhileFrozen() {
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
	g.frozen, g.failedSince = make(chan struct{}), time.Now()
}

func (g *gateway) unfreeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.frozen)
	g.frozen, g.failedSince = nil, time.Time{}
}

// kill stops the gateway as a killed process would stop.
func (g *gateway) kill() {
	g.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead, g.failedSince = true, time.Now()
	for _, conn := range g.conns {
		_ = conn.Close()
	}
}

// setStoreCut makes the store unreachable for a gateway, or reachable again.
func (g *gateway) setStoreCut(cut bool) {
	known := g.known()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeCut, g.lastKnown, g.failedSince = cut, known, time.Time{}
	if cut {
		g.failedSince = time.Now()
	}
}

// stopUpdates stops the updates from the store to a gateway that can still write to it.
func (g *gateway) stopUpdates() {
	known := g.known()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stale, g.lastKnown = true, known
}

// seemsAlive reports whether others take the gateway for the reader if it ranks first.
func (g *gateway) seemsAlive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.leaving.Load() && (g.failedSince.IsZero() || time.Since(g.failedSince) < failureDetection)
}

func (g *gateway) reads() bool {
	g.waitWhileFrozen()
	g.mu.Lock()
	cut := g.storeCut
	g.mu.Unlock()
	for _, other := range g.fleet.all() {
		if other == g || g.alwaysReads.Load() {
			break
		}
		if other.seemsAlive() && !g.fleet.isPartitioned(g, other) {
			return false
		}
	}
	return !cut
}

// known returns the rollouts as the store has them, or had them when it was last reached.
func (g *gateway) known() []catalog.Rollout {
	g.waitWhileFrozen()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storeCut || g.stale {
		return g.lastKnown
	}
	return g.fleet.list()
}

func (w *fleetSimulation) list() []catalog.Rollout {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []catalog.Rollout
	for _, r := range w.objects {
		out = append(out, r)
	}
	return out
}

func (g *gateway) changed() <-chan struct{} {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	return g.fleet.changed
}

func (g *gateway) peers() []string {
	var out []string
	for _, other := range g.fleet.all() {
		if other.seemsAlive() {
			out = append(out, other.self.ID)
		}
	}
	return out
}

// sendEvery is the interval of a gateway's sends to each version.
const sendEvery = 300 * time.Millisecond

// reports returns the sends to both versions since the rollout was first seen running; all
// sends to a bad version fail.
func (g *gateway) reports(running []catalog.Rollout) []rollout.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropEnded(running)
	var out []rollout.Report
	for _, r := range running {
		key := keyOf(r)
		if _, seen := g.firstRunning[key]; !seen {
			g.firstRunning[key] = time.Now()
		}
		n := uint64(time.Since(g.firstRunning[key]) / sendEvery)
		if g.idle.Load() {
			n = 0
		}
		canary := rollout.Counts{Sends: n + g.failed[key], Failed: g.failed[key]}
		if g.fleet.canaryFails.Load() {
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

// dropEnded drops the counts of rollouts that are no longer running.
func (g *gateway) dropEnded(running []catalog.Rollout) {
	for key := range g.firstRunning {
		if !slices.ContainsFunc(running, func(r catalog.Rollout) bool { return keyOf(r) == key }) {
			delete(g.firstRunning, key)
			delete(g.failed, key)
		}
	}
}

// fail counts bad responses of the version that is ordered now.
func (g *gateway) fail(service string, n uint64) {
	key := keyOf(g.fleet.rollout(service))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed[key] += n
}

// order writes an order as an operator does.
func (w *fleetSimulation) order(service, version string, within time.Duration) {
	w.put(catalog.Rollout{Service: service, Version: version, Within: within})
}

// put writes an object at the next revision.
func (w *fleetSimulation) put(r catalog.Rollout) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putLocked(r)
}

// putLocked is put; the lock is held.
func (w *fleetSimulation) putLocked(r catalog.Rollout) catalog.Rollout {
	w.revision++
	r.Revision = w.revision
	w.objects[r.Service] = r
	close(w.changed)
	w.changed = make(chan struct{})
	return r
}

// remove deletes an order.
func (w *fleetSimulation) remove(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	delete(w.objects, service)
	close(w.changed)
	w.changed = make(chan struct{})
}

// write performs a conditional write in the store.
func (w *fleetSimulation) write(r catalog.Rollout) (discovery.RecordResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, ok := w.objects[r.Service]
	if !ok || now.Revision != r.Revision {
		return discovery.RecordResult{Outcome: discovery.RecordRefused, Rollout: &now}, errors.New("another revision")
	}
	r = w.putLocked(r)
	w.written = append(w.written, r)
	return discovery.RecordResult{Outcome: discovery.RecordDone, Rollout: &r}, nil
}

// record performs a gateway's write.
func (g *gateway) record(ctx context.Context, r catalog.Rollout) (discovery.RecordResult, error) {
	w := g.fleet
	g.waitWhileFrozen()
	w.writeAttempts.Add(1)
	time.Sleep(4 * time.Millisecond)
	g.mu.Lock()
	cut := g.storeCut
	g.mu.Unlock()
	if cut {
		time.Sleep(time.Second)
		return discovery.RecordResult{}, errUnavailable
	}
	w.mu.Lock()
	before, after := w.beforeWrite, w.afterWrite
	w.mu.Unlock()
	if before != nil {
		if err := before(g, r); errors.Is(err, errRejected) {
			return discovery.RecordResult{Outcome: discovery.RecordRefused}, err
		} else if err != nil {
			return discovery.RecordResult{}, err
		}
	}
	g.waitWhileFrozen()
	if ctx.Err() != nil {
		return discovery.RecordResult{}, ctx.Err() // killed before it was sent
	}
	record, err := w.write(r)
	g.waitWhileFrozen()
	if after != nil && after(g) != nil {
		return discovery.RecordResult{}, errUnavailable
	}
	return record, err
}

// setWriteHooks changes beforeWrite and afterWrite.
func (w *fleetSimulation) setWriteHooks(beforeWrite func(g *gateway, r catalog.Rollout) error, afterWrite func(g *gateway) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beforeWrite, w.afterWrite = beforeWrite, afterWrite
}

// writeLater performs a write after a delay, if its condition holds then, without a
// response.
func (w *fleetSimulation) writeLater(r catalog.Rollout, delay time.Duration) {
	time.AfterFunc(delay, func() { _, _ = w.write(r) }) // most should be refused
}

// byAddress returns the gateway at an address; nil if there is none.
func (w *fleetSimulation) byAddress(address string) *gateway {
	for _, g := range w.all() {
		if g.self.Peer == address {
			return g
		}
	}
	return nil
}

func (w *fleetSimulation) isPartitioned(a, b *gateway) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partitioned(a, b)
}

func (w *fleetSimulation) setPartition(partitioned func(a, b *gateway) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = partitioned
}

// dial connects to another gateway.
func (g *gateway) dial(ctx context.Context, _, address string) (net.Conn, error) {
	to := g.fleet.byAddress(address)
	if to == nil {
		return nil, errors.New("connection refused")
	}
	if g.fleet.isPartitioned(g, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.dead {
		return nil, errors.New("connection refused")
	}
	local, remote := net.Pipe()
	cut := func() bool { return g.fleet.isPartitioned(g, to) }
	to.conns = append(to.conns, remote)
	server := rpc.NewServer()
	if service := to.Service(); !to.withoutReports.Load() {
		if err := server.RegisterName(service.Name, service.Methods); err != nil {
			return nil, err
		}
	}
	go server.ServeConn(&lossy{Conn: remote, isCut: cut})
	return &lossy{Conn: local, isCut: cut}, nil
}

// lossy is a connection that loses what is written while its path is partitioned.
type lossy struct {
	net.Conn
	isCut func() bool
}

func (l *lossy) Write(p []byte) (int, error) {
	if l.isCut() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

// stopAll kills all gateways.
func (w *fleetSimulation) stopAll() {
	for _, g := range w.all() {
		g.mu.Lock()
		frozen := g.frozen != nil
		g.mu.Unlock()
		if frozen {
			g.unfreeze()
		}
		g.kill()
	}
}

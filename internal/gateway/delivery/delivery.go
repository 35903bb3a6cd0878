// Package delivery carries out rollouts (progressive delivery): while one is active, each
// gateway reports the outcomes of its sends to the gateway that decides, which records the
// stages and the end of the rollout in the store.
//
// The gateway that reads the store is the decider; there is no consensus protocol. What it
// records names it and the address where it receives reports. Another gateway that reads
// the store takes over once the decider does not answer, or answers that it no longer
// decides. Every write is conditional on the revision of the rollout's object: of two
// deciders, one has its write refused and adopts the object as it is. What is decided, and
// when, is in core/gateway/rollout.
//
// The package owns the received reports (rollout.ReportLog), the ages of the orders
// (rollout.Ages) and the writes in flight, under one lock. It depends on
// internal/gateway/discovery for the known state, and calls other gateways by net/rpc.
//
// The parts, each in a file:
//
//	tracked.go   one rollout as this gateway follows it
//	decide.go    the deciding loop; takeover.go: taking over from another gateway
//	record.go    the writes, and their results
//	report.go    the reporting loop; due.go: when a report is due
//	serve.go     receiving reports; protocol.go: the messages between gateways
//	log.go       log lines
//
// # Usage
//
//	d := delivery.New(delivery.Options{Self: self, Rollouts: follower.Rollouts, ...})
//	follower.Serve(listener, d.Service())
//	for _, task := range d.Tasks() {
//		group.Add(func() error { return task(ctx) }, ...)
//	}
package delivery

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
	"github.com/sprucecrank/sprucecrank/internal/gateway/rpclink"
)

const (
	// activeInterval is how often the rollouts are checked while one is active. A small
	// part of the seconds within which a bad version must be stopped.
	activeInterval = 50 * time.Millisecond
	// idleInterval is the same while none is active. A new order may have arrived just
	// after the previous check, and is assumed to be that much older: a sixth of the 1.5 s
	// of margin before its deadline. It makes few wake-ups where nothing is ordered.
	idleInterval = 250 * time.Millisecond
	// reportTimeout bounds a report from the start of the connection to the reply: many
	// times what it usually takes, a small part of the time in which a bad version must be
	// stopped.
	reportTimeout = 300 * time.Millisecond
)

// Options configure a Delivery.
type Options struct {
	Self   member.Box
	Limits rollout.Limits
	// Rollouts returns the known state of the rollouts, and Changed a channel that is
	// closed when any known state changes.
	Rollouts func() []catalog.Rollout
	Changed  func() <-chan struct{}
	// Age is the time since the known state was confirmed.
	Age func() time.Duration
	// Reads reports whether this gateway's own watches of the store work, and Leaving
	// whether the gateway is stopping.
	Reads   func() bool
	Leaving func() bool
	// Peers lists the ids of the gateways that are known to be running, including this one.
	Peers func() []string
	// Standing returns the versions and the numbers of a service's targets with respect to
	// a rollout.
	Standing func(r catalog.Rollout) discovery.VersionTargets
	// Decide returns what to do with a rollout; nil means rollout.Decide.
	Decide func(s rollout.State) rollout.Decision
	// Reports returns this process's own counts for each of the given rollouts, which are
	// all active ones; the counts for others are dropped.
	Reports func(rollouts []catalog.Rollout) []rollout.Report
	// Record is discovery.Source.RecordRollout.
	Record func(ctx context.Context, r catalog.Rollout) (discovery.RecordResult, error)
	Clock  func() time.Time
	// Metrics may be nil.
	Metrics *metrics.Metrics
	Log     *slog.Logger
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// Delivery decides on rollouts and reports to the gateway that does.
type Delivery struct {
	options      Options
	writeLimiter *rate.Limiter
	peer         *rpclink.Link // to the decider; used by the reporting loop

	mu      sync.Mutex
	tracked map[string]*trackedRollout // by service
	ages    *rollout.Ages
	// confirmed is the latest moment at which the state seen by the latest refresh was
	// confirmed; zero for never.
	confirmed time.Time
}

// New returns a Delivery that knows of no rollout.
func New(o Options) *Delivery {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Decide == nil {
		o.Decide = rollout.Decide
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	return &Delivery{
		options: o, writeLimiter: rate.NewLimiter(rate.Every(writeInterval), writeBurst), peer: rpclink.New(o.Dial, reportTimeout),
		tracked: map[string]*trackedRollout{}, ages: rollout.NewAges(),
	}
}

// Tasks returns the loops that must run, each until its context ends.
func (d *Delivery) Tasks() []func(context.Context) error {
	return []func(context.Context) error{d.decide, d.report}
}

// refresh updates the tracked rollouts by the known state, and reports whether any is
// active. All gateways do this, so that the next decider knows when an order was first
// seen.
func (d *Delivery) refresh(now time.Time) (active bool) {
	age := d.options.Age() // read first: the state that is read next is at least as recent
	known := d.options.Rollouts()
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[string]bool, len(known))
	for _, r := range known {
		present[r.Service] = true
		d.track(now, r)
		active = active || !d.tracked[r.Service].order.State.Final()
	}
	for service, c := range d.tracked {
		if !present[service] {
			delete(d.tracked, service)
			d.ages.Forget(service)
			d.logDeleted(c)
		}
	}
	if confirmed := now.Add(-age); confirmed.After(d.confirmed) {
		d.confirmed = confirmed
	}
	return active
}

// track updates a tracked rollout by its known state; the lock is held.
func (d *Delivery) track(now time.Time, r catalog.Rollout) {
	c, known := d.tracked[r.Service]
	switch {
	case !known || c.isReplacedBy(r):
		d.ages.Forget(r.Service)
		d.tracked[r.Service] = newTrackedRollout(now, r)
	case r.Revision > c.order.Revision:
		c.update(now, r)
	}
	d.ages.Observe(now, d.tracked[r.Service].order, d.confirmed)
}

// wait waits until the next refresh is due; false if ctx ended first.
func (d *Delivery) wait(ctx context.Context, active bool, changed <-chan struct{}) bool {
	pause := idleInterval
	if active {
		pause = activeInterval
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

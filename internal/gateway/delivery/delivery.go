// Package delivery carries rollouts out (progressive delivery): while one is under way,
// each gateway reports how its sends ended to the gateway that decides, and that one
// records the stages and the verdict in the store.
//
// The gateway that reads the store decides; nothing is agreed. What it records names it
// and where it takes reports. Another one that reads takes over once that gateway does not
// answer, or says that it no longer decides. Every write is conditional on the revision of
// the rollout's object: of two that decide, one is refused and takes the object as it is.
// What is decided, and when, is core/gateway/rollout.
//
// It owns the reports that came in (rollout.Ledger), the ages of the orders
// (rollout.Ages) and the writes under way, under one lock. It relies on
// internal/gateway/discovery for what is believed, and on other gateways by net/rpc.
//
// The jobs, each with a file:
//
//	course.go    one rollout as this gateway follows it
//	decide.go    the duty of deciding; touch.go: taking over from another gateway
//	record.go    the writes, and how they end
//	report.go    the duty of reporting; due.go: when a report is due
//	serve.go     taking reports; protocol.go: what gateways say to each other
//	log.go       log lines
//
// # Usage
//
//	d := delivery.New(delivery.Options{Self: self, Rollouts: follower.Rollouts, ...})
//	follower.Serve(listener, d.Service())
//	for _, duty := range d.Duties() {
//		group.Add(func() error { return duty(ctx) }, ...)
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
	// lookEvery is the pause between two looks at the rollouts while one is under way.
	// A small part of the seconds within which a bad version must be stopped.
	lookEvery = 50 * time.Millisecond
	// idleEvery is that pause while none is. An order that turns up may have come just after
	// the look before, and is taken to be so much older: a sixth of the 1.5 s that are a
	// margin before its deadline. It makes few wake-ups where nothing is ordered.
	idleEvery = 250 * time.Millisecond
	// answerWithin bounds how long a report may take from the making of the connection to its
	// answer: many times what it usually takes, a small part of the time in which a bad
	// version must be stopped.
	answerWithin = 300 * time.Millisecond
)

// Options configure a Delivery.
type Options struct {
	Self   member.Box
	Limits rollout.Limits
	// Rollouts are those that are believed, and Changed gives what is closed when
	// anything that is believed changes.
	Rollouts func() []catalog.Rollout
	Changed  func() <-chan struct{}
	// Age is how long ago what is believed was confirmed.
	Age func() time.Duration
	// Reads says whether this gateway's own watches of the store are in order, and
	// Leaving whether it stops.
	Reads   func() bool
	Leaving func() bool
	// Peers lists the ids of the gateways that are known to be there, this one among them.
	Peers func() []string
	// Standing is how the targets of a service stand to a rollout.
	Standing func(r catalog.Rollout) discovery.VersionTargets
	// Decide says what is to be done of a rollout; nil means rollout.Decide.
	Decide func(s rollout.State) rollout.Decision
	// Reports gives this process's own counts for each of the rollouts, which are all that
	// are under way; what was counted for others is dropped.
	Reports func(rollouts []catalog.Rollout) []rollout.Report
	// Record is discovery.Source.RecordRollout.
	Record func(ctx context.Context, r catalog.Rollout) (discovery.RecordResult, error)
	Clock  func() time.Time
	// Metrics may be nil.
	Metrics *metrics.Metrics
	Log     *slog.Logger
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// Delivery is a gateway's part in rollouts.
type Delivery struct {
	options Options
	writes  *rate.Limiter
	peer    *rpclink.Link // to the gateway that decides; the duty of reporting uses it

	mu      sync.Mutex
	courses map[string]*course // by service
	ages    *rollout.Ages
	// confirmed is when all that was believed at the latest look had been confirmed;
	// zero for never.
	confirmed time.Time
}

// New makes one that knows of no rollout.
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
		options: o, writes: rate.NewLimiter(rate.Every(writeEvery), writesAtOnce), peer: rpclink.New(o.Dial, answerWithin),
		courses: map[string]*course{}, ages: rollout.NewAges(),
	}
}

// Duties are what a gateway does for rollouts, each until its context ends.
func (d *Delivery) Duties() []func(context.Context) error {
	return []func(context.Context) error{d.decide, d.report}
}

// look takes in what is believed of the rollouts; all gateways do, so that whoever decides
// next knows since when. It says whether any is under way.
func (d *Delivery) look(now time.Time) (underWay bool) {
	age := d.options.Age() // first: what is believed next is at least as young
	believed := d.options.Rollouts()
	d.mu.Lock()
	defer d.mu.Unlock()
	there := make(map[string]bool, len(believed))
	for _, r := range believed {
		there[r.Service] = true
		d.follow(now, r)
		underWay = underWay || !d.courses[r.Service].order.State.Final()
	}
	for service, c := range d.courses {
		if !there[service] {
			delete(d.courses, service)
			d.ages.Forget(service)
			d.logGone(c)
		}
	}
	if confirmed := now.Add(-age); confirmed.After(d.confirmed) {
		d.confirmed = confirmed
	}
	return underWay
}

// follow takes in a rollout as it is believed; the lock is held.
func (d *Delivery) follow(now time.Time, r catalog.Rollout) {
	c, known := d.courses[r.Service]
	switch {
	case !known || c.isReplacedBy(r):
		d.ages.Forget(r.Service)
		d.courses[r.Service] = newCourse(now, r)
	case r.Revision > c.order.Revision:
		c.take(now, r)
	}
	d.ages.Note(now, d.courses[r.Service].order, d.confirmed)
}

// wait waits until it is time for the next look; false if ctx ended first.
func (d *Delivery) wait(ctx context.Context, underWay bool, changed <-chan struct{}) bool {
	pause := idleEvery
	if underWay {
		pause = lookEvery
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

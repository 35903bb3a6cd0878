// Package ledger is the core of the home box of a service: it grants the slots
// of the targets, queues requests while no slot is free, and refuses early those
// that would be served too late. It reads no clock, does no I/O and takes no lock.
//
// A slot is in use from the moment it is granted until it is released or the box
// that holds it is no longer seen. Two ledgers of one service may exist at once;
// then targets are overcommitted for a moment and shed load.
//
// It owns the grants, the queue and the health of a service's targets at its home.
// It relies on boxes to release slots or to report the grants that they hold,
// and on core/box/health.
//
// # Usage
//
//	l := ledger.New(ledger.Options{MaxQueue: 2000, Random: rand.Float64})
//	l.SetTargets(targets)
//	d := l.Acquire(now, request)     // granted, queued or refused
//	l.Release(now, grantID, outcome) // may free a slot for a queued request
//	for _, queued := range l.TakeQueueDecisions() { ... }
package ledger

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// Target is one back end as the service's definition gives it.
type Target struct {
	Address string
	Hall    string
	Slots   int
}

// SlotRequest is a request for a slot of any target of the service.
type SlotRequest struct {
	// ID is unique among the requests of all boxes; it also identifies the grant.
	ID   string
	Box  string
	Hall string
	Kind string
	// Weight orders the queue: a greater weight is served first.
	Weight int
	// Deadline is when the client no longer needs the answer.
	Deadline time.Time
	// LongestWait bounds the time in the queue.
	LongestWait time.Duration
	// Usual is the expected duration of the kind until one has been measured.
	Usual time.Duration
	// Avoid lists targets that the request was already sent to.
	Avoid []string
	// SpareOnly refuses the request if no slot is free, instead of queueing it;
	// hedges set it.
	SpareOnly bool
}

// State is how a request for a slot was decided.
type State string

// The decisions on a request for a slot.
const (
	Granted State = "granted"
	Queued  State = "queued"
	Refused State = "refused"
)

// Decision is the result of a request for a slot.
type Decision struct {
	State  State
	Target string
	// HedgeAfter is the p95 of the kind's recent durations; 0 when too few
	// were measured.
	HedgeAfter time.Duration
	Reason     verdict.Reason
	RetryAfter time.Duration
}

// QueueDecision is the later decision on a request that was queued.
type QueueDecision struct {
	Request  SlotRequest
	Decision Decision
	Waited   time.Duration
}

// Outcome is what a box reports with a released slot.
type Outcome struct {
	Result health.Result
	Took   time.Duration
	// Start is the target's start number, 0 when unknown.
	Start uint64
	// Leaving is whether the target advertised that it accepts no new requests.
	Leaving bool
	// BackOff is the back-off that the target advertised, during which it must not be
	// sent requests; 0 for none.
	BackOff time.Duration
}

// HeldGrant is a grant that a box reports to hold.
type HeldGrant struct {
	ID     string
	Target string
	Kind   string
	// For is how long it has been held.
	For time.Duration
}

// Options configure a Ledger.
type Options struct {
	MaxQueue int
	// Random returns numbers in [0, 1) to break ties and for jitter; tests seed it.
	Random func() float64
}

type grant struct {
	id        string
	box       string
	target    *target
	kind      string
	grantedAt time.Time
	expected  time.Duration
	expires   time.Time // removed then in any case
}

type target struct {
	Target
	tracker      *health.Tracker
	grants       map[string]*grant
	start        uint64 // greatest start number observed
	leavingStart uint64 // greatest start number known to be leaving
	leaving      bool
	lastContact  time.Time
}

// Ledger holds the grants, the queue and the targets of one service at its home.
type Ledger struct {
	options     Options
	targets     map[string]*target
	order       []string
	grants      map[string]*grant
	lastSeen    map[string]time.Time
	queue       *queue
	kinds       map[string]*kindDurations
	meanSeconds float64 // smoothed duration of all kinds, in seconds
	decisions   []QueueDecision
}

// expiryMargin is how long after its deadline a grant is removed.
const expiryMargin = 30 * time.Second

// New returns an empty ledger.
func New(o Options) *Ledger {
	return &Ledger{
		options:  o,
		targets:  map[string]*target{},
		grants:   map[string]*grant{},
		lastSeen: map[string]time.Time{},
		queue:    newQueue(),
		kinds:    map[string]*kindDurations{},
	}
}

// SetTargets replaces the targets by those of a service definition. The state of
// a target that remains is kept.
func (l *Ledger) SetTargets(now time.Time, targets []Target) {
	next := make(map[string]*target, len(targets))
	l.order = l.order[:0]
	for _, t := range targets {
		known, ok := l.targets[t.Address]
		if !ok {
			known = &target{tracker: health.New(t.Slots), grants: map[string]*grant{}, lastContact: now}
		}
		known.Target = t
		known.tracker.SetSlots(t.Slots)
		next[t.Address] = known
		l.order = append(l.order, t.Address)
	}
	l.targets = next
	l.serveQueue(now)
}

// SetMaxQueue changes how many requests may be queued.
func (l *Ledger) SetMaxQueue(n int) { l.options.MaxQueue = n }

// Acquire grants, queues or refuses a request for a slot.
func (l *Ledger) Acquire(now time.Time, r SlotRequest) Decision {
	l.lastSeen[r.Box] = now
	if l.queue.len() == 0 || r.SpareOnly {
		if t := l.chooseTarget(now, r); t != nil {
			return l.grant(now, r, t)
		}
	}
	if r.SpareOnly {
		return Decision{State: Refused, Reason: verdict.ReasonNoTarget}
	}
	if d, refused := l.refuseEarly(now, r); refused {
		return d
	}
	l.queue.add(&queuedRequest{request: r, queuedAt: now, expires: l.latestStart(now, r)})
	l.serveQueue(now)
	return Decision{State: Queued}
}

// latestStart is the last moment at which the request can be granted a slot and
// still be expected to end by its deadline, within its longest wait.
func (l *Ledger) latestStart(now time.Time, r SlotRequest) time.Time {
	latest := r.Deadline.Add(-l.expectedDuration(r.Kind, r.Usual))
	if byWait := now.Add(r.LongestWait); byWait.Before(latest) {
		return byWait
	}
	return latest
}

func (l *Ledger) grant(now time.Time, r SlotRequest, t *target) Decision {
	g := &grant{
		id: r.ID, box: r.Box, target: t, kind: r.Kind, grantedAt: now,
		expected: l.expectedDuration(r.Kind, r.Usual),
		expires:  r.Deadline.Add(expiryMargin),
	}
	l.grants[r.ID] = g
	t.grants[r.ID] = g
	t.lastContact = now
	return Decision{State: Granted, Target: t.Address, HedgeAfter: l.hedgeAfter(r.Kind)}
}

// Release frees a slot, records its outcome and serves the queue.
func (l *Ledger) Release(now time.Time, id string, o Outcome) {
	if l.queue.removeByID(now, id) { // the box abandoned a request that was still queued
		return
	}
	g, ok := l.grants[id]
	if !ok {
		return
	}
	l.removeGrant(g)
	l.lastSeen[g.box] = now
	l.recordOutcome(now, g, o)
	l.serveQueue(now)
}

func (l *Ledger) recordOutcome(now time.Time, g *grant, o Outcome) {
	g.target.observeOutcome(o)
	g.target.tracker.Observe(now, o.Result, o.Took, l.expectedDuration(g.kind, g.expected))
	g.target.tracker.BackOff(now, o.BackOff)
	if o.Result == health.OK {
		l.durations(g.kind).add(now, o.Took)
		l.meanSeconds = ewma(l.meanSeconds, o.Took.Seconds())
	}
}

func (l *Ledger) removeGrant(g *grant) {
	delete(l.grants, g.id)
	delete(g.target.grants, g.id)
}

// Tick refuses queued requests that have expired, removes the grants of boxes
// that were not seen for longer than grace, and serves the queue.
func (l *Ledger) Tick(now time.Time, grace time.Duration) {
	for _, w := range l.queue.removeExpired(now) {
		l.addDecision(now, w, Decision{State: Refused, Reason: verdict.ReasonTooLate, RetryAfter: l.drainTime()})
	}
	for _, g := range l.grants {
		if now.Sub(l.lastSeen[g.box]) > grace || now.After(g.expires) {
			l.removeGrant(g)
		}
	}
	l.serveQueue(now)
}

// RefuseOthers refuses the queued requests of all boxes but self, because
// another box has become the home.
func (l *Ledger) RefuseOthers(now time.Time, self string) {
	for _, w := range l.queue.removeOthers(now, self) {
		l.addDecision(now, w, Decision{State: Refused, Reason: verdict.ReasonMoved})
	}
}

// TakeQueueDecisions returns the decisions on queued requests made since the
// last call.
func (l *Ledger) TakeQueueDecisions() []QueueDecision {
	out := l.decisions
	l.decisions = nil
	return out
}

func (l *Ledger) addDecision(now time.Time, w *queuedRequest, d Decision) {
	l.decisions = append(l.decisions, QueueDecision{Request: w.request, Decision: d, Waited: now.Sub(w.queuedAt)})
}

// serveQueue grants free slots to queued requests.
func (l *Ledger) serveQueue(now time.Time) {
	for l.queue.len() > 0 && l.chooseTarget(now, SlotRequest{}) != nil {
		w := l.queue.dequeue(now)
		if w == nil {
			return
		}
		t := l.chooseTarget(now, w.request)
		if t == nil { // the request was already sent to every free target; repeat one rather than none
			t = l.chooseTarget(now, SlotRequest{Hall: w.request.Hall})
		}
		l.addDecision(now, w, l.grant(now, w.request, t))
	}
}

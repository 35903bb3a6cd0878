// Package ledger is the core of the home box of a service: it counts what every
// target has been promised, queues what must wait, and refuses early what would
// come too late. It reads no clock, does no I/O and takes no lock.
//
// A promise counts from the moment it is made until the slot is returned or the
// box that holds it has vanished. Two ledgers of one service may exist at once;
// then targets are promised more than they have for a moment and shed.
//
// It owns the promises, the queue and the health of a service's targets at its home.
// It relies on boxes to give slots back or to name what they hold, and on
// core/box/health.
//
// # Usage
//
//	l := ledger.New(ledger.Options{MaxQueue: 2000, Random: rand.Float64})
//	l.SetTargets(targets)
//	d := l.Ask(now, ask)            // granted, queued or refused
//	l.Return(now, grantID, outcome) // may free a slot for a queued ask
//	for _, answer := range l.Answers() { ... }
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

// SlotRequest is a request for a slot.
type SlotRequest struct {
	// ID is unique among all asks of all boxes; it names the grant, too.
	ID   string
	Box  string
	Hall string
	Kind string
	// Weight orders the queue: a greater weight goes first.
	Weight int
	// Deadline is when the answer is no longer of use.
	Deadline time.Time
	// LongestWait bounds the time in the queue.
	LongestWait time.Duration
	// Usual is the kind's service time to expect before any was measured.
	Usual time.Duration
	// Avoid lists targets that the request has tried.
	Avoid []string
	// SpareOnly asks for a free slot or none, as hedges do.
	SpareOnly bool
}

// State is the answer to an ask.
type State string

// The answers to an ask.
const (
	Granted State = "granted"
	Queued  State = "queued"
	Refused State = "refused"
)

// Decision answers an ask.
type Decision struct {
	State  State
	Target string
	// HedgeAfter is the kind's p95 so far; 0 when too little is known.
	HedgeAfter time.Duration
	Reason     verdict.Reason
	RetryAfter time.Duration
}

// QueueDecision is a late decision for a queued ask.
type QueueDecision struct {
	Request  SlotRequest
	Decision Decision
	Waited   time.Duration
}

// Outcome is what a box reports with a returned slot.
type Outcome struct {
	Result health.Result
	Took   time.Duration
	// Start is the target's start number, 0 when unknown.
	Start uint64
	// Leaving is the target's own word that it takes no new work.
	Leaving bool
	// BackOff is for how long the target asks to be sent nothing; 0 for not.
	BackOff time.Duration
}

// HeldGrant is a promise that a box says it holds.
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
	// Random gives numbers in [0, 1) for ties and jitter; tests seed it.
	Random func() float64
}

type grant struct {
	id        string
	box       string
	target    *target
	kind      string
	grantedAt time.Time
	expected  time.Duration
	expires   time.Time // taken back then, whatever happened
}

type target struct {
	Target
	tracker      *health.Tracker
	grants       map[string]*grant
	start        uint64 // greatest start number seen
	leavingStart uint64 // start number that is leaving
	leaving      bool
	lastContact  time.Time
}

// Ledger is the home's book of one service.
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

// expiryMargin is how long a grant may outlive its deadline.
const expiryMargin = 30 * time.Second

// New makes an empty ledger.
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

// SetTargets takes over the targets of a service definition. What is known of
// a target that stays is kept.
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

// SetMaxQueue changes how many asks may wait.
func (l *Ledger) SetMaxQueue(n int) { l.options.MaxQueue = n }

// Acquire decides about a request: granted, queued or refused.
func (l *Ledger) Acquire(now time.Time, a SlotRequest) Decision {
	l.lastSeen[a.Box] = now
	if l.queue.len() == 0 || a.SpareOnly {
		if t := l.chooseTarget(now, a); t != nil {
			return l.grant(now, a, t)
		}
	}
	if a.SpareOnly {
		return Decision{State: Refused, Reason: verdict.ReasonNoTarget}
	}
	if d, refused := l.refuseEarly(now, a); refused {
		return d
	}
	l.queue.add(&queuedRequest{request: a, queuedAt: now, expires: l.latestStart(now, a)})
	l.serveQueue(now)
	return Decision{State: Queued}
}

// latestStart is the last moment at which a start would still be of use.
func (l *Ledger) latestStart(now time.Time, a SlotRequest) time.Time {
	latest := a.Deadline.Add(-l.expectedDuration(a.Kind, a.Usual))
	if byWait := now.Add(a.LongestWait); byWait.Before(latest) {
		return byWait
	}
	return latest
}

func (l *Ledger) grant(now time.Time, a SlotRequest, t *target) Decision {
	g := &grant{
		id: a.ID, box: a.Box, target: t, kind: a.Kind, grantedAt: now,
		expected: l.expectedDuration(a.Kind, a.Usual),
		expires:  a.Deadline.Add(expiryMargin),
	}
	l.grants[a.ID] = g
	t.grants[a.ID] = g
	t.lastContact = now
	return Decision{State: Granted, Target: t.Address, HedgeAfter: l.hedgeAfter(a.Kind)}
}

// Release takes a slot back with its outcome and serves the queue.
func (l *Ledger) Release(now time.Time, id string, o Outcome) {
	if l.queue.removeByID(now, id) { // the box gave up while it waited
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

// Tick ends waits that ran out, takes back what vanished boxes held for longer
// than grace, and serves the queue.
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

// RefuseOthers refuses what waits for other boxes than self, since another box
// is the home now.
func (l *Ledger) RefuseOthers(now time.Time, self string) {
	for _, w := range l.queue.removeOthers(now, self) {
		l.addDecision(now, w, Decision{State: Refused, Reason: verdict.ReasonMoved})
	}
}

// TakeQueueDecisions hands out the late decisions made since the last call.
func (l *Ledger) TakeQueueDecisions() []QueueDecision {
	out := l.decisions
	l.decisions = nil
	return out
}

func (l *Ledger) addDecision(now time.Time, w *queuedRequest, d Decision) {
	l.decisions = append(l.decisions, QueueDecision{Request: w.request, Decision: d, Waited: now.Sub(w.queuedAt)})
}

// serveQueue grants free slots to queued asks.
func (l *Ledger) serveQueue(now time.Time) {
	for l.queue.len() > 0 && l.chooseTarget(now, SlotRequest{}) != nil {
		w := l.queue.dequeue(now)
		if w == nil {
			return
		}
		t := l.chooseTarget(now, w.request)
		if t == nil { // every free target was tried before; any is better than none
			t = l.chooseTarget(now, SlotRequest{Hall: w.request.Hall})
		}
		l.addDecision(now, w, l.grant(now, w.request, t))
	}
}

// Package home is the granting duty of a box: it keeps one ledger for each
// service and lets asks wait for their decision. Any box answers any ask; which
// box is asked is the asker's decision.
//
// It owns the ledgers and what waits in them; they are lost with the process and
// learnt anew from the boxes. It relies on core/box/ledger for every decision.
//
// # Usage
//
//	h := home.New(home.Options{Clock: time.Now, Random: rand.Float64})
//	h.Configure(services)
//	decision := h.Ask(ctx, "preview", ask)
package home

import (
	"context"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// vanishedAfter is the grace after which a silent box's promises are
	// taken back.
	vanishedAfter = 3 * time.Second
	// settleAfter is how old a promise is that its box should know of.
	settleAfter = time.Second

	tickWaiting = 10 * time.Millisecond
	tickIdle    = 100 * time.Millisecond
)

// Options configure a Home.
type Options struct {
	Clock  func() time.Time
	Random func() float64
}

// Home holds the ledgers of a box. It is safe for concurrent use.
type Home struct {
	options  Options
	mu       sync.RWMutex
	services map[string]*service
	// queued wakes the tick when an ask begins to wait.
	queued chan struct{}
	// closedBut is the box itself once it gives its home duties back.
	closedBut string
}

type service struct {
	mu      sync.Mutex
	ledger  *ledger.Ledger
	waiters map[string]chan Decision
}

// Decision is a ledger's decision with the time waited for it.
type Decision struct {
	ledger.Decision
	Waited time.Duration
}

// New makes a home without services.
func New(o Options) *Home {
	return &Home{options: o, services: map[string]*service{}, queued: make(chan struct{}, 1)}
}

// Configure takes over the services in force.
func (h *Home) Configure(services []*policy.Service) {
	h.mu.Lock()
	next := make(map[string]*service, len(services))
	for _, s := range services {
		known, ok := h.services[s.Name]
		if !ok {
			known = h.newService(s)
		}
		next[s.Name] = known
	}
	h.services = next
	h.mu.Unlock()
	for _, s := range services {
		h.with(s.Name, func(now time.Time, l *ledger.Ledger) {
			l.SetMaxQueue(s.MaxQueue)
			l.SetTargets(now, targets(s))
		})
	}
}

func (h *Home) newService(s *policy.Service) *service {
	return &service{
		ledger:  ledger.New(ledger.Options{MaxQueue: s.MaxQueue, Random: h.options.Random}),
		waiters: map[string]chan Decision{},
	}
}

func targets(s *policy.Service) []ledger.Target {
	out := make([]ledger.Target, len(s.Targets))
	for i, t := range s.Targets {
		out[i] = ledger.Target{Address: t.Address, Hall: t.Hall, Slots: t.Slots}
	}
	return out
}

func (h *Home) find(name string) *service {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.services[name]
}

// with runs f on a service's ledger under its lock and hands out the late
// decisions that came of it. It reports whether there is such a service.
func (h *Home) with(name string, f func(now time.Time, l *ledger.Ledger)) bool {
	s := h.find(name)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f(h.options.Clock(), s.ledger)
	s.deliver()
	return true
}

func (s *service) deliver() {
	for _, a := range s.ledger.TakeQueueDecisions() {
		if w, ok := s.waiters[a.Request.ID]; ok {
			w <- Decision{Decision: a.Decision, Waited: a.Waited}
			delete(s.waiters, a.Request.ID)
		}
	}
}

// Ask decides about a request, waiting in the queue if need be. When ctx ends
// first, the ask is taken back.
func (h *Home) Ask(ctx context.Context, name string, a ledger.SlotRequest) Decision {
	s := h.find(name)
	if s == nil {
		return refused(verdict.ReasonNoService)
	}
	if h.moved(a.Box) {
		return refused(verdict.ReasonMoved)
	}
	d, wait := s.ask(h.options.Clock(), a)
	if wait == nil {
		return d
	}
	select {
	case h.queued <- struct{}{}:
	default:
	}
	select {
	case d = <-wait:
		return d
	case <-ctx.Done():
		h.Return(name, a.ID, ledger.Outcome{Result: health.Unused})
		return refused(verdict.ReasonClientGone)
	}
}

func refused(r verdict.Reason) Decision {
	return Decision{Decision: ledger.Decision{State: ledger.Refused, Reason: r}}
}

// ask decides at once, or gives the channel on which the decision will come.
func (s *service) ask(now time.Time, a ledger.SlotRequest) (Decision, chan Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.ledger.Acquire(now, a)
	if d.State != ledger.Queued {
		s.deliver()
		return Decision{Decision: d}, nil
	}
	wait := make(chan Decision, 1)
	s.waiters[a.ID] = wait
	s.deliver()
	return Decision{}, wait
}

// Return takes a slot back, or an ask that still waits.
func (h *Home) Return(name, id string, o ledger.Outcome) {
	s := h.find(name)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Release(h.options.Clock(), id, o)
	s.deliver()
	if w, ok := s.waiters[id]; ok {
		w <- refused(verdict.ReasonClientGone)
		delete(s.waiters, id)
	}
}

// Reconcile takes in all that a box says it holds of a service. isNew says that
// the box has not had this one as its home before.
func (h *Home) Reconcile(name, box string, held []ledger.HeldGrant, isNew bool) {
	h.with(name, func(now time.Time, l *ledger.Ledger) {
		if isNew {
			l.Adopt(now, box, held)
			return
		}
		l.Reconcile(now, box, held, settleAfter)
	})
}

// Leave notes in every service that a target leaves; start 0 means its current life.
func (h *Home) Leave(address string, start uint64) {
	for _, name := range h.Names() {
		h.with(name, func(_ time.Time, l *ledger.Ledger) { l.MarkLeaving(address, start) })
	}
}

// SawStart notes in every service a target's start number.
func (h *Home) SawStart(address string, start uint64) {
	for _, name := range h.Names() {
		h.with(name, func(_ time.Time, l *ledger.Ledger) { l.ObserveStart(address, start) })
	}
}

// Probed takes in a probe's result.
func (h *Home) Probed(name, address string, o ledger.Outcome) {
	h.with(name, func(now time.Time, l *ledger.Ledger) { l.RecordProbe(now, address, o) })
}

// LeavingStart gives the start number of a target that is known to leave.
func (h *Home) LeavingStart(name, address string) (start uint64, ok bool) {
	h.with(name, func(_ time.Time, l *ledger.Ledger) { start, ok = l.LeavingStart(address) })
	return start, ok
}

// Leaving lists all targets that are known to leave, by address with start.
func (h *Home) Leaving() map[string]uint64 {
	out := map[string]uint64{}
	for _, name := range h.Names() {
		h.with(name, func(_ time.Time, l *ledger.Ledger) {
			for address, start := range l.LeavingTargets() {
				out[address] = max(out[address], start)
			}
		})
	}
	return out
}

// Tick ends waits that ran out and takes back what vanished boxes held.
// self's own promises are kept: it is here. It returns when the next tick is
// due: soon where asks wait, since a wait must end in time.
func (h *Home) Tick(self string) (next time.Duration) {
	next = tickIdle
	for _, name := range h.Names() {
		h.with(name, func(now time.Time, l *ledger.Ledger) {
			l.MarkSeen(now, self)
			l.Tick(now, vanishedAfter)
			if l.QueueLen() > 0 {
				next = tickWaiting
			}
		})
	}
	return next
}

// Queued gets a value when an ask begins to wait.
func (h *Home) Queued() <-chan struct{} { return h.queued }

// Close refuses the asks of other boxes from now on, since another box is the
// home. The box's own asks are still served, should there be no other box.
func (h *Home) Close(self string) {
	h.mu.Lock()
	h.closedBut = self
	h.mu.Unlock()
	for _, name := range h.Names() {
		h.with(name, func(now time.Time, l *ledger.Ledger) { l.RefuseOthers(now, self) })
	}
}

// moved says whether a box's asks belong to another home.
func (h *Home) moved(box string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.closedBut != "" && h.closedBut != box
}

// Names lists the services.
func (h *Home) Names() []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make([]string, 0, len(h.services))
	for name := range h.services {
		out = append(out, name)
	}
	return out
}

// ServiceView is what the home knows of a service.
type ServiceView struct {
	Name     string              `json:"name"`
	Queue    int                 `json:"queue"`
	InFlight int                 `json:"in_flight"`
	Targets  []ledger.TargetView `json:"targets"`
}

// View tells what the home knows of a service.
func (h *Home) View(name string) ServiceView {
	v := ServiceView{Name: name}
	h.with(name, func(now time.Time, l *ledger.Ledger) {
		v.Queue = l.QueueLen()
		v.InFlight = l.InFlight()
		v.Targets = l.View(now)
	})
	return v
}

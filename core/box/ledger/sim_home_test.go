package ledger_test

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
)

// maxTries is how many targets one request is sent to at most.
const maxTries = 3

// homeBox simulates the home of a service with the real ledger.
type homeBox struct {
	s           *sim
	ledger      *ledger.Ledger
	home        int
	seq         int
	waiters     map[string]func(ledger.Decision)
	held        map[int]map[string]ledger.HeldGrant // by box
	heldAt      map[string]time.Duration
	undecided   map[string]func() // repeats a request for a slot that has no decision yet
	retryBudget float64
}

func newHomeBox(s *sim) *homeBox {
	h := &homeBox{
		s: s, retryBudget: 10,
		held: map[int]map[string]ledger.HeldGrant{}, heldAt: map[string]time.Duration{},
		undecided: map[string]func(){},
	}
	h.start()
	h.tick()
	if s.c.killHomeAt > 0 {
		s.after(s.c.killHomeAt, h.fail)
	}
	return h
}

// tick does the periodic work of a box, every 10 ms.
func (h *homeBox) tick() {
	h.s.after(10*time.Millisecond, h.tick)
	if h.ledger == nil {
		return
	}
	for box := range h.s.c.boxes {
		h.ledger.MarkSeen(h.s.time(), strconv.Itoa(box))
	}
	h.ledger.Tick(h.s.time(), time.Second)
	h.deliver()
}

func (h *homeBox) start() {
	h.ledger = ledger.New(ledger.Options{MaxQueue: 2000, Random: h.s.random.Float64})
	h.waiters = map[string]func(ledger.Decision){}
	targets := make([]ledger.Target, len(h.s.targets))
	for i, t := range h.s.targets {
		targets[i] = ledger.Target{Address: strconv.Itoa(i), Hall: strconv.Itoa(t.hall), Slots: t.slots}
	}
	h.ledger.SetTargets(h.s.time(), targets)
}

// detectionDelay is how long the failure of a home remains undetected.
const detectionDelay = 100 * time.Millisecond

// fail ends the home. After the detection delay all boxes send their requests to
// the next home, which adopts the grants that they hold.
func (h *homeBox) fail() {
	h.ledger = nil
	h.s.after(detectionDelay, func() {
		h.home++
		h.start()
		for box, held := range h.held {
			list := make([]ledger.HeldGrant, 0, len(held))
			for id, one := range held {
				one.For = h.s.now - h.heldAt[id]
				list = append(list, one)
			}
			h.ledger.Adopt(h.s.time(), strconv.Itoa(box), list)
		}
		undecided := h.undecided
		h.undecided = map[string]func(){}
		for _, id := range slices.Sorted(maps.Keys(undecided)) {
			undecided[id]()
		}
	})
}

func (h *homeBox) distance(box int) time.Duration {
	if box == h.home {
		return 0
	}
	return oneWay(box%h.s.c.halls, h.home%h.s.c.halls)
}

func (h *homeBox) deliver() {
	if h.ledger == nil {
		return
	}
	for _, q := range h.ledger.TakeQueueDecisions() {
		if w, ok := h.waiters[q.Request.ID]; ok {
			delete(h.waiters, q.Request.ID)
			w(q.Decision)
		}
	}
}

func (h *homeBox) handle(r *request) {
	r.asked = h.s.now
	h.acquire(r, false, func(id string, d ledger.Decision) {
		if d.State != ledger.Granted {
			h.handleRefusal(r, d)
			return
		}
		t := h.target(d)
		h.send(r, id, t, d.HedgeAfter)
	})
}

// handleRefusal ends a request, or repeats it after the retry delay.
func (h *homeBox) handleRefusal(r *request, d ledger.Decision) {
	h.s.result.refusals = append(h.s.result.refusals, h.s.now-r.asked)
	if !h.s.c.retryRefused {
		h.s.answer(r, "refused")
		return
	}
	h.s.after(d.RetryAfter, func() {
		r.repeats++
		r.deadline = h.s.now + r.kind.deadline
		h.handle(r)
	})
}

func (h *homeBox) target(d ledger.Decision) *simTarget {
	i, _ := strconv.Atoi(d.Target)
	return h.s.targets[i]
}

// acquire requests a slot from the home and calls decided with the decision after a
// round trip.
func (h *homeBox) acquire(r *request, spareOnly bool, decided func(id string, d ledger.Decision)) {
	h.seq++
	id := strconv.Itoa(h.seq)
	delay := h.distance(r.box)
	var repeat func()
	reply := func(d ledger.Decision) {
		h.s.after(delay, func() {
			delete(h.undecided, id)
			if d.State == ledger.Granted {
				h.hold(r, id, d)
			}
			decided(id, d)
		})
	}
	repeat = func() {
		h.undecided[id] = repeat
		h.s.after(delay, func() {
			if h.ledger == nil {
				return // the home has failed; the request is repeated after the detection delay
			}
			d := h.ledger.Acquire(h.s.time(), h.slotRequest(r, id, spareOnly))
			if d.State == ledger.Queued {
				h.waiters[id] = reply
			} else {
				reply(d)
			}
			h.deliver()
		})
	}
	repeat()
}

func (h *homeBox) slotRequest(r *request, id string, spareOnly bool) ledger.SlotRequest {
	avoid := make([]string, len(r.tried))
	for i, t := range r.tried {
		avoid[i] = strconv.Itoa(t)
	}
	return ledger.SlotRequest{
		ID: id, Box: strconv.Itoa(r.box), Hall: strconv.Itoa(r.hall), Kind: r.kind.name, Weight: r.kind.weight,
		Deadline: epoch.Add(r.deadline), LongestWait: r.kind.longestWait, Usual: r.kind.mean,
		Avoid: avoid, SpareOnly: spareOnly,
	}
}

func (h *homeBox) hold(r *request, id string, d ledger.Decision) {
	if h.held[r.box] == nil {
		h.held[r.box] = map[string]ledger.HeldGrant{}
	}
	h.held[r.box][id] = ledger.HeldGrant{ID: id, Target: d.Target, Kind: r.kind.name}
	h.heldAt[id] = h.s.now
}

// send sends the request to its granted target and hedges it if its kind allows.
func (h *homeBox) send(r *request, id string, t *simTarget, hedgeAfter time.Duration) {
	r.tried = append(r.tried, t.id)
	h.s.result.tries++
	var cancels []func()
	over := false
	finish := func(id string, t *simTarget, result string, took time.Duration) {
		h.release(r, id, t, result, took)
		if over {
			return
		}
		if len(r.tried) < maxTries && h.mayRetry(result) {
			over = true
			h.handle(r)
			return
		}
		over = true
		h.retryBudget = min(h.retryBudget+0.1, 10)
		h.s.answer(r, result)
		for _, cancel := range cancels {
			cancel()
		}
	}
	began := h.s.now
	cancels = append(cancels, h.sendTry(r, id, t, began, finish))
	if !r.kind.hedge || hedgeAfter == 0 {
		return
	}
	h.s.after(hedgeAfter, func() {
		if over || h.retryBudget < 1 {
			return
		}
		h.retryBudget--
		h.acquire(r, true, func(id string, d ledger.Decision) {
			if d.State != ledger.Granted {
				return
			}
			if over {
				h.release(r, id, h.target(d), "unused", 0)
				return
			}
			second := h.target(d)
			h.s.result.tries++
			cancels = append(cancels, h.sendTry(r, id, second, h.s.now, finish))
		})
	})
}

// mayRetry applies the retry rule of a box: retries of unreachable targets do not
// count against the budget.
func (h *homeBox) mayRetry(result string) bool {
	if result == "unreachable" {
		return true
	}
	if result != "shed" && result != "failed" || h.retryBudget < 1 {
		return false
	}
	h.retryBudget--
	return true
}

// sendTry sends one try and returns a function that cancels it and releases its slot.
func (h *homeBox) sendTry(r *request, id string, t *simTarget, began time.Duration, finish func(string, *simTarget, string, time.Duration)) func() {
	ended := false
	cancel := h.s.try(r, t, func(result string, took time.Duration) {
		ended = true
		finish(id, t, result, took)
	})
	return func() {
		if !ended {
			ended = true
			cancel()
			h.release(r, id, t, "cancelled", h.s.now-began)
		}
	}
}

var results = map[string]health.Result{
	"ok": health.OK, "failed": health.Failed, "shed": health.Shed, "unreachable": health.Unreachable,
	"deadline": health.Cancelled, "cancelled": health.Cancelled, "unused": health.Unused,
}

func (h *homeBox) release(r *request, id string, t *simTarget, result string, took time.Duration) {
	delete(h.held[r.box], id)
	h.s.after(h.distance(r.box), func() {
		if h.ledger != nil {
			h.ledger.Release(h.s.time(), id, ledger.Outcome{Result: results[result], Took: took})
			h.deliver()
		}
	})
}

package ledger

import (
	"container/heap"
	"time"
)

// ageingTurn gives every so-manieth grant to the request that has waited
// longest, whatever its weight, so that nothing starves.
const ageingTurn = 10

// waiting is a queued ask.
type waiting struct {
	ask     SlotRequest
	since   time.Time
	until   time.Time // the wait ends here
	order   int       // of arrival
	removed bool
}

// before says whether w is served before other of the same weight.
func (w *waiting) before(other *waiting) bool {
	if w.ask.Deadline.Equal(other.ask.Deadline) {
		return w.order < other.order
	}
	return w.ask.Deadline.Before(other.ask.Deadline)
}

// waitHeap orders the asks of one weight by deadline.
type waitHeap []*waiting

func (h waitHeap) Len() int           { return len(h) }
func (h waitHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h waitHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) { *h = append(*h, x.(*waiting)) }

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// queue holds the waiting asks of a service: greatest weight first, then the
// earliest deadline; every ageingTurn-th turn goes to the longest wait.
type queue struct {
	weights []int // in falling order
	byClass map[int]*waitHeap
	arrival []*waiting // in order of arrival
	byID    map[string]*waiting
	classes map[int]*class // by weight
	turn    int
	arrived int
}

func newQueue() *queue {
	return &queue{byClass: map[int]*waitHeap{}, byID: map[string]*waiting{}, classes: map[int]*class{}}
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) add(w *waiting) {
	h, ok := q.byClass[w.ask.Weight]
	if !ok {
		h = &waitHeap{}
		q.byClass[w.ask.Weight] = h
		q.classes[w.ask.Weight] = &class{}
		q.insertWeight(w.ask.Weight)
	}
	q.arrived++
	w.order = q.arrived
	q.classes[w.ask.Weight].join(w.since)
	heap.Push(h, w)
	q.arrival = append(q.arrival, w)
	q.byID[w.ask.ID] = w
}

func (q *queue) insertWeight(weight int) {
	at := 0
	for at < len(q.weights) && q.weights[at] > weight {
		at++
	}
	q.weights = append(q.weights, 0)
	copy(q.weights[at+1:], q.weights[at:])
	q.weights[at] = weight
}

// ahead counts the asks that go before one of the given weight and deadline.
func (q *queue) ahead(weight int, deadline time.Time) int {
	n := 0
	for _, w := range q.byID {
		if w.ask.Weight > weight || w.ask.Weight == weight && !w.ask.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

// classWait is how long the class of a weight takes to serve one more.
func (q *queue) classWait(now time.Time, weight int) time.Duration {
	if c, ok := q.classes[weight]; ok {
		return c.wait(now)
	}
	return 0
}

// next takes the ask whose turn it is, to be granted.
func (q *queue) next(now time.Time) *waiting {
	w := q.turnOf()
	if w != nil {
		q.classes[w.ask.Weight].leave(now, true)
	}
	return w
}

func (q *queue) turnOf() *waiting {
	if q.len() == 0 {
		return nil
	}
	q.turn++
	if q.turn%ageingTurn == 0 {
		return q.oldest()
	}
	for _, weight := range q.weights {
		h := q.byClass[weight]
		for h.Len() > 0 {
			w := heap.Pop(h).(*waiting)
			if !w.removed {
				q.forget(w)
				return w
			}
		}
	}
	return nil
}

func (q *queue) oldest() *waiting {
	q.trim()
	w := q.arrival[0]
	q.forget(w)
	return w
}

// trim drops removed asks from the front of the order of arrival.
func (q *queue) trim() {
	for len(q.arrival) > 0 && q.arrival[0].removed {
		q.arrival = q.arrival[1:]
	}
}

// drop takes out an ask that was not granted.
func (q *queue) drop(now time.Time, w *waiting) {
	q.classes[w.ask.Weight].leave(now, false)
	q.forget(w)
}

// forget marks w as gone; the heaps drop it when they meet it.
func (q *queue) forget(w *waiting) {
	w.removed = true
	delete(q.byID, w.ask.ID)
	q.trim()
}

// last takes out the ask that would be served last, if its weight is below the
// given one: it makes room for one that matters more.
func (q *queue) last(now time.Time, below int) *waiting {
	for i := len(q.weights) - 1; i >= 0 && q.weights[i] < below; i-- {
		var latest *waiting
		for _, w := range *q.byClass[q.weights[i]] {
			if !w.removed && (latest == nil || latest.before(w)) {
				latest = w
			}
		}
		if latest != nil {
			q.drop(now, latest)
			return latest
		}
	}
	return nil
}

// remove takes out the ask with this id, if it waits.
func (q *queue) remove(now time.Time, id string) bool {
	w, ok := q.byID[id]
	if ok {
		q.drop(now, w)
	}
	return ok
}

// expired takes out every ask whose wait has ended, in order of arrival.
func (q *queue) expired(now time.Time) []*waiting {
	return q.take(now, func(w *waiting) bool { return !now.Before(w.until) })
}

// notOf takes out the asks of all boxes but one, in order of arrival.
func (q *queue) notOf(now time.Time, box string) []*waiting {
	return q.take(now, func(w *waiting) bool { return w.ask.Box != box })
}

func (q *queue) take(now time.Time, chosen func(*waiting) bool) []*waiting {
	var out []*waiting
	for _, w := range q.arrival {
		if !w.removed && chosen(w) {
			out = append(out, w)
		}
	}
	for _, w := range out {
		q.drop(now, w)
	}
	return out
}

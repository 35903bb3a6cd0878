package ledger

import (
	"container/heap"
	"time"
)

// ageingInterval is how often a grant ignores the weight: one in ageingInterval
// goes to the request that was queued first, so that no request starves.
const ageingInterval = 10

// queuedRequest is a request for a slot in the queue.
type queuedRequest struct {
	request  SlotRequest
	queuedAt time.Time
	expires  time.Time // refused if still queued then
	seq      int       // of arrival
	removed  bool
}

// servedBefore reports whether w is served before other of the same weight.
func (w *queuedRequest) servedBefore(other *queuedRequest) bool {
	if w.request.Deadline.Equal(other.request.Deadline) {
		return w.seq < other.seq
	}
	return w.request.Deadline.Before(other.request.Deadline)
}

// deadlineHeap orders the requests of one weight by deadline.
type deadlineHeap []*queuedRequest

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].servedBefore(h[j]) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*queuedRequest)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// queue holds the queued requests of a service: greatest weight first, then the
// earliest deadline; every ageingInterval-th turn goes to the longest wait.
type queue struct {
	weights  []int // in descending order
	heaps    map[int]*deadlineHeap
	arrivals []*queuedRequest // in order of arrival
	byID     map[string]*queuedRequest
	classes  map[int]*weightClass // by weight
	turns    int
	lastSeq  int
}

func newQueue() *queue {
	return &queue{heaps: map[int]*deadlineHeap{}, byID: map[string]*queuedRequest{}, classes: map[int]*weightClass{}}
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) add(w *queuedRequest) {
	h, ok := q.heaps[w.request.Weight]
	if !ok {
		h = &deadlineHeap{}
		q.heaps[w.request.Weight] = h
		q.classes[w.request.Weight] = &weightClass{}
		q.insertWeight(w.request.Weight)
	}
	q.lastSeq++
	w.seq = q.lastSeq
	q.classes[w.request.Weight].join(w.queuedAt)
	heap.Push(h, w)
	q.arrivals = append(q.arrivals, w)
	q.byID[w.request.ID] = w
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

// countAhead counts the requests that are served before one of the given weight
// and deadline.
func (q *queue) countAhead(weight int, deadline time.Time) int {
	n := 0
	for _, w := range q.byID {
		if w.request.Weight > weight || w.request.Weight == weight && !w.request.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

// predictClassWait is how long the class of a weight takes to serve one more request.
func (q *queue) predictClassWait(now time.Time, weight int) time.Duration {
	if c, ok := q.classes[weight]; ok {
		return c.predictWait(now)
	}
	return 0
}

// dequeue removes the next request, which is then granted, or returns nil.
func (q *queue) dequeue(now time.Time) *queuedRequest {
	w := q.pop()
	if w != nil {
		q.classes[w.request.Weight].leave(now, true)
	}
	return w
}

func (q *queue) pop() *queuedRequest {
	if q.len() == 0 {
		return nil
	}
	q.turns++
	if q.turns%ageingInterval == 0 {
		return q.popOldest()
	}
	for _, weight := range q.weights {
		h := q.heaps[weight]
		for h.Len() > 0 {
			w := heap.Pop(h).(*queuedRequest)
			if !w.removed {
				q.markRemoved(w)
				return w
			}
		}
	}
	return nil
}

func (q *queue) popOldest() *queuedRequest {
	q.trimArrivals()
	w := q.arrivals[0]
	q.markRemoved(w)
	return w
}

// trimArrivals drops removed requests from the front of the arrival order.
func (q *queue) trimArrivals() {
	for len(q.arrivals) > 0 && q.arrivals[0].removed {
		q.arrivals = q.arrivals[1:]
	}
}

// removeUngranted removes a request that is not granted.
func (q *queue) removeUngranted(now time.Time, w *queuedRequest) {
	q.classes[w.request.Weight].leave(now, false)
	q.markRemoved(w)
}

// markRemoved marks w as removed; the heaps drop it once it reaches the top.
func (q *queue) markRemoved(w *queuedRequest) {
	w.removed = true
	delete(q.byID, w.request.ID)
	q.trimArrivals()
}

// evictLast removes the request that would be served last if its weight is below
// the given one, to make room for a request of greater weight.
func (q *queue) evictLast(now time.Time, below int) *queuedRequest {
	for i := len(q.weights) - 1; i >= 0 && q.weights[i] < below; i-- {
		var latest *queuedRequest
		for _, w := range *q.heaps[q.weights[i]] {
			if !w.removed && (latest == nil || latest.servedBefore(w)) {
				latest = w
			}
		}
		if latest != nil {
			q.removeUngranted(now, latest)
			return latest
		}
	}
	return nil
}

// removeByID removes the request with this id, if it is queued.
func (q *queue) removeByID(now time.Time, id string) bool {
	w, ok := q.byID[id]
	if ok {
		q.removeUngranted(now, w)
	}
	return ok
}

// removeExpired removes every expired request, in order of arrival.
func (q *queue) removeExpired(now time.Time) []*queuedRequest {
	return q.removeWhere(now, func(w *queuedRequest) bool { return !now.Before(w.expires) })
}

// removeOthers removes the requests of all boxes but one, in order of arrival.
func (q *queue) removeOthers(now time.Time, box string) []*queuedRequest {
	return q.removeWhere(now, func(w *queuedRequest) bool { return w.request.Box != box })
}

func (q *queue) removeWhere(now time.Time, chosen func(*queuedRequest) bool) []*queuedRequest {
	var out []*queuedRequest
	for _, w := range q.arrivals {
		if !w.removed && chosen(w) {
			out = append(out, w)
		}
	}
	for _, w := range out {
		q.removeUngranted(now, w)
	}
	return out
}

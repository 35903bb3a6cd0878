package ledger_test

// A simulation of one service in virtual time: the real ledger with fake targets
// and network delays. The users' benchmark simulates the gateway, not the box, so
// this simulation remains for the bounds in sim_bounds_test.go.

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event runs a function at a point in virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// sim is one run: a service's targets, the boxes and the requests.
type sim struct {
	now     time.Duration
	queue   events
	seq     int
	random  *rand.Rand
	c       testCase
	targets []*simTarget
	result  *result
	pending int // requests that are not answered yet
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, run: f})
}

func (s *sim) run() {
	for len(s.queue) > 0 && s.pending > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *sim) time() time.Time { return epoch.Add(s.now) }

const (
	withinHall  = 100 * time.Microsecond
	betweenHall = 1500 * time.Microsecond
)

// oneWay is the network delay from one hall to another.
func oneWay(a, b int) time.Duration {
	if a == b {
		return withinHall
	}
	return betweenHall
}

// window is a period in which a target runs at a tenth of its speed.
type window struct{ from, to time.Duration }

const slowdownFactor = 10

// simTarget is a fake target with a few slots and a short queue of its own.
type simTarget struct {
	id          int
	hall        int
	slots       int
	busy        int
	waiting     []*job
	slow        []window
	failFast    bool
	hangs       bool
	unreachable bool
}

const targetQueueLength = 6

// job is one try at a target.
type job struct {
	work    time.Duration
	ended   bool
	running bool
	done    func(result string)
}

// workDuration is how long work takes if it starts now.
func (s *sim) workDuration(t *simTarget, work time.Duration) time.Duration {
	at := s.now
	for _, w := range t.slow {
		if w.to <= at {
			continue
		}
		if before := w.from - at; before > 0 {
			if work <= before {
				return at + work - s.now
			}
			work -= before
			at = w.from
		}
		if inside := (w.to - at) / slowdownFactor; work <= inside {
			return at + work*slowdownFactor - s.now
		} else {
			work -= inside
			at = w.to
		}
	}
	return at + work - s.now
}

func (s *sim) arrive(t *simTarget, j *job) {
	switch {
	case t.unreachable:
		j.end("unreachable")
	case t.failFast:
		s.after(time.Millisecond, func() { j.end("failed") })
	case t.busy < t.slots:
		s.start(t, j)
	case len(t.waiting) < targetQueueLength:
		t.waiting = append(t.waiting, j)
	default:
		j.end("shed")
	}
}

func (j *job) end(result string) {
	if !j.ended {
		j.ended = true
		j.done(result)
	}
}

func (s *sim) start(t *simTarget, j *job) {
	t.busy++
	j.running = true
	if t.hangs {
		return
	}
	s.after(s.workDuration(t, j.work), func() {
		if !j.running {
			return
		}
		s.stop(t, j)
		j.end("ok")
	})
}

// stop frees the slot of a job and starts the next one.
func (s *sim) stop(t *simTarget, j *job) {
	j.running = false
	t.busy--
	for len(t.waiting) > 0 && t.busy < t.slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !next.ended {
			s.start(t, next)
		}
	}
}

// cancel ends a job whose result is no longer needed.
func (s *sim) cancel(t *simTarget, j *job) {
	if j.running {
		s.stop(t, j)
	}
	j.ended = true
}

// request is one request of a client at a box.
type request struct {
	id       int
	kind     *kind
	box      int
	hall     int
	work     time.Duration
	began    time.Duration
	deadline time.Duration
	tried    []int
	asked    time.Duration // when the client sent or last repeated it
	repeats  int
	answered bool
}

// try sends the request to a target; end is called at the box with the result
// and the duration. It returns a function that cancels the try.
func (s *sim) try(r *request, t *simTarget, end func(result string, took time.Duration)) (cancel func()) {
	began := s.now
	delay := oneWay(r.hall, t.hall)
	j := &job{work: r.work}
	over := false
	j.done = func(result string) {
		s.after(delay, func() {
			if !over {
				over = true
				end(result, s.now-began)
			}
		})
	}
	s.after(delay, func() { s.arrive(t, j) })
	s.after(max(r.deadline-s.now, 0), func() { // the deadline cancels the try
		if !over {
			over = true
			s.after(delay, func() { s.cancel(t, j) })
			end("deadline", s.now-began)
		}
	})
	return func() {
		if !over {
			over = true
			s.after(delay, func() { s.cancel(t, j) })
		}
	}
}

// answer records the outcome of a request, only the first time.
func (s *sim) answer(r *request, outcome string) {
	if r.answered {
		return
	}
	r.answered = true
	s.pending--
	s.result.record(r, outcome, s.now-r.began)
}

package compare_test

import (
	"slices"
	"sort"
	"time"
)

// way is one way of choosing targets. make gives the function that takes in a
// request at its box.
type way struct {
	name string
	make func(s *sim) func(*request)
}

const mostTries = 3

// direct sends a request to chosen targets until one answers. choose gives nil
// when there is none; sent and ended let the way keep its counts.
type direct struct {
	s      *sim
	choose func(r *request) *simTarget
	sent   func(r *request, t *simTarget)
	ended  func(r *request, t *simTarget, result string, took time.Duration)
}

func (d direct) send(r *request) {
	t := d.choose(r)
	r.tried = append(r.tried, t.id)
	d.sent(r, t)
	d.s.result.tries++
	d.s.try(r, t, func(result string, took time.Duration) {
		d.ended(r, t, result, took)
		again := (result == "shed" || result == "unreachable" || result == "failed") && len(r.tried) < mostTries
		if again && d.s.now < r.deadline {
			d.send(r)
			return
		}
		d.s.answer(r, result)
	})
}

// untried lists the targets in random order, those that the request has tried
// last.
func (s *sim) untried(r *request) []*simTarget {
	out := slices.Clone(s.targets)
	s.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	sort.SliceStable(out, func(i, j int) bool {
		return !slices.Contains(r.tried, out[i].id) && slices.Contains(r.tried, out[j].id)
	})
	return out
}

// ownCounts is way A: two random choices on the box's own in-flight counts.
var ownCounts = way{name: "A own counts", make: func(s *sim) func(*request) {
	counts := matrix(s)
	d := direct{s: s}
	d.sent = func(r *request, t *simTarget) { counts[r.box][t.id]++ }
	d.ended = func(r *request, t *simTarget, _ string, _ time.Duration) { counts[r.box][t.id]-- }
	d.choose = func(r *request) *simTarget {
		two := s.untried(r)[:2]
		if counts[r.box][two[1].id] < counts[r.box][two[0].id] {
			return two[1]
		}
		return two[0]
	}
	return d.send
}}

func matrix(s *sim) [][]int {
	counts := make([][]int, s.c.boxes)
	for i := range counts {
		counts[i] = make([]int, len(s.targets))
	}
	return counts
}

// ideal is the upper bound: one queue that knows everything at once.
var ideal = way{name: "ideal queue", make: func(s *sim) func(*request) {
	var waiting []*request
	var serve func()
	begin := func(r *request, t *simTarget) {
		s.result.tries++
		s.try(r, t, func(result string, _ time.Duration) {
			s.answer(r, result)
		})
	}
	free := func(r *request) *simTarget {
		var best *simTarget
		for _, t := range s.targets {
			if t.busy >= t.slots || t.failFast || t.hang || t.gone {
				continue
			}
			if best == nil || s.idealCost(r, t) < s.idealCost(r, best) {
				best = t
			}
		}
		return best
	}
	serve = func() {
		for len(waiting) > 0 {
			r := waiting[0]
			if s.now+r.work > r.deadline {
				waiting = waiting[1:]
				s.answer(r, "refused")
				continue
			}
			t := free(r)
			if t == nil {
				return
			}
			waiting = waiting[1:]
			t.busy++                                             // held for the way there
			s.after(oneWay(r.hall, t.hall), func() { t.busy-- }) // its own arrival comes next
			begin(r, t)
		}
	}
	var poll func()
	poll = func() { serve(); s.after(200*time.Microsecond, poll) }
	poll()
	return func(r *request) {
		at := sort.Search(len(waiting), func(i int) bool {
			w := waiting[i]
			return w.kind.weight < r.kind.weight || w.kind.weight == r.kind.weight && w.deadline > r.deadline
		})
		waiting = slices.Insert(waiting, at, r)
		serve()
	}
}}

func (s *sim) idealCost(r *request, t *simTarget) time.Duration {
	return s.lasts(t, r.work) + 2*oneWay(r.hall, t.hall)
}

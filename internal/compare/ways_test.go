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

func nothing(*request, *simTarget)                             {}
func nothingEnded(*request, *simTarget, string, time.Duration) {}

// randomChoice is the lower bound.
var randomChoice = way{name: "random", make: func(s *sim) func(*request) {
	d := direct{s: s, sent: nothing, ended: nothingEnded}
	d.choose = func(r *request) *simTarget { return s.untried(r)[0] }
	return d.send
}}

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

// probeResult is one measured target in a box's pool.
type probeResult struct {
	t        *simTarget
	inFlight int
	latency  time.Duration
	at       time.Duration
	uses     int
}

const (
	poolSize    = 8
	poolAge     = 500 * time.Millisecond
	probeUses   = 2
	probeWork   = 5 * time.Millisecond
	probeBudget = 15.0 // milliseconds of a target's time per second
)

// probePool is way B: A with a pool of probe results, each used a few times, a
// hot target avoided, the fastest of the others taken. Its probing stays within
// the budget that the comparison allows.
var probePool = way{name: "B probe pool", make: func(s *sim) func(*request) {
	pools := make([][]*probeResult, s.c.boxes)
	recent := make([]time.Duration, len(s.targets))
	d := direct{s: s, sent: nothing}
	d.ended = func(_ *request, t *simTarget, result string, took time.Duration) {
		if result == "ok" {
			recent[t.id] = took
		}
	}
	probe := func(box int) {
		t := s.targets[s.random.IntN(len(s.targets))]
		if t.probeMS > probeBudget*s.now.Seconds() {
			return
		}
		t.probeMS += float64(probeWork.Milliseconds())
		s.result.probes++
		s.after(2*oneWay(box%s.c.halls, t.hall)+probeWork, func() {
			p := &probeResult{t: t, inFlight: t.busy + len(t.waiting), latency: recent[t.id], at: s.now}
			pools[box] = append(pools[box], p)
			pools[box] = pools[box][max(len(pools[box])-poolSize, 0):]
		})
	}
	d.choose = func(r *request) *simTarget {
		probe(r.box)
		best := s.fromPool(pools, r)
		if best == nil {
			return s.untried(r)[0]
		}
		return best
	}
	return d.send
}}

// fromPool takes the fastest cold target of a box's pool.
func (s *sim) fromPool(pools [][]*probeResult, r *request) *simTarget {
	pools[r.box] = slices.DeleteFunc(pools[r.box], func(p *probeResult) bool {
		return s.now-p.at > poolAge || p.uses >= probeUses
	})
	var best *probeResult
	for _, p := range pools[r.box] {
		if slices.Contains(r.tried, p.t.id) {
			continue
		}
		hot := p.inFlight >= p.t.slots
		switch {
		case best == nil, best.inFlight >= best.t.slots && !hot:
			best = p
		case hot == (best.inFlight >= best.t.slots) && (p.inFlight < best.inFlight || p.inFlight == best.inFlight && p.latency < best.latency):
			best = p
		}
	}
	if best == nil {
		return nil
	}
	best.uses++
	best.inFlight++
	return best.t
}

const digestEvery = 10 * time.Millisecond

// digests is way C: in-flight counts pushed between boxes every 10 ms.
var digests = way{name: "C digests", make: func(s *sim) func(*request) {
	own := matrix(s)
	seen := make([][][]int, s.c.boxes) // what box i last heard from box j
	for i := range seen {
		seen[i] = matrix(s)
	}
	var push func()
	push = func() {
		for from := range s.c.boxes {
			said := slices.Clone(own[from])
			for to := range s.c.boxes {
				if to != from {
					s.result.messages++
					s.after(oneWay(from%s.c.halls, to%s.c.halls), func() { seen[to][from] = said })
				}
			}
		}
		s.after(digestEvery, push)
	}
	push()
	d := direct{s: s}
	d.sent = func(r *request, t *simTarget) { own[r.box][t.id]++ }
	d.ended = func(r *request, t *simTarget, _ string, _ time.Duration) { own[r.box][t.id]-- }
	d.choose = func(r *request) *simTarget {
		load := func(t *simTarget) int {
			n := own[r.box][t.id]
			for from, said := range seen[r.box] {
				if from != r.box {
					n += said[t.id]
				}
			}
			return n
		}
		candidates := s.untried(r)
		best := candidates[0]
		for _, t := range candidates[1:] {
			if !slices.Contains(r.tried, t.id) && load(t) < load(best) {
				best = t
			}
		}
		return best
	}
	return d.send
}}

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

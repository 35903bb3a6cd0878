package rollout

import (
	"maps"
	"time"
)

// Counts are how sends to targets of one version ended. They only grow.
type Counts struct {
	// Sends are those that have ended, or are overdue.
	Sends uint64
	// Failed are those that failed, broke off or brought a wrong answer.
	Failed uint64
	// Slow are those that took longer than a multiple of what the route usually takes,
	// those that were given up after that among them; none to a target that is cold.
	Slow uint64
	// Cold are the sends to targets that were cold, which say nothing of slowness.
	Cold uint64
}

// Plus adds counts.
func (c Counts) Plus(d Counts) Counts {
	return Counts{
		Sends: c.Sends + d.Sends, Failed: c.Failed + d.Failed, Slow: c.Slow + d.Slow, Cold: c.Cold + d.Cold,
	}
}

// Minus takes away earlier counts of the same sends.
func (c Counts) Minus(d Counts) Counts {
	return Counts{
		Sends: saturatingSub(c.Sends, d.Sends), Failed: saturatingSub(c.Failed, d.Failed),
		Slow: saturatingSub(c.Slow, d.Slow), Cold: saturatingSub(c.Cold, d.Cold),
	}
}

// saturatingSub is a minus b, 0 where b is greater: where reports contradict each other.
func saturatingSub(a, b uint64) uint64 { return max(a, b) - b }

// RouteCounts are those of one route and one side of the comparison.
type RouteCounts struct {
	Route string
	// Canary says that they are of the ordered version, not of the baseline.
	Canary bool
	Counts Counts
}

// Report is what one gateway sends the deciding one about one rollout.
type Report struct {
	Gateway string
	// Start orders the lives of one gateway's process.
	Start   uint64
	Service string
	Version string
	// Permille is the share of the stage by which the gateway sends.
	Permille int
	// BaselineActive and CanaryActive are how many of its sends to the versions are under
	// way.
	BaselineActive int
	CanaryActive   int
	// Counts are all since the process met the order.
	Counts []RouteCounts
}

// Pair is the two sides of the comparison.
type Pair struct{ Baseline, Canary Counts }

func (p Pair) plus(q Pair) Pair {
	return Pair{Baseline: p.Baseline.Plus(q.Baseline), Canary: p.Canary.Plus(q.Canary)}
}

// minus takes away earlier counts.
func (p Pair) minus(q Pair) Pair {
	return Pair{Baseline: p.Baseline.Minus(q.Baseline), Canary: p.Canary.Minus(q.Canary)}
}

// sends is how many sends both sides have.
func (p Pair) sends() uint64 { return p.Baseline.Sends + p.Canary.Sends }

// Routes are the two sides by route.
type Routes map[string]Pair

// Total sums the routes.
func (r Routes) Total() (sum Pair) {
	for _, p := range r {
		sum = sum.plus(p)
	}
	return sum
}

// since is what was added to earlier counts.
func (r Routes) since(earlier Routes) Routes {
	out := make(Routes, len(r))
	for route, p := range r {
		out[route] = p.minus(earlier[route])
	}
	return out
}

// addDelta adds, in place, what one life of a gateway's process has counted since it reported
// before; nil where it had not.
func (r Routes) addDelta(counts, previous []RouteCounts) {
	for _, c := range counts {
		delta := c.Counts
		for _, b := range previous {
			if b.Route == c.Route && b.Canary == c.Canary {
				delta = delta.Minus(b.Counts)
			}
		}
		p := r[c.Route]
		if c.Canary {
			p.Canary = p.Canary.Plus(delta)
		} else {
			p.Baseline = p.Baseline.Plus(delta)
		}
		r[c.Route] = p
	}
}

// plus adds the counts of another time.
func (r Routes) plus(other Routes) Routes {
	out := make(Routes, len(r)+len(other))
	maps.Copy(out, r)
	for route, p := range other {
		out[route] = out[route].plus(p)
	}
	return out
}

// Slice is what was reported in one span of time: it began Age ago and ended where the next
// later slice begins.
type Slice struct {
	Age    time.Duration
	Routes Routes
}

// Evidence is what all reports say together.
type Evidence struct {
	// Routes are the counts of all gateways since the order. Slices divide them by time, the
	// latest first: a version may turn bad late, and what disturbs both versions for a while
	// is seen in slices of that while alone. The oldest also holds what gateways had counted
	// when they were first learnt of.
	Routes Routes
	Slices []Slice
	// CanaryActive is how many sends to the canary are under way.
	CanaryActive int
	// Reports is how many gateways have reported.
	Reports int
}

// Total sums the routes.
func (e Evidence) Total() Pair { return e.Routes.Total() }

// since is what was reported in the latest slices that began no longer ago than an age,
// and how long ago the first of them did.
func (e Evidence) since(age time.Duration) (Routes, time.Duration) {
	sum, span := Routes{}, time.Duration(0)
	for _, s := range e.Slices {
		if s.Age > age {
			break
		}
		sum, span = sum.plus(s.Routes), s.Age
	}
	return sum, span
}

// within is the evidence of the slices that began no longer ago than an age.
func (e Evidence) within(age time.Duration) Evidence {
	e.Routes, _ = e.since(age)
	n := 0
	for n < len(e.Slices) && e.Slices[n].Age <= age {
		n++
	}
	e.Slices = e.Slices[:n]
	return e
}

const (
	// rateWindow is over how long the rate of a service is measured: long enough for some
	// reports of each gateway, short enough to follow a burst. leastRateSpan is the least
	// from which one is sent.
	rateWindow      = 1500 * time.Millisecond
	minRateWindow = 700 * time.Millisecond
)

// rate is how many sends a second the service gets; 0 where nothing was reported for long
// enough.
func (e Evidence) rate() float64 {
	routes, span := e.since(rateWindow)
	if span < minRateWindow {
		return 0
	}
	return float64(routes.Total().sends()) / span.Seconds()
}

// badResponsesBefore is how many bad answers of the canary were reported longer ago than a time.
func (e Evidence) badResponsesBefore(ago time.Duration) uint64 {
	routes, _ := e.since(ago)
	c := e.Total().Canary.Minus(routes.Total().Canary)
	return c.Failed + c.Slow
}

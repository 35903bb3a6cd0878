package rollout

import (
	"maps"
	"time"
)

// Counts are the outcomes of sends to targets of one version. They never decrease.
type Counts struct {
	// Sends are those that have ended, or are overdue.
	Sends uint64
	// Failed are those that failed, were cut off, or returned an invalid response.
	Failed uint64
	// Slow are those that took longer than a multiple of the route's usual latency,
	// including those that were abandoned after that; sends to cold targets don't count.
	Slow uint64
	// Cold are the sends to cold targets, which are ignored in the test for slowness.
	Cold uint64
}

// Plus returns the sum of the counts.
func (c Counts) Plus(d Counts) Counts {
	return Counts{
		Sends: c.Sends + d.Sends, Failed: c.Failed + d.Failed, Slow: c.Slow + d.Slow, Cold: c.Cold + d.Cold,
	}
}

// Minus subtracts earlier counts of the same sends.
func (c Counts) Minus(d Counts) Counts {
	return Counts{
		Sends: saturatingSub(c.Sends, d.Sends), Failed: saturatingSub(c.Failed, d.Failed),
		Slow: saturatingSub(c.Slow, d.Slow), Cold: saturatingSub(c.Cold, d.Cold),
	}
}

// saturatingSub returns a minus b, or 0 where b is greater, which happens where reports
// contradict each other.
func saturatingSub(a, b uint64) uint64 { return max(a, b) - b }

// RouteCounts are the counts of one route and one of the two versions that are compared.
type RouteCounts struct {
	Route string
	// Canary is true if the counts are of the ordered version, not of the baseline.
	Canary bool
	Counts Counts
}

// Report is what a gateway sends to the deciding gateway about one rollout.
type Report struct {
	Gateway string
	// Start orders the incarnations of one gateway's process.
	Start   uint64
	Service string
	Version string
	// Permille is the share of the stage that the gateway applies.
	Permille int
	// BaselineActive and CanaryActive are the gateway's sends to the versions in flight.
	BaselineActive int
	CanaryActive   int
	// Counts are the totals since the process first saw the order.
	Counts []RouteCounts
}

// Pair holds the counts of the two versions that are compared.
type Pair struct{ Baseline, Canary Counts }

func (p Pair) plus(q Pair) Pair {
	return Pair{Baseline: p.Baseline.Plus(q.Baseline), Canary: p.Canary.Plus(q.Canary)}
}

// minus subtracts earlier counts.
func (p Pair) minus(q Pair) Pair {
	return Pair{Baseline: p.Baseline.Minus(q.Baseline), Canary: p.Canary.Minus(q.Canary)}
}

// sends returns the sends to both versions.
func (p Pair) sends() uint64 { return p.Baseline.Sends + p.Canary.Sends }

// Routes holds the counts of the two versions by route.
type Routes map[string]Pair

// Total returns the sum over all routes.
func (r Routes) Total() (sum Pair) {
	for _, p := range r {
		sum = sum.plus(p)
	}
	return sum
}

// since returns the increase over earlier counts.
func (r Routes) since(earlier Routes) Routes {
	out := make(Routes, len(r))
	for route, p := range r {
		out[route] = p.minus(earlier[route])
	}
	return out
}

// addDelta adds, in place, what one incarnation of a gateway's process has counted since
// its previous report; previous is nil if there is none.
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

// plus returns the sum with the counts of another span of time.
func (r Routes) plus(other Routes) Routes {
	out := make(Routes, len(r)+len(other))
	maps.Copy(out, r)
	for route, p := range other {
		out[route] = out[route].plus(p)
	}
	return out
}

// Slice holds the counts reported in one span of time, which began Age ago and ended where
// the next later slice begins.
type Slice struct {
	Age    time.Duration
	Routes Routes
}

// Evidence is the sum of all reports.
type Evidence struct {
	// Routes are the counts of all gateways since the order. Slices divide them by time,
	// the latest first: a version may become bad late, and a temporary disturbance of both
	// versions shows only in the slices of its time. The oldest slice also holds what
	// gateways had counted before their first reports.
	Routes Routes
	Slices []Slice
	// CanaryActive is the number of sends to the canary in flight.
	CanaryActive int
	// Reports is the number of gateways that have reported.
	Reports int
}

// Total returns the sum over all routes.
func (e Evidence) Total() Pair { return e.Routes.Total() }

// since returns the counts of the latest slices that began at most age ago, and how long
// ago the first of these began.
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

// within returns the evidence of the slices that began at most age ago.
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
	// rateWindow is the time over which the rate of a service is measured: long enough for
	// some reports of each gateway, short enough to follow a burst. minRateWindow is the
	// shortest time that gives a rate.
	rateWindow    = 1500 * time.Millisecond
	minRateWindow = 700 * time.Millisecond
)

// rate returns the sends per second of the service, or 0 where the reports cover too short
// a time.
func (e Evidence) rate() float64 {
	routes, span := e.since(rateWindow)
	if span < minRateWindow {
		return 0
	}
	return float64(routes.Total().sends()) / span.Seconds()
}

// badResponsesBefore returns how many bad responses of the canary were reported longer ago
// than a time.
func (e Evidence) badResponsesBefore(ago time.Duration) uint64 {
	routes, _ := e.since(ago)
	c := e.Total().Canary.Minus(routes.Total().Canary)
	return c.Failed + c.Slow
}

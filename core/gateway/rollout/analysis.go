package rollout

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mathext"
	"gonum.org/v1/gonum/stat/distuv"
)

// The comparison is sequential: it may be looked at after each report. For each measure,
// route and window the statistic is a mixture likelihood ratio (mixtureRatio): of all
// shares of bad answers that are too great, with equal weights, to the greatest share that
// a sound version may have. For a sound version the chance that it ever exceeds x, however
// often it is looked at, is at most 1/x (Ville's inequality), plus the chance that the
// baseline's true share is greater than the bound that is taken for it (baselineSure).
const (
	// rollbackRatio is the statistic from which on a version is bad, and suspectOdds that from
	// which on it gets no greater share. Weighed by the tables of table_test.go.
	rollbackRatio   = 2000
	suspectRatio = 20
	// urgentRollbackRatio is alarmOdds where a bad version's time is running out.
	urgentRollbackRatio = 500
	// acceptRatio is how much likelier the counts must be of a version as good as the baseline
	// than of a bad one before it gets all requests: at most 1 in 20 bad ones does. stageOdds
	// is that where the counts of the latest stage alone are looked at.
	acceptRatio = 20
	stageAcceptRatio = 200
	// routeAcceptRatio is that for each route before the version is completed, five good answers,
	// and sureRouteOdds where there is time to wait for more: eleven.
	routeAcceptRatio     = 5
	strictRouteAcceptRatio = 50
	// minRouteShare is the part of a service's sends that a route must have for a proof of its
	// own. Less brings no five answers in the time of a stage.
	minRouteShare = 0.05
	// priorBad and priorGood are what is believed of a version before it is met, in answers:
	// that one in twenty is bad, with little weight.
	priorBad  = 0.5
	priorGood = 9.5
	// baselineConfidence is the probability with which the baseline's true share of bad answers
	// is no greater than what is taken for its greatest.
	baselineConfidence = 0.99
	// minBaselineSends is how many sends to the baseline a window must have for the canary's to
	// be compared with them. In other windows the canary is compared with the baseline since
	// the order, and allowed apartMargin more: what disturbs both versions for a while would
	// speak against the canary alone.
	minBaselineSends = 20
	fallbackMargin   = 0.1
	// maxBadShare is the greatest part of bad answers that a bad version is taken to give.
	maxBadShare = 0.95
)

// measure is one way in which an answer is bad.
type measure struct {
	reason Reason
	count  func(Counts) uint64
	sends  func(Counts) uint64
	// tolerance is by how much the share of a sound version may exceed the baseline's, and bad
	// by how much that of a bad one does at least.
	tolerance float64
	minExcess     float64
}

// measures are the ways in which a version is compared. A sound one may fail a little more
// often where some of its few targets are faulty, and be slow more often where they are
// fuller than those of the baseline. Weighed by the tables of table_test.go.
var measures = []measure{
	{
		reason: ReasonFailures, tolerance: 0.03, minExcess: 0.1,
		count: func(c Counts) uint64 { return c.Failed },
		sends: func(c Counts) uint64 { return c.Sends },
	},
	{
		reason: ReasonSlow, tolerance: 0.05, minExcess: 0.2,
		count: func(c Counts) uint64 { return c.Slow },
		sends: func(c Counts) uint64 { return saturatingSub(c.Sends, c.Cold) },
	},
}

// anyBad is a bad answer of either kind, as a route is judged by before the version is
// completed. A bad route is taken to be bad more often than a bad version: it has few
// requests in a stage.
var anyBad = measure{
	minExcess:   0.3,
	count: func(c Counts) uint64 { return c.Failed + c.Slow },
	sends: func(c Counts) uint64 { return c.Sends },
}

// finding is what speaks most against a version.
type finding struct {
	reason    Reason
	route     string // empty for all together
	span      time.Duration
	pair      Pair
	statistic float64
}

// strongestFinding is what speaks most against the canary, in the latest slices of any number, on any
// route.
func strongestFinding(e Evidence) finding {
	out := finding{pair: e.Total(), statistic: 1}
	total := e.Routes.withAll()
	window := Routes{}
	for _, s := range e.Slices {
		window = window.plus(s.Routes)
		for route, pair := range window.withAll() {
			for _, m := range measures {
				if x := m.statistic(pair, total[route], total[allRoutes]); x > out.statistic {
					out = finding{m.reason, route, s.Age, pair, x}
				}
			}
		}
	}
	return out
}

// allRoutes represents all routes together.
const allRoutes = ""

// withAll adds the sum of all routes.
func (r Routes) withAll() Routes {
	return r.plus(Routes{allRoutes: r.Total()})
}

// statistic is the statistic of one pair of counts. Where the baseline has too few sends in
// it, those of the route since the order are taken for it, or else those of all routes.
func (m measure) statistic(pair Pair, route, all Pair) float64 {
	baseline, allowed := pair.Baseline, m.tolerance
	for _, fallback := range []Counts{route.Baseline, all.Baseline} {
		if m.sends(baseline) < minBaselineSends {
			baseline, allowed = fallback, m.tolerance+fallbackMargin
		}
	}
	bad, n := float64(m.count(pair.Canary)), float64(m.sends(pair.Canary))
	limit := m.expectedShare(baseline) + allowed
	if bad <= n*limit {
		return 1
	}
	return mixtureRatio(bad, n, m.maxShareOf(baseline)+allowed)
}

// mixtureRatio is the likelihood ratio of the shares above a limit, with equal weights, to
// that limit, for bad of n answers.
func mixtureRatio(bad, n, limit float64) float64 {
	if limit >= 1 || bad <= n*limit {
		return 1
	}
	upperTail := mathext.RegIncBeta(n-bad+1, bad+1, 1-limit)
	good := n - bad
	log := mathext.Lbeta(bad+1, good+1) + math.Log(upperTail) -
		math.Log1p(-limit) - bad*math.Log(limit) - good*math.Log1p(-limit)
	return math.Exp(log)
}

// expectedShare is the part of bad answers that is expected of a version by its counts.
func (m measure) expectedShare(c Counts) float64 {
	return (priorBad + float64(m.count(c))) / (priorBad + priorGood + float64(m.sends(c)))
}

// maxShareOf is what the part of bad answers of a version is at most.
func (m measure) maxShareOf(c Counts) float64 {
	n := float64(m.sends(c))
	bad := min(float64(m.count(c)), n)
	return distuv.Beta{Alpha: priorBad + bad, Beta: priorGood + n - bad}.Quantile(baselineConfidence)
}

// isTotalHealthy says whether the counts of all routes together are odds times likelier of a
// version as good as the baseline than of a bad one; base is as in soundness.
func isTotalHealthy(e Evidence, base Routes, minRatio float64) bool {
	for _, m := range measures {
		if m.healthyRatio(e, base, allRoutes, m.minExcess) < minRatio {
			return false
		}
	}
	return true
}

// areRoutesHealthy says the same of each route that is used enough, by answers that are bad
// in any way: a route has too few to look at each way by itself.
func areRoutesHealthy(e Evidence, minRatio float64) bool {
	total := e.Total().sends()
	for route, pair := range e.Routes {
		isSignificant := float64(pair.sends()) >= minRouteShare*float64(total)
		if isSignificant && anyBad.healthyRatio(e, e.Routes, route, anyBad.minExcess) < minRatio {
			return false
		}
	}
	return true
}

// healthyRatio is the likelihood ratio of a version that is as good as the baseline to one
// whose part of bad answers is greater by a margin (Wald's test). Each slice is compared
// with the baseline of the same time, as far as there is any, base being that of all the
// time: what disturbed both for a while neither speaks for the version nor against it.
func (m measure) healthyRatio(e Evidence, base Routes, route string, margin float64) float64 {
	overall := m.expectedShare(base.pair(route).Baseline)
	log := 0.0
	for _, s := range e.Slices {
		p := s.Routes.pair(route)
		weight := priorBad + priorGood
		good := (overall*weight + float64(m.count(p.Baseline))) / (weight + float64(m.sends(p.Baseline)))
		bad := min(good+margin, maxBadShare)
		x, n := float64(m.count(p.Canary)), float64(m.sends(p.Canary))
		if good < bad {
			log += x*math.Log(good/bad) + (n-x)*(math.Log1p(-good)-math.Log1p(-bad))
		}
	}
	return math.Exp(log)
}

// pair is one route, or all.
func (r Routes) pair(route string) Pair {
	if route == allRoutes {
		return r.Total()
	}
	return r[route]
}

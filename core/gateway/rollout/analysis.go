package rollout

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mathext"
	"gonum.org/v1/gonum/stat/distuv"
)

// The comparison is a sequential test: it may be evaluated after each report. For each
// measure, route and window the statistic is a mixture likelihood ratio (mixtureRatio): of
// all shares of bad responses that are too great, with equal weights, to the greatest share
// that a healthy version may have. For a healthy version the probability that it ever
// exceeds x, however often it is evaluated, is at most 1/x (Ville's inequality), plus the
// probability that the baseline's true share is greater than the bound that is used for it
// (baselineConfidence).
const (
	// rollbackRatio is the statistic from which on a version is rolled back, and
	// suspectRatio the one from which on its share does not grow. The simulations in
	// table_test.go check the resulting error rates.
	rollbackRatio = 2000
	suspectRatio  = 20
	// urgentRollbackRatio replaces rollbackRatio where the time for rolling back a bad
	// version is running out.
	urgentRollbackRatio = 500
	// acceptRatio is the likelihood ratio of the counts, for a version as good as the
	// baseline against a bad one, that a version must reach before it gets all requests: at
	// most 1 in 20 bad versions reaches it. stageAcceptRatio is the limit where only the
	// counts of the latest stage are used.
	acceptRatio      = 20
	stageAcceptRatio = 200
	// routeAcceptRatio is the limit for each route before the version is completed, five
	// good responses, and strictRouteAcceptRatio the one where there is time to wait for
	// more: eleven.
	routeAcceptRatio       = 5
	strictRouteAcceptRatio = 50
	// minRouteShare is the share of a service's sends that a route must have to be tested
	// by itself. A smaller route has fewer than five responses in the time of a stage.
	minRouteShare = 0.05
	// priorBad and priorGood are the prior for a version's share of bad responses, as
	// counts of responses: one in twenty is bad, with little weight.
	priorBad  = 0.5
	priorGood = 9.5
	// baselineConfidence is the probability with which the baseline's true share of bad
	// responses does not exceed its upper bound (shareUpperBound).
	baselineConfidence = 0.99
	// minBaselineSends is how many sends to the baseline a window must have for the
	// canary's to be compared with them. In other windows the canary is compared with the
	// baseline since the order, and its tolerance grows by fallbackMargin: a temporary
	// disturbance of both versions would count against the canary alone.
	minBaselineSends = 20
	fallbackMargin   = 0.1
	// maxBadShare is the upper limit of the share of bad responses that a bad version is
	// assumed to have.
	maxBadShare = 0.95
)

// measure is one criterion by which a response counts as bad.
type measure struct {
	reason Reason
	count  func(Counts) uint64
	sends  func(Counts) uint64
	// tolerance is by how much the share of a healthy version may exceed the baseline's,
	// and minExcess by how much that of a bad one does at least.
	tolerance float64
	minExcess float64
}

// measures are the criteria by which the versions are compared. A healthy version may fail
// slightly more often where some of its few targets are faulty, and be slow more often
// where they have a higher utilization than those of the baseline. The simulations in
// table_test.go check the resulting error rates.
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

// anyBad counts bad responses of either kind; a route is tested with it before the version
// is completed. The assumed excess of a bad route is greater than that of a bad version,
// since a route has few requests in a stage.
var anyBad = measure{
	minExcess: 0.3,
	count:     func(c Counts) uint64 { return c.Failed + c.Slow },
	sends:     func(c Counts) uint64 { return c.Sends },
}

// finding is the comparison with the strongest evidence against a version.
type finding struct {
	reason    Reason
	route     string // empty for all together
	span      time.Duration
	pair      Pair
	statistic float64
}

// strongestFinding returns the strongest evidence against the canary, over windows of the
// latest slices of any number, and over all routes.
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

// allRoutes is the key of the sum over all routes.
const allRoutes = ""

// withAll returns the routes with their sum added.
func (r Routes) withAll() Routes {
	return r.plus(Routes{allRoutes: r.Total()})
}

// statistic returns the test statistic of one pair of counts. Where the baseline has too
// few sends in the pair, its sends on the route since the order are used, or else those on
// all routes.
func (m measure) statistic(pair Pair, route, all Pair) float64 {
	baseline, tolerance := pair.Baseline, m.tolerance
	for _, fallback := range []Counts{route.Baseline, all.Baseline} {
		if m.sends(baseline) < minBaselineSends {
			baseline, tolerance = fallback, m.tolerance+fallbackMargin
		}
	}
	bad, n := float64(m.count(pair.Canary)), float64(m.sends(pair.Canary))
	limit := m.expectedShare(baseline) + tolerance
	if bad <= n*limit {
		return 1
	}
	return mixtureRatio(bad, n, m.shareUpperBound(baseline)+tolerance)
}

// mixtureRatio returns the likelihood ratio of the shares above a limit, with equal
// weights, to that limit, for bad of n responses.
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

// expectedShare returns the posterior mean of a version's share of bad responses.
func (m measure) expectedShare(c Counts) float64 {
	return (priorBad + float64(m.count(c))) / (priorBad + priorGood + float64(m.sends(c)))
}

// shareUpperBound returns the upper bound of a version's share of bad responses, which holds
// with probability baselineConfidence.
func (m measure) shareUpperBound(c Counts) float64 {
	n := float64(m.sends(c))
	bad := min(float64(m.count(c)), n)
	return distuv.Beta{Alpha: priorBad + bad, Beta: priorGood + n - bad}.Quantile(baselineConfidence)
}

// isTotalHealthy reports whether the counts of all routes together are at least minRatio
// times likelier for a version as good as the baseline than for a bad one; base is as in
// healthyRatio.
func isTotalHealthy(e Evidence, base Routes, minRatio float64) bool {
	for _, m := range measures {
		if m.healthyRatio(e, base, allRoutes, m.minExcess) < minRatio {
			return false
		}
	}
	return true
}

// areRoutesHealthy reports the same for each route that has enough sends, by responses that
// are bad by any measure: a route has too few for a test of each measure.
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

// healthyRatio returns the likelihood ratio of a version as good as the baseline to one
// whose share of bad responses is greater by a margin (Wald's sequential probability ratio
// test). Each slice is compared with the baseline of the same time as far as there is any,
// base holding the counts of all the time, so that a temporary disturbance of both versions
// counts neither for the version nor against it.
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

// pair returns the counts of one route, or of all routes for allRoutes.
func (r Routes) pair(route string) Pair {
	if route == allRoutes {
		return r.Total()
	}
	return r[route]
}

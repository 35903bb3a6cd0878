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
	// alarmOdds is the statistic from which on a version is bad, and suspectOdds that from
	// which on it gets no greater share. Weighed by the tables of table_test.go.
	alarmOdds   = 2000
	suspectOdds = 20
	// pressingOdds is alarmOdds where a bad version's time is running out.
	pressingOdds = 500
	// soundOdds is how much likelier the counts must be of a version as good as the baseline
	// than of a bad one before it gets all requests: at most 1 in 20 bad ones does. stageOdds
	// is that where the counts of the latest stage alone are looked at.
	soundOdds = 20
	stageOdds = 200
	// routeOdds is that for each route before the version is completed, five good answers,
	// and sureRouteOdds where there is time to wait for more: eleven.
	routeOdds     = 5
	sureRouteOdds = 50
	// notableShare is the part of a service's sends that a route must have for a proof of its
	// own. Less brings no five answers in the time of a stage.
	notableShare = 0.05
	// priorBad and priorGood are what is believed of a version before it is met, in answers:
	// that one in twenty is bad, with little weight.
	priorBad  = 0.5
	priorGood = 9.5
	// baselineSure is the probability with which the baseline's true share of bad answers
	// is no greater than what is taken for its greatest.
	baselineSure = 0.99
	// leastBaseline is how many sends to the baseline a window must have for the canary's to
	// be compared with them. In other windows the canary is compared with the baseline since
	// the order, and allowed apartMargin more: what disturbs both versions for a while would
	// speak against the canary alone.
	leastBaseline = 20
	apartMargin   = 0.1
	// mostBad is the greatest part of bad answers that a bad version is taken to give.
	mostBad = 0.95
)

// measure is one way in which an answer is bad.
type measure struct {
	reason Reason
	count  func(Counts) uint64
	sends  func(Counts) uint64
	// allowed is by how much the share of a sound version may exceed the baseline's, and bad
	// by how much that of a bad one does at least.
	allowed float64
	bad     float64
}

// measures are the ways in which a version is compared. A sound one may fail a little more
// often where some of its few targets are faulty, and be slow more often where they are
// fuller than those of the baseline. Weighed by the tables of table_test.go.
var measures = []measure{
	{
		reason: ReasonFailures, allowed: 0.03, bad: 0.1,
		count: func(c Counts) uint64 { return c.Failed },
		sends: func(c Counts) uint64 { return c.Sends },
	},
	{
		reason: ReasonSlow, allowed: 0.05, bad: 0.2,
		count: func(c Counts) uint64 { return c.Slow },
		sends: func(c Counts) uint64 { return less(c.Sends, c.Cold) },
	},
}

// anyBad is a bad answer of either kind, as a route is judged by before the version is
// completed. A bad route is taken to be bad more often than a bad version: it has few
// requests in a stage.
var anyBad = measure{
	bad:   0.3,
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

// worst is what speaks most against the canary, in the latest slices of any number, on any
// route.
func worst(e Evidence) finding {
	out := finding{pair: e.Total(), statistic: 1}
	total := e.Routes.withAll()
	window := Routes{}
	for _, s := range e.Slices {
		window = window.plus(s.Routes)
		for route, pair := range window.withAll() {
			for _, m := range measures {
				if x := m.excess(pair, total[route], total[allRoutes]); x > out.statistic {
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

// excess is the statistic of one pair of counts. Where the baseline has too few sends in
// it, those of the route since the order are taken for it, or else those of all routes.
func (m measure) excess(pair Pair, route, all Pair) float64 {
	baseline, allowed := pair.Baseline, m.allowed
	for _, apart := range []Counts{route.Baseline, all.Baseline} {
		if m.sends(baseline) < leastBaseline {
			baseline, allowed = apart, m.allowed+apartMargin
		}
	}
	bad, n := float64(m.count(pair.Canary)), float64(m.sends(pair.Canary))
	limit := m.share(baseline) + allowed
	if bad <= n*limit {
		return 1
	}
	return mixtureRatio(bad, n, m.greatestShare(baseline)+allowed)
}

// mixtureRatio is the likelihood ratio of the shares above a limit, with equal weights, to
// that limit, for bad of n answers.
func mixtureRatio(bad, n, limit float64) float64 {
	if limit >= 1 || bad <= n*limit {
		return 1
	}
	above := mathext.RegIncBeta(n-bad+1, bad+1, 1-limit)
	good := n - bad
	log := mathext.Lbeta(bad+1, good+1) + math.Log(above) -
		math.Log1p(-limit) - bad*math.Log(limit) - good*math.Log1p(-limit)
	return math.Exp(log)
}

// share is the part of bad answers that is expected of a version by its counts.
func (m measure) share(c Counts) float64 {
	return (priorBad + float64(m.count(c))) / (priorBad + priorGood + float64(m.sends(c)))
}

// greatestShare is what the part of bad answers of a version is at most.
func (m measure) greatestShare(c Counts) float64 {
	n := float64(m.sends(c))
	bad := min(float64(m.count(c)), n)
	return distuv.Beta{Alpha: priorBad + bad, Beta: priorGood + n - bad}.Quantile(baselineSure)
}

// isTotalSound says whether the counts of all routes together are odds times likelier of a
// version as good as the baseline than of a bad one; base is as in soundness.
func isTotalSound(e Evidence, base Routes, odds float64) bool {
	for _, m := range measures {
		if m.soundness(e, base, allRoutes, m.bad) < odds {
			return false
		}
	}
	return true
}

// areRoutesSound says the same of each route that is used enough, by answers that are bad
// in any way: a route has too few to look at each way by itself.
func areRoutesSound(e Evidence, odds float64) bool {
	total := e.Total().sends()
	for route, pair := range e.Routes {
		notable := float64(pair.sends()) >= notableShare*float64(total)
		if notable && anyBad.soundness(e, e.Routes, route, anyBad.bad) < odds {
			return false
		}
	}
	return true
}

// soundness is the likelihood ratio of a version that is as good as the baseline to one
// whose part of bad answers is greater by a margin (Wald's test). Each slice is compared
// with the baseline of the same time, as far as there is any, base being that of all the
// time: what disturbed both for a while neither speaks for the version nor against it.
func (m measure) soundness(e Evidence, base Routes, route string, margin float64) float64 {
	usual := m.share(base.of(route).Baseline)
	log := 0.0
	for _, s := range e.Slices {
		p := s.Routes.of(route)
		weight := priorBad + priorGood
		good := (usual*weight + float64(m.count(p.Baseline))) / (weight + float64(m.sends(p.Baseline)))
		bad := min(good+margin, mostBad)
		x, n := float64(m.count(p.Canary)), float64(m.sends(p.Canary))
		if good < bad {
			log += x*math.Log(good/bad) + (n-x)*(math.Log1p(-good)-math.Log1p(-bad))
		}
	}
	return math.Exp(log)
}

// of is one route, or all.
func (r Routes) of(route string) Pair {
	if route == allRoutes {
		return r.Total()
	}
	return r[route]
}

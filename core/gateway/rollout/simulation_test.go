package rollout

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// simulation is one simulated rollout: requests arrive at random, outcomes become known
// after their latency, gateways report, and Decide is called. A decision takes effect at
// the gateways after simPropagation.
type simulation struct {
	seed        uint64
	within      time.Duration
	rate        float64 // requests a second
	targets     int     // of each version
	defect      defect
	disturbance disturbance
	decide      func(State) Decision // Decide where nil
}

// defect is how the new version is bad.
type defect struct {
	fails float64 // share of requests that fail
	slow  float64 // share of requests that take eight times as long
	route string  // only on this route; empty for all
	start time.Duration
}

// disturbance affects the targets, whatever their version.
type disturbance struct {
	fails        float64 // share of requests that fail at the affected targets
	slow         float64 // share of requests that take four times as long at the affected targets
	affected     float64 // share of the targets that are affected
	baselineOnly bool
	burst        float64 // factor of the request rate in a burst, in which a third is slow
	corrupted    float64 // share of all responses that are invalid
}

// result is the outcome of a simulation.
type result struct {
	end        Decision
	endedAt    time.Duration // when the latest decision was made
	exposed    float64       // requests that reached the new version
	allowed    float64
	firstBadAt time.Duration // when the first bad response was known
	inFlight   int           // requests in flight at the old version on completion
}

const (
	simTick           = 10 * time.Millisecond
	simGateways       = 8
	simReportInterval = 250 * time.Millisecond
	simPropagation    = 50 * time.Millisecond // until gateways know a recorded decision
	simCanaryStart    = 400 * time.Millisecond
	simCanaryWarm     = simCanaryStart + 3*time.Second
	simLatency        = 130 * time.Millisecond
	simOverdue        = 3 * simLatency
	simDecideInterval = 50 * time.Millisecond
)

// simRoutes are the routes of the service and their shares of its requests.
var simRoutes = []struct {
	name  string
	share float64
}{{"main", .65}, {"second", .27}, {"small", .08}}

// completion is the outcome of one request when it becomes known.
type completion struct {
	gateway int
	side    RouteCounts
}

type simulator struct {
	simulation
	rng              *rand.Rand
	baselineAffected []bool
	canaryAffected   []bool
	order            catalog.Rollout
	stages           []catalog.Rollout // the order at each tick
	completions      map[int][]completion
	active           [2][]int // by version (sideIndex) and gateway
	counts           []map[RouteCounts]Counts
	reports          *ReportLog
	stage            time.Duration
	out              result
	total            float64
}

func (p simulation) run() result {
	g := &simulator{
		simulation: p, rng: rand.New(rand.NewPCG(p.seed, 7)), reports: NewReportLog(), completions: map[int][]completion{},
		order: catalog.Rollout{Service: "api", Version: "2", Within: p.within},
	}
	if g.decide == nil {
		g.decide = Decide
	}
	for range p.targets {
		g.baselineAffected = append(g.baselineAffected, g.rng.Float64() < p.disturbance.affected)
		g.canaryAffected = append(g.canaryAffected, g.rng.Float64() < p.disturbance.affected && !p.disturbance.baselineOnly)
	}
	g.active = [2][]int{make([]int, simGateways), make([]int, simGateways)}
	for range simGateways {
		g.counts = append(g.counts, map[RouteCounts]Counts{})
	}
	for now := time.Duration(0); now < p.within; now += simTick {
		g.step(now)
	}
	g.out.allowed = .1*g.total + 50
	return g.out
}

// appliedOrder returns the order that gateways apply at a moment.
func (g *simulator) appliedOrder(now time.Duration) catalog.Rollout {
	delay := int(simPropagation / simTick)
	if i := len(g.stages) - 1 - delay; i >= 0 {
		return g.stages[i]
	}
	return catalog.Rollout{}
}

func (g *simulator) step(now time.Duration) {
	g.stages = append(g.stages, g.order)
	applied := g.appliedOrder(now)
	for range poisson(g.rng, g.rate*g.loadFactor(now)*simTick.Seconds()) {
		g.request(now, applied)
	}
	tickIndex := int(now / simTick)
	for _, done := range g.completions[tickIndex] {
		side := done.side
		side.Counts = Counts{}
		g.counts[done.gateway][side] = g.counts[done.gateway][side].Plus(done.side.Counts)
		g.active[sideIndex(side.Canary)][done.gateway]--
	}
	delete(g.completions, tickIndex)
	for i := range simGateways {
		if (now+simReportInterval*time.Duration(i)/simGateways)%simReportInterval < simTick {
			g.report(now, i, applied.Permille)
		}
	}
	if now%simDecideInterval < simTick && !g.order.State.Final() {
		g.decideOnce(now)
	}
}

// loadFactor returns the factor by which the request rate exceeds the usual one: for two
// seconds in the middle.
func (g *simulator) loadFactor(now time.Duration) float64 {
	if g.inBurst(now) {
		return g.disturbance.burst
	}
	return 1
}

func (g *simulator) inBurst(now time.Duration) bool {
	begin := time.Duration(float64(g.within) * .4)
	return g.disturbance.burst > 0 && now >= begin && now < begin+2*time.Second
}

func sideIndex(canary bool) int {
	if canary {
		return 1
	}
	return 0
}

func (g *simulator) request(now time.Duration, applied catalog.Rollout) {
	g.total++
	canary := applied.State == catalog.RolloutRunning && now >= simCanaryStart && g.rng.Float64()*FullShare < float64(applied.Permille)
	route := simRoutes[pickRoute(g.rng)].name
	fails, slow := g.probabilities(now, applied, canary, route)
	took := time.Duration((.5 + g.rng.Float64()) * float64(simLatency))
	c := Counts{Sends: 1}
	switch x := g.rng.Float64(); {
	case x < fails:
		c.Failed = 1
	case x < anyOf(fails, slow):
		c.Slow, took = 1, simOverdue
	}
	if canary && now < simCanaryWarm {
		c.Slow, c.Cold, took = 0, 1, 2*took
	}
	if canary {
		g.out.exposed++
		if c.Failed+c.Slow > 0 && g.out.firstBadAt == 0 && now >= g.defect.start {
			g.out.firstBadAt = now + took
		}
	}
	gateway := g.rng.IntN(simGateways)
	g.active[sideIndex(canary)][gateway]++
	end := int((now+took)/simTick) + 1
	g.completions[end] = append(g.completions[end], completion{gateway, RouteCounts{Route: route, Canary: canary, Counts: c}})
}

// probabilities returns the probabilities that a request fails and that it is slow.
func (g *simulator) probabilities(now time.Duration, applied catalog.Rollout, canary bool, route string) (fails, slow float64) {
	hit := g.baselineAffected
	if canary {
		hit = g.canaryAffected[:canarySize(applied.Permille, g.targets)]
	}
	if hit[g.rng.IntN(len(hit))] {
		fails, slow = g.disturbance.fails, g.disturbance.slow
	}
	fails = anyOf(fails, g.disturbance.corrupted)
	if g.inBurst(now) {
		slow = anyOf(slow, 1./3)
	}
	if canary && now >= g.defect.start && (g.defect.route == "" || g.defect.route == route) {
		fails, slow = anyOf(fails, g.defect.fails), anyOf(slow, g.defect.slow)
	}
	return fails, slow
}

// anyOf returns the probability that at least one of two independent events happens.
func anyOf(a, b float64) float64 { return 1 - (1-a)*(1-b) }

func (g *simulator) report(now time.Duration, i, permille int) {
	r := Report{Gateway: string(rune('a' + i)), Permille: permille, BaselineActive: g.active[0][i], CanaryActive: g.active[1][i]}
	for side, c := range g.counts[i] {
		side.Counts = c
		r.Counts = append(r.Counts, side)
	}
	g.reports.Add(start.Add(now), r)
}

func (g *simulator) decideOnce(now time.Duration) {
	s := State{
		Order: g.order, Limits: Limits{Share: .1, Slack: 50, RollBackWithin: 5 * time.Second},
		Age: now, StageAge: now - g.stage, OnTrial: true, Baseline: g.targets,
		Evidence: g.reports.Evidence(start.Add(now)),
	}
	if now >= simCanaryStart {
		s.Canary = g.targets
	}
	if now >= simCanaryWarm {
		s.Warm = g.targets
	}
	ids := make([]string, simGateways)
	for i := range ids {
		ids[i] = string(rune('a' + i))
	}
	s.Behind = g.reports.Behind(start.Add(now), g.order.Permille, ids)
	s.BaselineActive = g.reports.BaselineActive(ids)
	d := g.decide(s)
	switch d.Action {
	case Wait:
		return
	case Advance:
		g.order.State, g.order.Permille = catalog.RolloutRunning, d.Permille
	case Complete:
		g.order.State = catalog.RolloutCompleted
		g.out.inFlight = g.active[0][0]
		for _, n := range g.active[0][1:] {
			g.out.inFlight += n
		}
	case RollBack:
		g.order.State = catalog.RolloutRolledBack
	}
	g.stage = now
	g.out.end, g.out.endedAt = d, now
}

func pickRoute(draw *rand.Rand) int {
	x := draw.Float64()
	for i, r := range simRoutes {
		if x -= r.share; x < 0 {
			return i
		}
	}
	return 0
}

// poisson draws a Poisson-distributed number of events with the given mean.
func poisson(draw *rand.Rand, mean float64) int {
	n, left := 0, math.Exp(-mean)
	for p := draw.Float64(); p > left; p *= draw.Float64() {
		n++
	}
	return n
}

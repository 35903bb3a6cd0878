package rollout

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// play is one rollout on paper: requests arrive by chance, answers become known after their
// time, gateways report, and Decide is asked. What it says holds after a while.
type play struct {
	seed    uint64
	within  time.Duration
	rate    float64 // requests a second
	targets int     // of each version
	flaw    flaw
	trouble trouble
	decide  func(State) Decision // Decide where nil
}

// flaw is how the new version is bad.
type flaw struct {
	fails float64 // share that fails
	slow  float64 // share that takes eight times as long
	route string  // on this route alone; empty for all
	from  time.Duration
}

// trouble is what hits the targets, whatever their version.
type trouble struct {
	fails   float64 // share that the targets hit fail
	slow    float64 // share that takes four times as long at the targets hit
	hit     float64 // share of the targets that are hit
	oldOnly bool
	burst   float64 // how many times as many requests come, and a third is slow
	garbled float64 // share of all answers that are wrong
}

// result is what came of a play.
type result struct {
	end     Decision
	at      time.Duration // when the verdict fell
	exposed float64       // requests that reached the new version until word of a verdict
	allowed float64
	bad     time.Duration // when the first bad answer was known
	cut     int           // requests under way at the old version when it was completed
}

const (
	playTick       = 10 * time.Millisecond
	playGateways   = 8
	playReport     = 250 * time.Millisecond
	playWord       = 50 * time.Millisecond // until gateways know what was recorded
	playAppear     = 400 * time.Millisecond
	playWarm       = playAppear + 3*time.Second
	playUsual      = 130 * time.Millisecond
	playOverdue    = 3 * playUsual
	playDecideEach = 50 * time.Millisecond
)

// playRoutes are the routes of the service and their parts of its requests.
var playRoutes = []struct {
	name string
	part float64
}{{"main", .65}, {"second", .27}, {"small", .08}}

// known is what becomes known of one request at a moment.
type known struct {
	gateway int
	side    RouteCounts
}

type player struct {
	play
	draw   *rand.Rand
	hitOld []bool
	hitNew []bool
	order  catalog.Rollout
	stages []catalog.Rollout // by when gateways send by them
	ends   map[int][]known
	active [2][]int // by side and gateway
	counts []map[RouteCounts]Counts
	ledger *ReportLog
	stage  time.Duration
	out    result
	total  float64
}

func (p play) run() result {
	g := &player{
		play: p, draw: rand.New(rand.NewPCG(p.seed, 7)), ledger: NewReportLog(), ends: map[int][]known{},
		order: catalog.Rollout{Service: "api", Version: "2", Within: p.within},
	}
	if g.decide == nil {
		g.decide = Decide
	}
	for range p.targets {
		g.hitOld = append(g.hitOld, g.draw.Float64() < p.trouble.hit)
		g.hitNew = append(g.hitNew, g.draw.Float64() < p.trouble.hit && !p.trouble.oldOnly)
	}
	g.active = [2][]int{make([]int, playGateways), make([]int, playGateways)}
	for range playGateways {
		g.counts = append(g.counts, map[RouteCounts]Counts{})
	}
	for now := time.Duration(0); now < p.within; now += playTick {
		g.step(now)
	}
	g.out.allowed = .1*g.total + 50
	return g.out
}

// sent is the order by which gateways send at a moment.
func (g *player) sent(now time.Duration) catalog.Rollout {
	delay := int(playWord / playTick)
	if i := len(g.stages) - 1 - delay; i >= 0 {
		return g.stages[i]
	}
	return catalog.Rollout{}
}

func (g *player) step(now time.Duration) {
	g.stages = append(g.stages, g.order)
	sent := g.sent(now)
	for range poisson(g.draw, g.rate*g.surge(now)*playTick.Seconds()) {
		g.request(now, sent)
	}
	tick := int(now / playTick)
	for _, k := range g.ends[tick] {
		side := k.side
		side.Counts = Counts{}
		g.counts[k.gateway][side] = g.counts[k.gateway][side].Plus(k.side.Counts)
		g.active[index(side.Canary)][k.gateway]--
	}
	delete(g.ends, tick)
	for i := range playGateways {
		if (now+playReport*time.Duration(i)/playGateways)%playReport < playTick {
			g.report(now, i, sent.Permille)
		}
	}
	if now%playDecideEach < playTick && !g.order.State.Final() {
		g.judge(now)
	}
}

// surge is how many times as many requests come as usual: for two seconds in the middle.
func (g *player) surge(now time.Duration) float64 {
	if g.inBurst(now) {
		return g.trouble.burst
	}
	return 1
}

func (g *player) inBurst(now time.Duration) bool {
	begin := time.Duration(float64(g.within) * .4)
	return g.trouble.burst > 0 && now >= begin && now < begin+2*time.Second
}

func index(canary bool) int {
	if canary {
		return 1
	}
	return 0
}

func (g *player) request(now time.Duration, sent catalog.Rollout) {
	g.total++
	canary := sent.State == catalog.RolloutRunning && now >= playAppear && g.draw.Float64()*FullShare < float64(sent.Permille)
	route := playRoutes[pick(g.draw)].name
	fails, slow := g.odds(now, sent, canary, route)
	took := time.Duration((.5 + g.draw.Float64()) * float64(playUsual))
	c := Counts{Sends: 1}
	switch x := g.draw.Float64(); {
	case x < fails:
		c.Failed = 1
	case x < either(fails, slow):
		c.Slow, took = 1, playOverdue
	}
	if canary && now < playWarm {
		c.Slow, c.Cold, took = 0, 1, 2*took
	}
	if canary {
		g.out.exposed++
		if c.Failed+c.Slow > 0 && g.out.bad == 0 && now >= g.flaw.from {
			g.out.bad = now + took
		}
	}
	gateway := g.draw.IntN(playGateways)
	g.active[index(canary)][gateway]++
	end := int((now+took)/playTick) + 1
	g.ends[end] = append(g.ends[end], known{gateway, RouteCounts{Route: route, Canary: canary, Counts: c}})
}

// odds are the chances that a request fails and that it is slow.
func (g *player) odds(now time.Duration, sent catalog.Rollout, canary bool, route string) (fails, slow float64) {
	hit := g.hitOld
	if canary {
		hit = g.hitNew[:canarySize(sent.Permille, g.targets)]
	}
	if hit[g.draw.IntN(len(hit))] {
		fails, slow = g.trouble.fails, g.trouble.slow
	}
	fails = either(fails, g.trouble.garbled)
	if g.inBurst(now) {
		slow = either(slow, 1./3)
	}
	if canary && now >= g.flaw.from && (g.flaw.route == "" || g.flaw.route == route) {
		fails, slow = either(fails, g.flaw.fails), either(slow, g.flaw.slow)
	}
	return fails, slow
}

// either is the chance that at least one of two things happens.
func either(a, b float64) float64 { return 1 - (1-a)*(1-b) }

func (g *player) report(now time.Duration, i, permille int) {
	r := Report{Gateway: string(rune('a' + i)), Permille: permille, BaselineActive: g.active[0][i], CanaryActive: g.active[1][i]}
	for side, c := range g.counts[i] {
		side.Counts = c
		r.Counts = append(r.Counts, side)
	}
	g.ledger.Add(start.Add(now), r)
}

func (g *player) judge(now time.Duration) {
	s := State{
		Order: g.order, Limits: Limits{Share: .1, Slack: 50, RollBackWithin: 5 * time.Second},
		Age: now, StageAge: now - g.stage, OnTrial: true, Baseline: g.targets,
		Evidence: g.ledger.Evidence(start.Add(now)),
	}
	if now >= playAppear {
		s.Canary = g.targets
	}
	if now >= playWarm {
		s.Warm = g.targets
	}
	ids := make([]string, playGateways)
	for i := range ids {
		ids[i] = string(rune('a' + i))
	}
	s.Behind = g.ledger.Behind(start.Add(now), g.order.Permille, ids)
	s.BaselineActive = g.ledger.BaselineActive(ids)
	d := g.decide(s)
	switch d.Action {
	case Wait:
		return
	case Advance:
		g.order.State, g.order.Permille = catalog.RolloutRunning, d.Permille
	case Complete:
		g.order.State = catalog.RolloutCompleted
		g.out.cut = g.active[0][0]
		for _, n := range g.active[0][1:] {
			g.out.cut += n
		}
	case RollBack:
		g.order.State = catalog.RolloutRolledBack
	}
	g.stage = now
	g.out.end, g.out.at = d, now
}

func pick(draw *rand.Rand) int {
	x := draw.Float64()
	for i, r := range playRoutes {
		if x -= r.part; x < 0 {
			return i
		}
	}
	return 0
}

// poisson draws how many events there are where mean are usual.
func poisson(draw *rand.Rand, mean float64) int {
	n, left := 0, math.Exp(-mean)
	for p := draw.Float64(); p > left; p *= draw.Float64() {
		n++
	}
	return n
}

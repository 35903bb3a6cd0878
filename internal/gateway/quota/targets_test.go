package quota_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	corequota "github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
)

// The users' requirement for a target that advertises a limit: from limitSettling after it
// first did, no limitWindow contains more requests than limitFactor times what the limit
// allows, plus limitSlack. If probes don't contain the limit, a gateway's requests count only
// from limitGrace after it was informed of the limit. Gateways have the same time to apply a
// lower limit.
const (
	limitSettling = 3 * time.Second
	limitWindow   = 4 * time.Second
	limitGrace    = 500 * time.Millisecond
	limitFactor   = 1.5
	limitSlack    = 5.0
)

// limitedTarget is a target that advertises limits, and the requests that it received.
type limitedTarget struct {
	fleet *fleet
	life  catalog.Life
	// admits reports whether a gateway sends the target a request.
	admits func(ctx context.Context, limiter *quota.Limiter) bool
	// inProbes is set if its answers to probes contain the limit as well.
	inProbes bool
	started  time.Time

	mu       sync.Mutex
	limits   []timedLimit
	counted  []time.Time // those to which the requirement applies
	arrivals []time.Time
	skipped  []time.Time // requests that went to other targets
	// informedAt is when each process first received an answer with a limit.
	informedAt map[*quota.Limiter]time.Time
	// uninformed counts the requests of processes that were not informed yet.
	uninformed int
}

// timedLimit is a limit and when it begins; 0 for none.
type timedLimit struct {
	at   time.Time
	rate float64
}

func newLimitedTarget(f *fleet, rate float64, inProbes bool) *limitedTarget {
	life := catalog.Life{ID: "target-1", Born: 1}
	admits := func(ctx context.Context, limiter *quota.Limiter) bool {
		_, ok := limiter.AdmitTarget(ctx, life)
		return ok
	}
	target := &limitedTarget{fleet: f, admits: admits, life: life, inProbes: inProbes, started: time.Now(), informedAt: map[*quota.Limiter]time.Time{}}
	target.setLimit(rate)
	return target
}

// setLimit makes the target advertise another limit from now on; 0 for none.
func (target *limitedTarget) setLimit(rate float64) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.limits = append(target.limits, timedLimit{at: time.Now(), rate: rate})
}

// header returns the values of the header in which it advertises its limit now.
func (target *limitedTarget) header() []string {
	target.mu.Lock()
	defer target.mu.Unlock()
	rate := target.limits[len(target.limits)-1].rate
	if rate == 0 {
		return nil
	}
	return []string{strconv.FormatFloat(rate, 'f', -1, 64)}
}

// offerRequest makes one request at a gateway for which this would be the best target: the
// gateway probes it, and sends it the request if there is credit.
func (target *limitedTarget) offerRequest(ctx context.Context, limiter *quota.Limiter) {
	if limiter.TargetPauses()[target.life] > 0 {
		target.recordSkip()
		return
	}
	time.Sleep(target.fleet.delay())
	if target.inProbes {
		limiter.ObserveLimit(target.life, corequota.SourceProbe, target.header())
	} else {
		limiter.ObserveLimit(target.life, corequota.SourceProbe, nil)
	}
	if !target.admits(ctx, limiter) {
		target.recordSkip()
		return
	}
	time.Sleep(target.fleet.delay())
	target.recordArrival(limiter)
	answer := target.header()
	time.Sleep(20 * time.Millisecond)
	target.recordAnswer(limiter, answer)
	limiter.ObserveLimit(target.life, corequota.SourceAnswer, answer)
}

func (target *limitedTarget) recordSkip() {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.skipped = append(target.skipped, time.Now())
}

// recordArrival records a request. If probes don't contain the limit, the requirement does not
// apply to requests of processes that were not informed yet.
func (target *limitedTarget) recordArrival(limiter *quota.Limiter) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.arrivals = append(target.arrivals, time.Now())
	informedAt, ok := target.informedAt[limiter]
	if !target.inProbes && (!ok || time.Since(informedAt) < limitGrace) {
		target.uninformed++
		return
	}
	target.counted = append(target.counted, time.Now())
}

func (target *limitedTarget) recordAnswer(limiter *quota.Limiter, limit []string) {
	target.mu.Lock()
	defer target.mu.Unlock()
	if _, ok := target.informedAt[limiter]; !ok && limit != nil {
		target.informedAt[limiter] = time.Now()
	}
}

// offerLoad makes callers offer the target that many requests per second for a while.
func (target *limitedTarget) offerLoad(rate float64, duration time.Duration) {
	var wg sync.WaitGroup
	until := time.Now().Add(duration)
	for {
		time.Sleep(time.Duration(-math.Log(1-target.fleet.float()) / rate * float64(time.Second)))
		if !time.Now().Before(until) {
			break
		}
		if limiter := target.fleet.pickLimiter(); limiter != nil {
			wg.Go(func() { target.offerRequest(target.fleet.t.Context(), limiter) })
		}
	}
	wg.Wait()
}

// limitAt returns the limit that applies to a request at a given time; infinite if there is
// none, or none that must be respected yet.
func (target *limitedTarget) limitAt(at time.Time) float64 {
	if at.Sub(target.started) < limitSettling {
		return math.Inf(1)
	}
	rate := math.Inf(1)
	for _, l := range target.limits {
		advertised := l.rate
		if advertised == 0 {
			advertised = math.Inf(1)
		}
		if advertised < rate && at.Sub(l.at) < limitGrace || l.at.After(at) {
			break
		}
		rate = advertised
	}
	return rate
}

// allowed returns how many requests the limits allow between two times.
func (target *limitedTarget) allowed(from, to time.Time) (sum float64) {
	const step = 50 * time.Millisecond
	for at := from; at.Before(to); at = at.Add(step) {
		sum += target.limitAt(at) * min(step, to.Sub(at)).Seconds()
	}
	return sum
}

// marginUsed returns the largest share of the allowed excess over the limit that any window
// used.
func (target *limitedTarget) marginUsed() float64 {
	largest, first := math.Inf(-1), 0
	for last, at := range target.counted {
		for at.Sub(target.counted[first]) >= limitWindow {
			first++
		}
		allowed := target.allowed(at.Add(-limitWindow), at)
		if math.IsInf(allowed, 1) {
			continue
		}
		margin := (limitFactor-1)*allowed + limitSlack
		largest = max(largest, (float64(last-first+1)-allowed)/margin)
	}
	return largest
}

// received returns how many requests the target received between two times.
func (target *limitedTarget) received(from, to time.Time) int {
	return countWithin(target.arrivals, from, to)
}

// countWithin counts the times in the interval that begins with from and ends before to.
func countWithin(moments []time.Time, from, to time.Time) (count int) {
	for _, at := range moments {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// offeredRate is how many requests per second are offered to a target with a limit.
const offeredRate = 40.0

// rates are limits from one request in five seconds to half of the offered rate.
var rates = []float64{0.2, 1, 2.8, 8, 20}

// forEachLimit runs a scenario with a fleet in which only a target has a limit, for each rate,
// with and without the limit in answers to probes.
func forEachLimit(t *testing.T, name string, scenario func(target *limitedTarget, rate float64), check func(g *WithT, target *limitedTarget, rate float64)) {
	for _, rate := range rates {
		for _, inProbes := range []bool{true, false} {
			for seed := range seeds() {
				t.Run(fmt.Sprintf("%s/%g/probes %v/%d", name, rate, inProbes, seed), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					var target *limitedTarget
					inVirtualTime(t, uint64(seed), size(), func(f *fleet) {
						f.limits.Store(false)
						time.Sleep(35 * time.Second) // recorded fleet sizes have expired by then
						ctx, stop := context.WithCancel(f.t.Context())
						defer stop()
						go f.exchangePeriodically(ctx)
						target = newLimitedTarget(f, rate, inProbes)
						scenario(target, rate)
					})
					t.Logf("%.2f of the margin used, %d received, %d from uninformed gateways, %d skipped", target.marginUsed(), len(target.counted), target.uninformed, len(target.skipped))
					check(g, target, rate)
				})
			}
		}
	}
}

// The goal is to use at most half of the allowed excess.
func expectWithinLimit(g *WithT, target *limitedTarget, _ float64) {
	g.Expect(target.marginUsed()).To(BeNumerically("<=", 0.5))
}

func TestTargetLimitIsEnforcedAndUsed(t *testing.T) {
	const duration = 20 * time.Second
	forEachLimit(t, "steady load", func(target *limitedTarget, _ float64) { target.offerLoad(offeredRate, duration) }, func(g *WithT, target *limitedTarget, rate float64) {
		expectWithinLimit(g, target, rate)
		from := target.started.Add(limitSettling)
		g.Expect(target.received(from, target.started.Add(duration))).To(BeNumerically(">=", 0.9*rate*(duration-limitSettling).Seconds()-1))
	})
}

func TestTargetLimitIsEnforcedDuringFaults(t *testing.T) {
	for name, fault := range faults {
		forEachLimit(t, name, func(target *limitedTarget, _ float64) {
			var wg sync.WaitGroup
			wg.Go(func() { target.offerLoad(offeredRate, 14*time.Second) })
			time.Sleep(time.Duration(3+2*target.fleet.float()) * time.Second)
			fault(target.fleet)
			wg.Wait()
		}, expectWithinLimit)
	}
}

func TestChangedTargetLimitIsEnforced(t *testing.T) {
	forEachLimit(t, "limit changed", func(target *limitedTarget, rate float64) {
		var wg sync.WaitGroup
		wg.Go(func() { target.offerLoad(offeredRate, 20*time.Second) })
		time.Sleep(5 * time.Second)
		target.setLimit(rate / 2)
		time.Sleep(5 * time.Second)
		target.setLimit(rate * 2)
		time.Sleep(5 * time.Second)
		target.setLimit(rate / 4)
		wg.Wait()
	}, expectWithinLimit)
}

// One second after a target stops advertising a limit it receives all that is offered. If only
// its answers to requests show that, the second begins with the next answer.
func TestLiftedTargetLimitIsDropped(t *testing.T) {
	var liftedAt sync.Map
	forEachLimit(t, "limit lifted", func(target *limitedTarget, _ float64) {
		var wg sync.WaitGroup
		wg.Go(func() { target.offerLoad(offeredRate, 20*time.Second) })
		time.Sleep(5 * time.Second)
		target.setLimit(0)
		liftedAt.Store(target, time.Now())
		wg.Wait()
	}, func(g *WithT, target *limitedTarget, rate float64) {
		expectWithinLimit(g, target, rate)
		lifted, _ := liftedAt.Load(target)
		from := lifted.(time.Time).Add(time.Second)
		if !target.inProbes {
			next := time.Duration(math.Inf(1))
			for _, at := range target.counted { // others have no limit to lift
				if wait := at.Sub(lifted.(time.Time)); wait > 0 {
					next = wait
					break
				}
			}
			from = from.Add(next)
		}
		until := from.Add(2 * time.Second)
		g.Expect(target.received(from, until)).To(BeNumerically(">", 0))
		g.Expect(countWithin(target.skipped, from, until)).To(BeZero())
	})
}

// Gateways deadlocked: a background task asked discovery for the fleet size while it held the
// limiter's lock, and discovery asked the limiter for its limits while it held the lock that
// the size is read under.
func TestLimiterCallsNoOptionsWhileLocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limiter *quota.Limiter
		self := member.Box{ID: "gateway-1", Peer: "10.0.0.1:1"}
		lockLimiter := func() { limiter.SharingLeft() }
		limiter = quota.New(quota.Options{
			Self: self, HasLimits: func() bool { lockLimiter(); return true }, FleetSize: func() int { lockLimiter(); return 1 },
			Homes: func(int) []member.Box { lockLimiter(); return []member.Box{self} },
		})
		ctx, stop := context.WithCancel(t.Context())
		for _, task := range limiter.Tasks() {
			go func() { _ = task(ctx) }()
		}
		life := catalog.Life{ID: "target-1"}
		time.Sleep(time.Second)
		limiter.ObserveLimit(life, corequota.SourceProbe, []string{"3"})
		limiter.AdmitTarget(ctx, life)
		stop()
		synctest.Wait()
	})
}

// The state of a target that is no longer used expires: the target is gone, or advertises
// again.
func TestUnusedTargetExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		self := member.Box{ID: "gateway-1", Peer: "10.0.0.1:1"}
		limiter := quota.New(quota.Options{
			Self: self, HasLimits: func() bool { return false }, FleetSize: func() int { return 1 },
			Homes: func(int) []member.Box { return []member.Box{self} },
		})
		ctx, stop := context.WithCancel(t.Context())
		for _, task := range limiter.Tasks() {
			go func() { _ = task(ctx) }()
		}
		life := catalog.Life{ID: "target-1"}
		limiter.ObserveLimit(life, corequota.SourceProbe, []string{"3"})
		time.Sleep(9 * time.Minute)
		g.Expect(limiter.TargetRate(life)).To(Equal(3.0))
		g.Expect(limiter.SharingLeft()).To(BeZero())
		time.Sleep(2 * time.Minute)
		g.Expect(limiter.TargetRate(life)).To(BeZero())
		stop()
		synctest.Wait()
	})
}

// If a service reports no load, its targets are not probed and only requests reveal a limit.
// After an idle period, the first request must bring back the links to the homes.
func TestTargetIsAdmittedAgainAfterIdlePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		self, other := member.Box{ID: "gateway-1", Peer: "10.0.0.1:1"}, member.Box{ID: "gateway-2", Peer: "10.0.0.2:1"}
		limiter := quota.New(quota.Options{
			Self: self, HasLimits: func() bool { return false }, FleetSize: func() int { return 2 },
			Homes: func(int) []member.Box { return []member.Box{self, other} },
			Dial:  func(context.Context, string, string) (net.Conn, error) { return nil, errRefused },
		})
		ctx, stop := context.WithCancel(t.Context())
		for _, task := range limiter.Tasks() {
			go func() { _ = task(ctx) }()
		}
		life := catalog.Life{ID: "target-1"}
		time.Sleep(time.Second)
		limiter.ObserveLimit(life, corequota.SourceAnswer, []string{"3"})
		time.Sleep(2 * time.Minute)
		admitted := false
		for range 50 {
			_, ok := limiter.AdmitTarget(ctx, life)
			admitted = admitted || ok
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(admitted).To(BeTrue())
		stop()
		synctest.Wait()
	})
}

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

// The users' rule of a target that names a limit: from limitSettles after it first did, in any
// limitWindow no more than limitFactor times what the limit allows, and limitExtra. Those
// count that were told limitTold before, which is also how long they have to go by a lower one.
const (
	limitSettles = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitTold    = 500 * time.Millisecond
	limitFactor  = 1.5
	limitExtra   = 5.0
)

// inNeed is a target that names limits, and the requests that it got.
type inNeed struct {
	fleet *fleet
	life  catalog.Life
	// admits says whether a gateway sends it a request.
	admits func(ctx context.Context, register *quota.Limiter) bool
	// inProbes says that its answers to probes name the limit as well.
	inProbes bool
	first    time.Time

	mu       sync.Mutex
	limits   []limitFrom
	arrivals []time.Time // of those that count
	all      []time.Time
	passed   []time.Time // requests that went elsewhere
	// told is when each process first got an answer that names a limit.
	advertised map[*quota.Limiter]time.Time
	// untold counts the requests of those that were not told yet.
	untold int
}

// limitFrom is a limit from a moment on; 0 for none.
type limitFrom struct {
	at   time.Time
	rate float64
}

func newInNeed(f *fleet, rate float64, inProbes bool) *inNeed {
	life := catalog.Life{ID: "target-1", Born: 1}
	admits := func(ctx context.Context, register *quota.Limiter) bool {
		_, ok := register.AdmitTarget(ctx, life)
		return ok
	}
	n := &inNeed{fleet: f, admits: admits, life: life, inProbes: inProbes, first: time.Now(), advertised: map[*quota.Limiter]time.Time{}}
	n.name(rate)
	return n
}

// name has the target name another limit from now on, 0 for none.
func (n *inNeed) name(rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limits = append(n.limits, limitFrom{at: time.Now(), rate: rate})
}

// header holds the values by which it names its limit now.
func (n *inNeed) header() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	rate := n.limits[len(n.limits)-1].rate
	if rate == 0 {
		return nil
	}
	return []string{strconv.FormatFloat(rate, 'f', -1, 64)}
}

// offer makes one request at a gateway for which it would be the best target: it is probed,
// and gets the request unless there is no credit for it.
func (n *inNeed) offer(ctx context.Context, register *quota.Limiter) {
	if register.TargetPauses()[n.life] > 0 {
		n.pass()
		return
	}
	time.Sleep(n.fleet.delay())
	if n.inProbes {
		register.ObserveLimit(n.life, corequota.SourceProbe, n.header())
	} else {
		register.ObserveLimit(n.life, corequota.SourceProbe, nil)
	}
	if !n.admits(ctx, register) {
		n.pass()
		return
	}
	time.Sleep(n.fleet.delay())
	n.arrived(register)
	answer := n.header()
	time.Sleep(20 * time.Millisecond)
	n.answered(register, answer)
	register.ObserveLimit(n.life, corequota.SourceAnswer, answer)
}

func (n *inNeed) pass() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.passed = append(n.passed, time.Now())
}

// arrived notes a request. Where probes don't tell the limit, those of processes that were not
// told yet are none of the rule.
func (n *inNeed) arrived(register *quota.Limiter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all = append(n.all, time.Now())
	advertised, ok := n.advertised[register]
	if !n.inProbes && (!ok || time.Since(advertised) < limitTold) {
		n.untold++
		return
	}
	n.arrivals = append(n.arrivals, time.Now())
}

func (n *inNeed) answered(register *quota.Limiter, limit []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.advertised[register]; !ok && limit != nil {
		n.advertised[register] = time.Now()
	}
}

// load has callers offer it so many requests a second for a while.
func (n *inNeed) load(rate float64, during time.Duration) {
	var under sync.WaitGroup
	until := time.Now().Add(during)
	for {
		time.Sleep(time.Duration(-math.Log(1-n.fleet.float()) / rate * float64(time.Second)))
		if !time.Now().Before(until) {
			break
		}
		if register := n.fleet.draw(); register != nil {
			under.Go(func() { n.offer(n.fleet.t.Context(), register) })
		}
	}
	under.Wait()
}

// limitAt is the limit by which requests are judged at a moment; infinite where there is none,
// or none that must hold yet.
func (n *inNeed) limitAt(at time.Time) float64 {
	if at.Sub(n.first) < limitSettles {
		return math.Inf(1)
	}
	rate := math.Inf(1)
	for _, l := range n.limits {
		named := l.rate
		if named == 0 {
			named = math.Inf(1)
		}
		if named < rate && at.Sub(l.at) < limitTold || l.at.After(at) {
			break
		}
		rate = named
	}
	return rate
}

// allowed is what the limits allow between two moments.
func (n *inNeed) allowed(from, to time.Time) (sum float64) {
	const step = 50 * time.Millisecond
	for at := from; at.Before(to); at = at.Add(step) {
		sum += n.limitAt(at) * min(step, to.Sub(at)).Seconds()
	}
	return sum
}

// spent is the largest part of what the rule leaves beyond the limit that any window took.
func (n *inNeed) spent() float64 {
	worst, first := math.Inf(-1), 0
	for last, at := range n.arrivals {
		for at.Sub(n.arrivals[first]) >= limitWindow {
			first++
		}
		allowed := n.allowed(at.Add(-limitWindow), at)
		if math.IsInf(allowed, 1) {
			continue
		}
		left := (limitFactor-1)*allowed + limitExtra
		worst = max(worst, (float64(last-first+1)-allowed)/left)
	}
	return worst
}

// got is how many requests it got between two moments.
func (n *inNeed) got(from, to time.Time) int { return within(n.all, from, to) }

// within counts the moments from one to another.
func within(moments []time.Time, from, to time.Time) (count int) {
	for _, at := range moments {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// offered is how many requests a second are offered to a target in need.
const offered = 40.0

// rates are limits from a request in five seconds to half of what is offered.
var rates = []float64{0.2, 1, 2.8, 8, 20}

// eachLimit plays a fleet in which only a target names a limit, for each rate, with and
// without the limit in answers to probes.
func eachLimit(t *testing.T, name string, play func(n *inNeed, rate float64), check func(g *WithT, n *inNeed, rate float64)) {
	for _, rate := range rates {
		for _, inProbes := range []bool{true, false} {
			for seed := range seeds() {
				t.Run(fmt.Sprintf("%s/%g/probes %v/%d", name, rate, inProbes, seed), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					var n *inNeed
					inVirtualTime(t, uint64(seed), size(), func(f *fleet) {
						f.limits.Store(false)
						time.Sleep(35 * time.Second) // what was told of the fleet has lapsed by then
						ctx, stop := context.WithCancel(f.t.Context())
						defer stop()
						go f.spread(ctx)
						n = newInNeed(f, rate, inProbes)
						play(n, rate)
					})
					t.Logf("%.2f of what is left, %d got, %d of gateways that were not told, %d passed", n.spent(), len(n.arrivals), n.untold, len(n.passed))
					check(g, n, rate)
				})
			}
		}
	}
}

// The goal is half of what the rule leaves.
func holds(g *WithT, n *inNeed, _ float64) { g.Expect(n.spent()).To(BeNumerically("<=", 0.5)) }

func TestATargetInNeedGetsWhatItsLimitAllowsAndNoMore(t *testing.T) {
	const calm = 20 * time.Second
	eachLimit(t, "calm", func(n *inNeed, _ float64) { n.load(offered, calm) }, func(g *WithT, n *inNeed, rate float64) {
		holds(g, n, rate)
		from := n.first.Add(limitSettles)
		g.Expect(n.got(from, n.first.Add(calm))).To(BeNumerically(">=", 0.9*rate*(calm-limitSettles).Seconds()-1))
	})
}

func TestALimitHoldsWhateverHappens(t *testing.T) {
	for name, trouble := range troubles {
		eachLimit(t, name, func(n *inNeed, _ float64) {
			var under sync.WaitGroup
			under.Go(func() { n.load(offered, 14*time.Second) })
			time.Sleep(time.Duration(3+2*n.fleet.float()) * time.Second)
			trouble(n.fleet)
			under.Wait()
		}, holds)
	}
}

func TestALimitThatIsLoweredAndRaisedHolds(t *testing.T) {
	eachLimit(t, "moved", func(n *inNeed, rate float64) {
		var under sync.WaitGroup
		under.Go(func() { n.load(offered, 20*time.Second) })
		time.Sleep(5 * time.Second)
		n.name(rate / 2)
		time.Sleep(5 * time.Second)
		n.name(rate * 2)
		time.Sleep(5 * time.Second)
		n.name(rate / 4)
		under.Wait()
	}, holds)
}

// A second after a target stops naming a limit it gets all that is offered, also where only
// its answers to requests tell so: as soon as the next of them could.
func TestALimitIsDroppedOnceItIsNotNamedAnyMore(t *testing.T) {
	var lifted sync.Map
	eachLimit(t, "lifted", func(n *inNeed, _ float64) {
		var under sync.WaitGroup
		under.Go(func() { n.load(offered, 20*time.Second) })
		time.Sleep(5 * time.Second)
		n.name(0)
		lifted.Store(n, time.Now())
		under.Wait()
	}, func(g *WithT, n *inNeed, rate float64) {
		holds(g, n, rate)
		stopped, _ := lifted.Load(n)
		from := stopped.(time.Time).Add(time.Second)
		if !n.inProbes {
			next := time.Duration(math.Inf(1))
			for _, at := range n.arrivals { // others have no limit to drop
				if wait := at.Sub(stopped.(time.Time)); wait > 0 {
					next = wait
					break
				}
			}
			from = from.Add(next)
		}
		until := from.Add(2 * time.Second)
		g.Expect(n.got(from, until)).To(BeNumerically(">", 0))
		g.Expect(within(n.passed, from, until)).To(BeZero())
	})
}

// Gateways hung: one duty asked discovery for the fleet's size while it held the register,
// and discovery asked the register for its limits while it held what the answer is read from.
func TestTheRegisterCallsNobodyWhileItIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var register *quota.Limiter
		self := member.Box{ID: "gateway-1", Peer: "10.0.0.1:1"}
		asks := func() { register.SharingLeft() }
		register = quota.New(quota.Options{
			Self: self, HasLimits: func() bool { asks(); return true }, FleetSize: func() int { asks(); return 1 },
			Homes: func(int) []member.Box { asks(); return []member.Box{self} },
		})
		ctx, stop := context.WithCancel(t.Context())
		for _, duty := range register.Duties() {
			go func() { _ = duty(ctx) }()
		}
		life := catalog.Life{ID: "target-1"}
		time.Sleep(time.Second)
		register.ObserveLimit(life, corequota.SourceProbe, []string{"3"})
		register.AdmitTarget(ctx, life)
		stop()
		synctest.Wait()
	})
}

// What is known of a target that nobody meets any more lapses: it is gone, or tells again.
func TestATargetThatNobodyMeetsIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		self := member.Box{ID: "gateway-1", Peer: "10.0.0.1:1"}
		register := quota.New(quota.Options{
			Self: self, HasLimits: func() bool { return false }, FleetSize: func() int { return 1 },
			Homes: func(int) []member.Box { return []member.Box{self} },
		})
		ctx, stop := context.WithCancel(t.Context())
		for _, duty := range register.Duties() {
			go func() { _ = duty(ctx) }()
		}
		life := catalog.Life{ID: "target-1"}
		register.ObserveLimit(life, corequota.SourceProbe, []string{"3"})
		time.Sleep(9 * time.Minute)
		g.Expect(register.TargetRate(life)).To(Equal(3.0))
		g.Expect(register.SharingLeft()).To(BeZero())
		time.Sleep(2 * time.Minute)
		g.Expect(register.TargetRate(life)).To(BeZero())
		stop()
		synctest.Wait()
	})
}

// A target whose service reports no load is met by requests alone: after a quiet time the
// first of them has to bring the links to the homes back.
func TestATargetIsAdmittedAgainAfterAQuietTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		self, other := member.Box{ID: "gateway-1", Peer: "10.0.0.1:1"}, member.Box{ID: "gateway-2", Peer: "10.0.0.2:1"}
		register := quota.New(quota.Options{
			Self: self, HasLimits: func() bool { return false }, FleetSize: func() int { return 2 },
			Homes: func(int) []member.Box { return []member.Box{self, other} },
			Dial:  func(context.Context, string, string) (net.Conn, error) { return nil, errRefused },
		})
		ctx, stop := context.WithCancel(t.Context())
		for _, duty := range register.Duties() {
			go func() { _ = duty(ctx) }()
		}
		life := catalog.Life{ID: "target-1"}
		time.Sleep(time.Second)
		register.ObserveLimit(life, corequota.SourceAnswer, []string{"3"})
		time.Sleep(2 * time.Minute)
		admitted := false
		for range 50 {
			_, ok := register.AdmitTarget(ctx, life)
			admitted = admitted || ok
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(admitted).To(BeTrue())
		stop()
		synctest.Wait()
	})
}

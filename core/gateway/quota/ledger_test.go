package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

const self = uint32(1)

var began = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// at is a moment of a test, in seconds from the beginning of a ledger.
func at(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }

// settled is a ledger to which some gateways say, at second 1, that they take it for the
// only home.
func settled(gateways int) *quota.Ledger {
	l := quota.NewLedger(self, began, 0)
	hearAll(l, 1, 0, gateways)
	return l
}

// hearAll has gateways say at a moment that they are there.
func hearAll(l *quota.Ledger, seconds float64, from, to int) {
	for i := from; i < to; i++ {
		l.Observe(at(seconds), quota.Heartbeat{From: uint32(100 + i), Homes: []uint32{self}, Counts: true})
	}
}

func take(l *quota.Ledger, seconds float64, count int) quota.Grant {
	g, ok := l.Grant(at(seconds), quota.CreditRequest{Workspace: "harbour", Limit: quota.Limit{Rate: 100, Burst: 40}, Version: 7, Count: count})
	if !ok {
		panic("the fleet is not known")
	}
	return g
}

func TestNothingIsGivenBeforeTheFleetIsKnown(t *testing.T) {
	g := NewWithT(t)
	l := quota.NewLedger(self, began, 0)
	hearAll(l, 0.1, 0, 1)
	_, ok := l.Grant(at(0.1), quota.CreditRequest{Workspace: "harbour", Limit: quota.Limit{Rate: 100}, Count: 1})
	g.Expect(ok).To(BeFalse())
	// Another gateway knows it: one in ten has this one for a home.
	l.Observe(at(0.2), quota.Heartbeat{From: 101, Homes: []uint32{self}, Counts: true, Fleet: quota.Fleet{Size: 20}})
	g.Expect(take(l, 0.2, 100).Count).To(Equal(1)) // 2 in 20 of a tenth of the burst, and of what .1 s earned
	g.Expect(take(l, 1.2, 100).Count).To(Equal(4)) // and of the burst; 10 were earned
	// Update of a fleet that is too old says nothing.
	l = quota.NewLedger(self, began, 0)
	l.Observe(at(0.2), quota.Heartbeat{From: 101, Homes: []uint32{self}, Counts: true, Fleet: quota.Fleet{Size: 20, Age: time.Minute}})
	g.Expect(l.Fleet(at(0.2)).Size).To(BeZero())
}

func TestCreditIsTheBurstAndWhatIsEarned(t *testing.T) {
	g := NewWithT(t)
	l := settled(4)
	g.Expect(take(l, 1, 100).Count).To(Equal(4)) // a tenth of the burst: it may have been used elsewhere
	for i := range 10 {                          // it is asked all the time
		take(l, 1+0.1*float64(i), 0)
	}
	g.Expect(take(l, 1.95, 100).Count).To(Equal(40))
	none := take(l, 1.95, 1)
	g.Expect(none.Count).To(BeZero())
	g.Expect(none.Permille).To(Equal(1000))
	g.Expect(none.Pause).To(BeNumerically("~", 15*time.Millisecond, time.Millisecond)) // behind the one before
	g.Expect(take(l, 2.15, 100).Count).To(BeNumerically("~", 20, 1))
}

func TestOnlyThePartOfThoseThatTurnHereIsGivenOut(t *testing.T) {
	g := NewWithT(t)
	l := settled(10)
	hearAll(l, 2, 0, 4) // six were cut off, and have another home now
	for i := range 7 {
		l.Tick(at(2.7 + 0.1*float64(i)))
	}
	hearAll(l, 3.4, 0, 4)
	take(l, 3.5, 1000)
	g.Expect(take(l, 3.8, 1000).Count).To(BeNumerically("~", 12, 1)) // 0.3 s, four in ten
	// The six are not forgotten as long as they may still be there.
	for s := 4.0; s < 40; s++ {
		hearAll(l, s, 0, 4)
		l.Tick(at(s))
	}
	take(l, 40, 1000)
	g.Expect(take(l, 40.3, 1000).Count).To(BeNumerically("~", 30, 1))
}

func TestGatewaysThatDisagreeOnTheHomesHaveTheirOwnParts(t *testing.T) {
	g := NewWithT(t)
	l := settled(6)
	for i := range 3 { // they name another home beside this one, which ranks first for some
		l.Observe(at(1), quota.Heartbeat{From: uint32(100 + i), Homes: []uint32{self, 2}, Counts: true})
	}
	here, elsewhere := 0, 0
	for i := range 40 {
		w := quota.CreditRequest{Workspace: fmt.Sprint("workspace-", i), Limit: quota.Limit{Rate: 60, Burst: 60}, Count: 1000}
		l.Grant(at(1), w)
		grant, _ := l.Grant(at(1.5), w)
		if home, _ := quota.Home(w.Subject(), []uint32{self, 2}); home == self {
			g.Expect(grant.Count).To(BeNumerically("~", 30, 1))
			here++
		} else {
			g.Expect(grant.Count).To(BeNumerically("~", 15, 1))
			elsewhere++
		}
	}
	g.Expect(min(here, elsewhere)).To(BeNumerically(">", 5))
}

func TestTheNewestLimitHolds(t *testing.T) {
	g := NewWithT(t)
	l := settled(1)
	want := quota.CreditRequest{Workspace: "harbour", Limit: quota.Limit{Rate: 100, Burst: 100}, Version: 7, Count: 1000}
	l.Grant(at(1), want)
	lowered := want
	lowered.Limit, lowered.Version = quota.Limit{Rate: 10, Burst: 10}, 8
	l.Grant(at(1), lowered)
	grant, _ := l.Grant(at(1.5), want) // of a gateway that is behind
	g.Expect(grant.Count).To(Equal(5))
}

// Those that ask may have been elsewhere meanwhile, unless all were here all the time.
func TestABucketThatNobodyAskedWhileGatewaysWentBeginsAnew(t *testing.T) {
	for name, c := range map[string]struct{ gone, credit int }{"all were here": {0, 40}, "one was gone": {1, 4}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := settled(10)
			take(l, 1, 1000)
			for s := 2.0; s < 9; s++ {
				hearAll(l, s, c.gone, 10)
				l.Tick(at(s))
			}
			hearAll(l, 9, 0, 10)
			g.Expect(take(l, 9, 1000).Count).To(Equal(c.credit))
		})
	}
}

func TestAWorkspaceThatAsksForMuchIsAskedAboutSeldom(t *testing.T) {
	g := NewWithT(t)
	const gateways = 109
	l := settled(gateways)
	next := make([]float64, gateways)
	asks := 0
	for now := 1.0; now < 11; now += 0.001 {
		if int(now*1000)%500 == 0 {
			hearAll(l, now, 0, gateways)
		}
		for i := range next {
			if now < next[i] {
				continue
			}
			asks++
			grant := take(l, now, 10)
			next[i] = now + max(grant.Pause.Seconds(), 0.01)
		}
	}
	g.Expect(asks).To(BeNumerically("<", 4000)) // some 200 a second; each 10 ms they would be 109,000
}

func TestABorrowerHoldsCreditForAMoment(t *testing.T) {
	g := NewWithT(t)
	var b quota.LocalCredit
	g.Expect(b.Use(at(0))).To(Equal(quota.AskHome))
	g.Expect(b.AddGrant(at(0), quota.Grant{Count: 3}, 1)).To(Equal(1))
	g.Expect(b.Use(at(0.1))).To(Equal(quota.Admit))
	b.Return(at(0.2))
	g.Expect(b.Use(at(0.55))).To(Equal(quota.Admit)) // what was given back; the third is over
	g.Expect(b.Use(at(0.55))).To(Equal(quota.AskHome))
	g.Expect(b.AddGrant(at(0.6), quota.Grant{Pause: time.Second}, 2)).To(BeZero())
	for range 5 {
		g.Expect(b.Use(at(1))).To(Equal(quota.Refuse))
	}
	g.Expect(b.PauseLeft(at(1))).To(Equal(600 * time.Millisecond))
	g.Expect(b.Demand(1)).To(Equal(6))
	g.Expect(b.Use(at(1.6))).To(Equal(quota.AskHome))
	g.Expect(b.IsIdle(at(61))).To(BeFalse())
	g.Expect(b.IsIdle(at(62))).To(BeTrue())
}

func TestAnEvenShareOfALargeFleetCounts(t *testing.T) {
	g := NewWithT(t)
	for size, want := range map[int]float64{1: 1, 109: 1, 192: 1, 193: 0.5, 984: 0.125, 2072: 0.0625} {
		counts := 0
		for i := range 20000 {
			if quota.SampleWeight(quota.ID(fmt.Sprint("gateway-", i)), size) > 0 {
				counts++
			}
		}
		g.Expect(float64(counts)/20000).To(BeNumerically("~", want, 0.02), "%d gateways", size)
	}
}

// Gateways that have just started take the fleet for small, so that all of them count; later
// an even share does, and the home may guess otherwise. That is no smaller fleet.
func TestAFleetThatIsFoundToBeLargeGetsItsWholeLimit(t *testing.T) {
	const size = 400
	for name, guess := range map[string]func(i int, seconds float64) int{
		"all at once":       func(int, float64) int { return size },
		"one by one":        func(i int, seconds float64) int { return 20 + 380*min(int(seconds*100)/(i+1), 1) },
		"half of them less": func(i int, _ float64) int { return size / (1 + i%2) / 2 * 2 },
	} {
		for _, home := range []int{20, size, 4 * size} {
			t.Run(fmt.Sprint(name, ", the home takes it for ", home), func(t *testing.T) {
				g := NewWithT(t)
				l := quota.NewLedger(self, began, 0)
				observe := func(seconds float64, guess func(int, float64) int) {
					for i := range size {
						id := quota.ID(fmt.Sprint("gateway-", i))
						stands := quota.SampleWeight(id, guess(i, seconds))
						l.Observe(at(seconds), quota.Heartbeat{From: id, Homes: []uint32{self}, Counts: stands > 0, Stands: stands})
					}
				}
				observe(1, func(int, float64) int { return 20 })
				for s := 2.0; s < 9; s++ {
					l.SetFleetSize(home)
					observe(s, guess)
					l.Tick(at(s))
					take(l, s, 0)
				}
				take(l, 8.1, 1000)
				g.Expect(take(l, 8.4, 1000).Count).To(BeNumerically("~", 30, 3))
			})
		}
	}
}

// Many were denied a moment ago, and few ask any more: these have no turns behind all of them.
func TestTurnsAreNotGivenOutFarAhead(t *testing.T) {
	g := NewWithT(t)
	l := settled(4)
	take(l, 1, 1000)
	for range 10_000 {
		g.Expect(take(l, 1, 1).Pause).To(BeNumerically("<=", 2*time.Second))
	}
	g.Expect(take(l, 3.1, 1000).Pause).To(BeNumerically("<", 50*time.Millisecond))
}

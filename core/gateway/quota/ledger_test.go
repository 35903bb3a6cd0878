package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

const self = uint32(1)

var started = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that many seconds after the ledger started.
func at(seconds float64) time.Time { return started.Add(time.Duration(seconds * float64(time.Second))) }

// ledgerWithMembers returns a ledger that received, at second 1, heartbeats of some gateways
// that use it as their only home.
func ledgerWithMembers(gateways int) *quota.Ledger {
	l := quota.NewLedger(self, started, 0)
	sendHeartbeats(l, 1, 0, gateways)
	return l
}

// sendHeartbeats sends heartbeats of the gateways numbered from up to, but not including, to.
func sendHeartbeats(l *quota.Ledger, seconds float64, from, to int) {
	for i := from; i < to; i++ {
		l.Observe(at(seconds), quota.Heartbeat{From: uint32(100 + i), Homes: []uint32{self}, Counts: true})
	}
}

func requestCredit(l *quota.Ledger, seconds float64, count int) quota.Grant {
	g, ok := l.Grant(at(seconds), quota.CreditRequest{Workspace: "harbour", Limit: quota.Limit{Rate: 100, Burst: 40}, Version: 7, Count: count})
	if !ok {
		panic("the fleet size is not known")
	}
	return g
}

func TestNoCreditIsGrantedBeforeFleetSizeIsKnown(t *testing.T) {
	g := NewWithT(t)
	l := quota.NewLedger(self, started, 0)
	sendHeartbeats(l, 0.1, 0, 1)
	_, ok := l.Grant(at(0.1), quota.CreditRequest{Workspace: "harbour", Limit: quota.Limit{Rate: 100}, Count: 1})
	g.Expect(ok).To(BeFalse())
	// Another gateway knows the size: one gateway in ten uses this one as a home.
	l.Observe(at(0.2), quota.Heartbeat{From: 101, Homes: []uint32{self}, Counts: true, Fleet: quota.Fleet{Size: 20}})
	g.Expect(requestCredit(l, 0.2, 100).Count).To(Equal(1)) // 2 in 20 of a tenth of the burst, and of what 0.1 s earned
	g.Expect(requestCredit(l, 1.2, 100).Count).To(Equal(4)) // capped at 2 in 20 of the burst; 10 were earned
	// A fleet size that is too old is ignored.
	l = quota.NewLedger(self, started, 0)
	l.Observe(at(0.2), quota.Heartbeat{From: 101, Homes: []uint32{self}, Counts: true, Fleet: quota.Fleet{Size: 20, Age: time.Minute}})
	g.Expect(l.Fleet(at(0.2)).Size).To(BeZero())
}

func TestCreditIsBurstPlusEarnedRate(t *testing.T) {
	g := NewWithT(t)
	l := ledgerWithMembers(4)
	g.Expect(requestCredit(l, 1, 100).Count).To(Equal(4)) // a tenth of the burst: the rest may have been used at another home
	for i := range 10 {                                   // asked all the time
		requestCredit(l, 1+0.1*float64(i), 0)
	}
	g.Expect(requestCredit(l, 1.95, 100).Count).To(Equal(40))
	denied := requestCredit(l, 1.95, 1)
	g.Expect(denied.Count).To(BeZero())
	g.Expect(denied.Permille).To(Equal(1000))
	g.Expect(denied.Pause).To(BeNumerically("~", 15*time.Millisecond, time.Millisecond)) // scheduled after the previous credit request
	g.Expect(requestCredit(l, 2.15, 100).Count).To(BeNumerically("~", 20, 1))
}

func TestHomeGrantsOnlyShareOfItsMembers(t *testing.T) {
	g := NewWithT(t)
	l := ledgerWithMembers(10)
	sendHeartbeats(l, 2, 0, 4) // six were partitioned off, and use another home now
	for i := range 7 {
		l.Tick(at(2.7 + 0.1*float64(i)))
	}
	sendHeartbeats(l, 3.4, 0, 4)
	requestCredit(l, 3.5, 1000)
	g.Expect(requestCredit(l, 3.8, 1000).Count).To(BeNumerically("~", 12, 1)) // 0.3 s, four in ten
	// The six count as long as they may still be running elsewhere.
	for s := 4.0; s < 40; s++ {
		sendHeartbeats(l, s, 0, 4)
		l.Tick(at(s))
	}
	requestCredit(l, 40, 1000)
	g.Expect(requestCredit(l, 40.3, 1000).Count).To(BeNumerically("~", 30, 1))
}

func TestGroupsWithDifferentHomesGetSeparateShares(t *testing.T) {
	g := NewWithT(t)
	l := ledgerWithMembers(6)
	for i := range 3 { // these use another home in addition, which ranks first for some workspaces
		l.Observe(at(1), quota.Heartbeat{From: uint32(100 + i), Homes: []uint32{self, 2}, Counts: true})
	}
	here, elsewhere := 0, 0
	for i := range 40 {
		request := quota.CreditRequest{Workspace: fmt.Sprint("workspace-", i), Limit: quota.Limit{Rate: 60, Burst: 60}, Count: 1000}
		l.Grant(at(1), request)
		grant, _ := l.Grant(at(1.5), request)
		if home, _ := quota.Home(request.Subject(), []uint32{self, 2}); home == self {
			g.Expect(grant.Count).To(BeNumerically("~", 30, 1))
			here++
		} else {
			g.Expect(grant.Count).To(BeNumerically("~", 15, 1))
			elsewhere++
		}
	}
	g.Expect(min(here, elsewhere)).To(BeNumerically(">", 5))
}

func TestNewestWorkspaceLimitApplies(t *testing.T) {
	g := NewWithT(t)
	l := ledgerWithMembers(1)
	request := quota.CreditRequest{Workspace: "harbour", Limit: quota.Limit{Rate: 100, Burst: 100}, Version: 7, Count: 1000}
	l.Grant(at(1), request)
	lowered := request
	lowered.Limit, lowered.Version = quota.Limit{Rate: 10, Burst: 10}, 8
	l.Grant(at(1), lowered)
	grant, _ := l.Grant(at(1.5), request) // from a gateway with an older configuration
	g.Expect(grant.Count).To(Equal(5))
}

// The subject may have used another home meanwhile, unless all members stayed.
func TestUnusedBucketIsResetAfterMembershipChange(t *testing.T) {
	for name, c := range map[string]struct{ left, credit int }{"all members stayed": {0, 40}, "one member left": {1, 4}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := ledgerWithMembers(10)
			requestCredit(l, 1, 1000)
			for s := 2.0; s < 9; s++ {
				sendHeartbeats(l, s, c.left, 10)
				l.Tick(at(s))
			}
			sendHeartbeats(l, 9, 0, 10)
			g.Expect(requestCredit(l, 9, 1000).Count).To(Equal(c.credit))
		})
	}
}

func TestOverloadedWorkspaceBoundsCreditRequestRate(t *testing.T) {
	g := NewWithT(t)
	const gateways = 109
	l := ledgerWithMembers(gateways)
	nextAsk := make([]float64, gateways)
	asks := 0
	for now := 1.0; now < 11; now += 0.001 {
		if int(now*1000)%500 == 0 {
			sendHeartbeats(l, now, 0, gateways)
		}
		for i := range nextAsk {
			if now < nextAsk[i] {
				continue
			}
			asks++
			grant := requestCredit(l, now, 10)
			nextAsk[i] = now + max(grant.Pause.Seconds(), 0.01)
		}
	}
	g.Expect(asks).To(BeNumerically("<", 4000)) // about 200 a second; with one every 10 ms per gateway there would be 109,000
}

func TestLocalCreditExpires(t *testing.T) {
	g := NewWithT(t)
	var credit quota.LocalCredit
	g.Expect(credit.Use(at(0))).To(Equal(quota.AskHome))
	g.Expect(credit.AddGrant(at(0), quota.Grant{Count: 3}, 1)).To(Equal(1))
	g.Expect(credit.Use(at(0.1))).To(Equal(quota.Admit))
	credit.Return(at(0.2))
	g.Expect(credit.Use(at(0.55))).To(Equal(quota.Admit)) // the returned credit; that of the third request has expired
	g.Expect(credit.Use(at(0.55))).To(Equal(quota.AskHome))
	g.Expect(credit.AddGrant(at(0.6), quota.Grant{Pause: time.Second}, 2)).To(BeZero())
	for range 5 {
		g.Expect(credit.Use(at(1))).To(Equal(quota.Refuse))
	}
	g.Expect(credit.PauseLeft(at(1))).To(Equal(600 * time.Millisecond))
	g.Expect(credit.Demand(1)).To(Equal(6))
	g.Expect(credit.Use(at(1.6))).To(Equal(quota.AskHome))
	g.Expect(credit.IsIdle(at(61))).To(BeFalse())
	g.Expect(credit.IsIdle(at(62))).To(BeTrue())
}

func TestSampleWeightSelectsEvenShareOfLargeFleet(t *testing.T) {
	g := NewWithT(t)
	for size, want := range map[int]float64{1: 1, 109: 1, 192: 1, 193: 0.5, 984: 0.125, 2072: 0.0625} {
		sampled := 0
		for i := range 20000 {
			if quota.SampleWeight(quota.ID(fmt.Sprint("gateway-", i)), size) > 0 {
				sampled++
			}
		}
		g.Expect(float64(sampled)/20000).To(BeNumerically("~", want, 0.02), "%d gateways", size)
	}
}

// Gateways that have just started assume a small fleet, so all of them are sampled. Later an
// even share is, and the home may estimate the size differently. The change of sampling must
// not look like a smaller fleet.
func TestFleetGetsWholeLimitWhenSamplingBegins(t *testing.T) {
	const size = 400
	for name, estimate := range map[string]func(i int, seconds float64) int{
		"all learn the size at once":          func(int, float64) int { return size },
		"one learns the size after the other": func(i int, seconds float64) int { return 20 + 380*min(int(seconds*100)/(i+1), 1) },
		"half estimate a smaller size":        func(i int, _ float64) int { return size / (1 + i%2) / 2 * 2 },
	} {
		for _, home := range []int{20, size, 4 * size} {
			t.Run(fmt.Sprint(name, ", home estimates ", home), func(t *testing.T) {
				g := NewWithT(t)
				l := quota.NewLedger(self, started, 0)
				heartbeat := func(seconds float64, estimate func(int, float64) int) {
					for i := range size {
						id := quota.ID(fmt.Sprint("gateway-", i))
						weight := quota.SampleWeight(id, estimate(i, seconds))
						l.Observe(at(seconds), quota.Heartbeat{From: id, Homes: []uint32{self}, Counts: weight > 0, Stands: weight})
					}
				}
				heartbeat(1, func(int, float64) int { return 20 })
				for s := 2.0; s < 9; s++ {
					l.SetFleetSize(home)
					heartbeat(s, estimate)
					l.Tick(at(s))
					requestCredit(l, s, 0)
				}
				requestCredit(l, 8.1, 1000)
				g.Expect(requestCredit(l, 8.4, 1000).Count).To(BeNumerically("~", 30, 3))
			})
		}
	}
}

// After many denials, the few gateways that still ask must not wait for the times reserved for
// all others.
func TestPauseIsBoundedAfterManyDenials(t *testing.T) {
	g := NewWithT(t)
	l := ledgerWithMembers(4)
	requestCredit(l, 1, 1000)
	for range 10_000 {
		g.Expect(requestCredit(l, 1, 1).Pause).To(BeNumerically("<=", 2*time.Second))
	}
	g.Expect(requestCredit(l, 3.1, 1000).Pause).To(BeNumerically("<", 50*time.Millisecond))
}

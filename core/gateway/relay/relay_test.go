package relay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/relay"
	"github.com/sprucecrank/sprucecrank/core/member"
)

var start = time.Unix(1000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func life(i int) catalog.Life { return catalog.Life{ID: fmt.Sprint("t", i)} }

func TestPathsAreCutOnceNoneOfSeveralTargetsAnswers(t *testing.T) {
	g := NewWithT(t)
	p := relay.NewPaths()
	g.Expect(p.AreCut(start, 10)).To(BeFalse())
	p.RecordFailure(start, life(1))
	p.RecordFailure(start, life(1))
	p.RecordFailure(start, life(2))
	g.Expect(p.AreCut(after(1000), 10)).To(BeFalse(), "two targets may be down")
	g.Expect(p.AreCut(after(1000), 2)).To(BeTrue(), "all of two")
	p.RecordFailure(after(100), life(3))
	g.Expect(p.AreCut(after(299), 10)).To(BeFalse(), "the process may have stood still")
	g.Expect(p.AreCut(after(300), 10)).To(BeTrue())
	g.Expect(p.FailedLately(after(1099))).To(BeTrue())
	g.Expect(p.FailedLately(after(1100))).To(BeFalse(), "they may have healed")
	p.RecordAnswer(life(9))
	g.Expect(p.AreCut(after(2000), 10)).To(BeFalse())
}

func TestTargetsThatConnectMayServeThoughTheyAnswerNoProbe(t *testing.T) {
	g := NewWithT(t)
	p := relay.NewPaths()
	for i := range 3 {
		p.RecordFailure(start, life(i))
		p.RecordConnection(life(i), i != 2)
	}
	g.Expect(p.AreCut(after(1000), 3)).To(BeTrue())
	g.Expect(p.NoneConnects(after(1000), 3)).To(BeFalse())
	p.RecordConnection(life(0), false)
	p.RecordConnection(life(1), false)
	g.Expect(p.NoneConnects(after(1000), 3)).To(BeTrue())
	p.RecordConnection(life(1), true)
	g.Expect(p.NoneConnects(after(1000), 3)).To(BeFalse())
}

func TestOtherGatewaysAreAskedForRoomOnlyWhereMostTargetsFail(t *testing.T) {
	g := NewWithT(t)
	p := relay.NewPaths()
	p.RecordFailure(start, life(1))
	g.Expect(p.FewAreLeft(start, 4)).To(BeFalse())
	p.RecordFailure(start, life(2))
	g.Expect(p.FewAreLeft(start, 4)).To(BeTrue())
	p.RecordAnswer(life(9))
	g.Expect(p.FewAreLeft(start, 4)).To(BeTrue(), "another target is well")
	p.RecordOverflow(start, false)
	g.Expect(p.FewAreLeft(after(199), 4)).To(BeFalse(), "others had no room")
	g.Expect(p.FewAreLeft(after(200), 4)).To(BeTrue())
	p.RecordOverflow(after(200), false)
	g.Expect(p.FewAreLeft(after(599), 4)).To(BeFalse(), "twice as long")
	p.RecordOverflow(after(600), true)
	p.RecordAnswer(life(1))
	g.Expect(p.FewAreLeft(after(600), 4)).To(BeFalse(), "it answered")
	g.Expect(p.FewAreLeft(after(11_000), 1)).To(BeFalse(), "long ago")
}

func TestOneRequestAnIntervalLooksForATargetThatIsBack(t *testing.T) {
	g := NewWithT(t)
	p := relay.NewPaths()
	p.RecordFailure(start, life(1))
	tries := 0
	for ms := range 5000 {
		if p.TryNow(after(ms)) {
			tries++
		}
	}
	g.Expect(tries).To(BeNumerically("~", 5000/200, 3))
}

func newFleet(halls ...string) (fleet []member.Box) {
	for i, hall := range halls {
		fleet = append(fleet, member.Box{ID: fmt.Sprint("g", i), Hall: hall})
	}
	return fleet
}

// tiers puts hall a into the own hall, b into its region, and c into another.
func tiers(hall string) locality.Tier {
	return map[string]locality.Tier{"a": locality.OwnHall, "b": locality.OwnRegion, "c": locality.OtherRegion}[hall]
}

func TestRelayedRequestsAreSpreadOverTheRegion(t *testing.T) {
	g := NewWithT(t)
	gateways := relay.NewGateways(tiers)
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	for range 4000 {
		via, ok := gateways.Choose(start, "shop", newFleet("a", "b", "b", "b", "c"), random.IntN)
		g.Expect(ok).To(BeTrue())
		counts[via.ID]++
	}
	for _, id := range []string{"g0", "g1", "g2", "g3"} {
		g.Expect(counts[id]).To(BeNumerically("~", 1000, 150), id)
	}
	g.Expect(counts).NotTo(HaveKey("g4"), "another region")
}

func TestGatewaysThatCouldNotServeArePassedOver(t *testing.T) {
	for name, c := range map[string]struct {
		first  int // ms
		record func(gateways *relay.Gateways, now time.Time, id string)
	}{
		"unavailable": {250, (*relay.Gateways).RecordUnavailable},
		"cut off": {1000, func(gateways *relay.Gateways, now time.Time, id string) {
			gateways.RecordCutOff(now, id, "shop")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gateways, fleet := relay.NewGateways(tiers), newFleet("a", "c")
			choose := func(ms int) string {
				via, _ := gateways.Choose(after(ms), "shop", fleet, func(int) int { return 0 })
				return via.ID
			}
			c.record(gateways, start, "g0")
			c.record(gateways, start, "g0")
			g.Expect(choose(c.first-1)).To(Equal("g1"), "another region where none is left in the own")
			g.Expect(choose(c.first)).To(Equal("g0"))
			c.record(gateways, after(c.first), "g0")
			g.Expect(choose(3*c.first-1)).To(Equal("g1"), "twice as long")
			g.Expect(choose(3 * c.first)).To(Equal("g0"))
			gateways.RecordServed(after(8000), fleet[0], "shop")
			gateways.RecordBusy(after(8000), "g0")
			g.Expect(choose(8049)).To(Equal("g1"))
			g.Expect(choose(8050)).To(Equal("g0"))
			c.record(gateways, after(9000), "g0")
			c.record(gateways, after(9000), "g1")
			g.Expect(choose(9001)).To(BeEmpty())
		})
	}
}

func TestRecordsOfGatewaysAreBounded(t *testing.T) {
	gateways := relay.NewGateways(tiers)
	for i := range 100_000 {
		gateways.RecordCutOff(after(i), fmt.Sprint("g", i), "shop")
	}
	NewWithT(t).Expect(gateways.Len()).To(BeNumerically("<=", 4096))
}

// A gateway that served requests of one service was asked on and on for another that it does not reach.
func TestGatewayThatIsCutOffFromOneServiceServesOthers(t *testing.T) {
	g := NewWithT(t)
	gateways, fleet := relay.NewGateways(tiers), newFleet("a")
	choose := func(service string) bool {
		_, ok := gateways.Choose(after(100), service, fleet, func(int) int { return 0 })
		return ok
	}
	gateways.RecordCutOff(start, "g0", "shop")
	gateways.RecordServed(start, fleet[0], "farm")
	g.Expect(choose("shop")).To(BeFalse())
	g.Expect(choose("farm")).To(BeTrue())
	gateways.RecordUnavailable(start, "g0")
	g.Expect(choose("farm")).To(BeFalse(), "it serves nothing")
	gateways.RecordServed(start, fleet[0], "shop")
	g.Expect(choose("shop")).To(BeTrue())
}

// Gateways that were cut off were asked again and again although others had just served.
func TestGatewaysThatServeAreAskedAgain(t *testing.T) {
	g := NewWithT(t)
	gateways := relay.NewGateways(tiers)
	fleet := newFleet("a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
	random := rand.New(rand.NewPCG(1, 1))
	shareOf := func(now time.Time, service string, some ...member.Box) float64 {
		const draws = 4000
		n := 0
		for range draws {
			via, _ := gateways.Choose(now, service, fleet, random.IntN)
			if slices.Contains(some, via) {
				n++
			}
		}
		return float64(n) / draws
	}
	gateways.RecordServed(start, fleet[0], "shop")
	g.Expect(shareOf(start, "shop", fleet[0])).To(BeNumerically("~", 0.5, 0.05), "others may serve as well")
	g.Expect(shareOf(start, "farm", fleet[0])).To(BeNumerically("<", 0.2), "another service")
	for _, b := range fleet[:9] {
		gateways.RecordServed(start, b, "shop")
	}
	g.Expect(shareOf(start, "shop", fleet[1:9]...)).To(Equal(1.0), "enough are known")
	gateways.RecordCutOff(start, "g1", "shop")
	gateways.RecordUnavailable(start, "g2")
	g.Expect(shareOf(start, "shop", fleet[1], fleet[2])).To(BeZero())
	g.Expect(shareOf(after(10_000), "shop", fleet[3:9]...)).To(BeNumerically("<", 0.6), "long ago")
}

// A gateway that knew none that serve asked one after the other, and was refused by most.
func TestGatewaysThatOthersNameAreAsked(t *testing.T) {
	g := NewWithT(t)
	asked, gateways := relay.NewGateways(tiers), relay.NewGateways(tiers)
	fleet := newFleet("a", "a", "a", "a", "a")
	first := func(int) int { return 0 }
	for _, b := range fleet {
		asked.RecordServed(start, b, "shop")
	}
	named := asked.Referrals(start, "shop", first)
	g.Expect(named).To(HaveLen(3))
	g.Expect(asked.Referrals(start, "farm", first)).To(BeEmpty())
	g.Expect(asked.Referrals(after(10_000), "shop", first)).To(BeEmpty(), "long ago")
	gateways.RecordReferrals(start, "shop", fleet[:1])
	via, ok := gateways.Choose(start, "shop", nil, first)
	g.Expect(ok).To(BeTrue(), "though it is not known otherwise")
	g.Expect(via).To(Equal(fleet[0]))
	g.Expect(gateways.Referrals(start, "shop", first)).To(BeEmpty(), "it has not served this one yet")
	gateways.RecordCutOff(start, via.ID, "shop")
	gateways.RecordReferrals(start, "shop", fleet[:1])
	_, ok = gateways.Choose(start, "shop", nil, first)
	g.Expect(ok).To(BeFalse(), "it is known to be cut off")
}

// A gateway that hung was asked on and on, since nothing told it from one whose target is slow.
func TestGatewayThatAnswersNothingIsAskedLast(t *testing.T) {
	g := NewWithT(t)
	gateways, fleet := relay.NewGateways(tiers), newFleet("a", "b", "c")
	choose := func(ms int) string {
		via, _ := gateways.Choose(after(ms), "shop", fleet, func(int) int { return 0 })
		return via.ID
	}
	gateways.RecordAsked(start, "g0")
	gateways.RecordAsked(start, "g0")
	g.Expect(choose(299)).To(Equal("g0"))
	g.Expect(choose(300)).To(Equal("g1"))
	gateways.RecordEnd(after(400), "g0", true)
	g.Expect(choose(400)).To(Equal("g0"), "it answered another request")
	gateways.RecordAsked(after(400), "g1")
	g.Expect(choose(700)).To(Equal("g2"), "another region, where all of the own are silent")
	gateways.RecordUnavailable(after(700), "g2")
	g.Expect(choose(700)).To(Equal("g0"), "silent ones where no others are left")
	gateways.RecordEnd(after(700), "g0", false)
	g.Expect(choose(949)).To(Equal("g1"), "it counts as unavailable")
	gateways.RecordAsked(after(950), "g0")
	g.Expect(choose(950)).To(Equal("g2"), "one request finds out whether it is back")
	gateways.RecordServed(after(951), fleet[0], "shop")
	gateways.RecordEnd(after(951), "g0", true)
	g.Expect(choose(951)).To(Equal("g0"))
}

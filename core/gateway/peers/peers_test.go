package peers_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/member"
)

var (
	begin = time.Unix(1000, 0)
	self  = member.Box{ID: "self", Hall: "hall-0"}
)

func at(d time.Duration) time.Time { return begin.Add(d) }

func box(i int) member.Box {
	return member.Box{ID: fmt.Sprint("box-", i), Hall: fmt.Sprint("hall-", i%4), Start: 1}
}

// newView returns a view that holds n other gateways.
func newView(n int) *peers.View {
	v := peers.New(self, rand.New(rand.NewPCG(1, uint64(n))).IntN)
	for i := range n {
		v.ObserveAnswer(begin, box(i))
	}
	return v
}

func noneTaken(string) bool { return false }

func ids(sightings []peers.Sighting) []string {
	var out []string
	for _, s := range sightings {
		out = append(out, s.Box.ID)
	}
	return out
}

func TestRankIsConsistentAndSkipsLeavingAndFailedGateways(t *testing.T) {
	g := NewWithT(t)
	boxes := []member.Box{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	ranks := map[int]string{}
	var views []*peers.View
	for _, own := range boxes {
		v := peers.New(own, rand.IntN)
		for _, b := range boxes {
			v.ObserveAnswer(begin, b)
		}
		ranks[v.Rank(begin)] = own.ID
		views = append(views, v)
	}
	g.Expect(ranks).To(HaveLen(4), "each has a rank of its own")
	var last *peers.View
	for _, v := range views {
		if v.Rank(begin) == 3 {
			last = v
		}
	}
	first := ranks[0]
	g.Expect(peers.RanksBefore(first, ranks[1])).To(BeTrue())
	last.RecordFailure(begin, first)
	g.Expect(last.Rank(begin)).To(Equal(2), "one that ranks before it does not answer")
	g.Expect(last.ObserveAnswer(begin, member.Box{ID: first})).To(BeTrue(), "the gateway is back")
	g.Expect(last.Rank(begin)).To(Equal(3))
	last.ObserveAnswer(begin, member.Box{ID: first, Leaving: true})
	g.Expect(last.Rank(begin)).To(Equal(2))
	g.Expect(last.Rank(at(10*time.Second))).To(Equal(0), "no gateway was seen lately")
	last.SetLeaving()
	g.Expect(last.Rank(begin)).To(Equal(3), "a leaving gateway ranks last")
}

func TestFailingGatewayIsSkippedForLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	v := newView(1)
	v.RecordFailure(begin, "unknown")
	g.Expect(v.IsAvoided(begin, "unknown")).To(BeFalse(), "failures of unknown gateways are ignored")
	g.Expect(v.IsAvoided(begin, "box-0")).To(BeFalse())
	v.RecordFailure(begin, "box-0")
	g.Expect(v.IsAvoided(begin, "box-0")).To(BeTrue())
	g.Expect(v.IsUsable(at(499*time.Millisecond), "box-0")).To(BeFalse())
	g.Expect(v.IsUsable(at(500*time.Millisecond), "box-0")).To(BeTrue())
	v.RecordFailure(at(500*time.Millisecond), "box-0")
	g.Expect(v.IsUsable(at(1400*time.Millisecond), "box-0")).To(BeFalse())
	v.MergeSightings(at(600*time.Millisecond), []peers.Sighting{{Box: box(0)}})
	g.Expect(v.IsUsable(at(700*time.Millisecond), "box-0")).To(BeFalse(), "a sighting is not an answer")
	restarted := box(0)
	restarted.Start = 2
	v.MergeSightings(at(700*time.Millisecond), []peers.Sighting{{Box: restarted}})
	g.Expect(v.IsUsable(at(700*time.Millisecond), "box-0")).To(BeTrue(), "it has restarted")
	g.Expect(v.ObserveAnswer(at(800*time.Millisecond), restarted)).To(BeTrue(), "and is back")
	g.Expect(v.ObserveAnswer(at(800*time.Millisecond), restarted)).To(BeFalse())
}

// A gateway to which the path is cut, but not the path from it, calls and never answers. It
// must not be called again each time that it calls.
func TestCallDoesNotClearSuspicion(t *testing.T) {
	g := NewWithT(t)
	v := newView(2)
	g.Expect(v.ObserveCall(begin, box(2))).To(BeFalse())
	g.Expect(v.IsUsable(begin, "box-2")).To(BeTrue(), "an unsuspected gateway")
	v.RecordFailure(begin, "box-0")
	g.Expect(v.ObserveCall(at(100*time.Millisecond), box(0))).To(BeFalse())
	g.Expect(v.IsAvoided(at(100*time.Millisecond), "box-0")).To(BeTrue(), "it runs, but it did not answer")
	lost, ok := v.PickLost(at(100 * time.Millisecond))
	g.Expect(ok && lost.ID == "box-0").To(BeTrue(), "it is still a candidate for PickLost")
	g.Expect(v.ObserveAnswer(at(200*time.Millisecond), box(0))).To(BeTrue(), "an answer clears the suspicion")
	g.Expect(v.IsUsable(at(200*time.Millisecond), "box-0")).To(BeTrue())
	v.RecordFailure(at(time.Second), "box-0")
	restarted := box(0)
	restarted.Start = 2
	g.Expect(v.ObserveCall(at(1100*time.Millisecond), restarted)).To(BeTrue(), "it has restarted")
	g.Expect(v.IsUsable(at(1100*time.Millisecond), "box-0")).To(BeTrue())
}

func TestSightingOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	v := newView(0)
	v.ObserveAnswer(begin, member.Box{ID: "a", Peer: "new", Start: 2})
	v.MergeSightings(begin, []peers.Sighting{{Box: member.Box{ID: "a", Peer: "old", Start: 1, Leaving: true}}})
	found, ok := v.Find("a")
	g.Expect(ok).To(BeTrue())
	g.Expect(found).To(Equal(member.Box{ID: "a", Peer: "new", Start: 2}))
	v.MergeSightings(begin, []peers.Sighting{{Box: member.Box{ID: "a", Peer: "new", Start: 2, Leaving: true}}})
	v.MergeSightings(begin, []peers.Sighting{{Box: member.Box{ID: "a", Peer: "new", Start: 2}}})
	g.Expect(v.IsAvoided(begin, "a")).To(BeTrue())
	g.Expect(v.IsUsable(begin, "a")).To(BeFalse(), "a leaving gateway stays so until it restarts")
	v.MergeSightings(begin, []peers.Sighting{{Box: self}, {Box: member.Box{}}, {Box: member.Box{ID: "b"}, Ago: time.Hour}})
	g.Expect(v.Len()).To(Equal(1), "neither itself, nor one without an id, nor one not seen for long")
}

func TestSightingsOfAStoppedGatewayDieOut(t *testing.T) {
	g := NewWithT(t)
	now := begin
	a, b := peers.New(member.Box{ID: "a"}, rand.IntN), peers.New(member.Box{ID: "b"}, rand.IntN)
	a.ObserveAnswer(now, member.Box{ID: "gone"})
	for range 60 { // a and b go on sending each other sightings of it
		now = now.Add(500 * time.Millisecond)
		b.MergeSightings(now, a.Sightings(now, ""))
		a.MergeSightings(now, b.Sightings(now, ""))
		a.ObserveAnswer(now, b.Self())
		b.ObserveAnswer(now, a.Self())
	}
	for _, v := range []*peers.View{a, b} {
		g.Expect(v.IsUsable(now, "gone")).To(BeFalse())
		g.Expect(ids(v.Sightings(now, ""))).To(ConsistOf("a", "b"))
	}
}

func TestViewIsBoundedAndKeepsTheFirstInRank(t *testing.T) {
	for _, fleet := range []int{0, 1, 13, 100, 473, 2072} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			g := NewWithT(t)
			v := newView(fleet)
			g.Expect(v.Len()).To(BeNumerically("<=", 24+24+6))
			if fleet <= 24 {
				g.Expect(v.Len()).To(Equal(fleet), "a small fleet is known completely")
			}
			sent := v.Sightings(begin, "hall-1")
			g.Expect(sent[0].Box).To(Equal(self))
			g.Expect(len(sent)).To(BeNumerically("<=", 1+4+4+2))
			ranked := make([]string, fleet)
			for i := range ranked {
				ranked[i] = box(i).ID
			}
			slices.SortFunc(ranked, func(a, b string) int {
				if peers.RanksBefore(a, b) {
					return -1
				}
				return 1
			})
			for _, id := range ranked[:min(4, fleet)] {
				g.Expect(ids(sent)).To(ContainElement(id), "all gateways send the same first ones")
			}
		})
	}
}

func TestNeighboursAreDrawnFromTheHallsInScope(t *testing.T) {
	g := NewWithT(t)
	v := newView(40)
	taken := map[string]bool{}
	for range 10 {
		near, ok := v.PickNeighbour(begin, peers.OwnHall, func(id string) bool { return taken[id] })
		g.Expect(ok).To(BeTrue())
		g.Expect(near.Hall).To(Equal("hall-0"))
		g.Expect(taken[near.ID]).To(BeFalse())
		taken[near.ID] = true
		far, ok := v.PickNeighbour(begin, peers.OtherHalls, noneTaken)
		g.Expect(ok).To(BeTrue())
		g.Expect(far.Hall).NotTo(Equal("hall-0"))
	}
	only, ok := v.PickNeighbour(begin, peers.OwnHall, func(id string) bool { return taken[id] })
	g.Expect(ok).To(BeTrue())
	g.Expect(only.Hall).NotTo(Equal("hall-0"), "one of another hall if the own hall has none left")
	_, ok = v.PickNeighbour(begin, peers.OwnHall, func(string) bool { return true })
	g.Expect(ok).To(BeFalse())
	g.Expect(v.HasNoUsablePeer(begin)).To(BeFalse())
	g.Expect(v.HasNoUsablePeer(at(10 * time.Second))).To(BeTrue())
}

func TestFleetSizeIsEstimatedWithinAFactorOfTwo(t *testing.T) {
	for _, c := range []struct{ fleet, least, most int }{{1, 1, 1}, {13, 13, 13}, {95, 48, 190}, {473, 240, 950}, {2072, 1000, 4200}} {
		t.Run(fmt.Sprint(c.fleet), func(t *testing.T) {
			g := NewWithT(t)
			size := newView(c.fleet - 1).EstimateFleetSize(begin)
			t.Logf("estimated as %d", size)
			g.Expect(size).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
		})
	}
}

// linking returns the gateways of a hall that link it, where each knows some others of it,
// drawn at random.
func linking(size, known int, failed ...string) []string {
	random := rand.New(rand.NewPCG(1, uint64(size)))
	var hall []member.Box
	for i := range size {
		hall = append(hall, member.Box{ID: fmt.Sprint("box-", i), Hall: "hall-0", Start: 1})
	}
	var out []string
	for _, own := range hall {
		v := peers.New(own, random.IntN)
		others := slices.DeleteFunc(slices.Clone(hall), func(b member.Box) bool { return b.ID == own.ID })
		random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		for _, b := range others[:min(known, len(others))] {
			v.ObserveAnswer(begin, b)
		}
		for _, id := range failed {
			v.RecordFailure(begin, id)
		}
		for i := range 3 {
			v.ObserveAnswer(begin, member.Box{ID: fmt.Sprint("far-", i), Hall: "hall-1", Start: 1})
		}
		if !slices.Contains(failed, own.ID) && v.ShouldLinkHalls(begin) {
			out = append(out, own.ID)
		}
	}
	return out
}

func TestEachHallIsLinkedByFiveOfItsGateways(t *testing.T) {
	g := NewWithT(t)
	for size := 1; size <= 20; size++ {
		g.Expect(linking(size, size)).To(HaveLen(min(5, size)), "of %d, all of which know each other", size)
	}
	first := linking(10, 10)
	next := linking(10, 10, first[0])
	g.Expect(next).To(HaveLen(5), "another replaces one that does not answer")
	g.Expect(next).To(ContainElements(first[1:]))
	g.Expect(len(linking(500, 24))).To(BeNumerically("~", 100, 10), "as many as are known: 5 of 25")
}

func TestSomeLostGatewaysAreRemembered(t *testing.T) {
	g := NewWithT(t)
	v := newView(40)
	for i := range 20 {
		v.RecordFailure(begin, box(i).ID)
	}
	_, ok := v.PickLost(begin)
	g.Expect(ok).To(BeFalse(), "other gateways may still see them")
	later := at(time.Minute)
	for i := range 25 {
		v.ObserveAnswer(later, member.Box{ID: fmt.Sprint("new-", i), Hall: "hall-0"})
	}
	g.Expect(v.Len()).To(Equal(24+1+8), "24, one more that ranks first, and some of those that were lost")
	found := map[string]bool{}
	for range 200 {
		lost, ok := v.PickLost(later)
		g.Expect(ok).To(BeTrue())
		found[lost.ID] = true
	}
	g.Expect(found).To(HaveLen(8))
	g.Expect(v.IsUsable(later, "box-0")).To(BeFalse())
	g.Expect(v.HasNoUsablePeer(later)).To(BeFalse())
}

// Each gateway stops using a member that is gone within a bounded time, and the members that
// are there stay known to enough gateways.
func TestViewsFollowAFleetWhoseMembersChange(t *testing.T) {
	g := NewWithT(t)
	const fleet = 200
	random := rand.New(rand.NewPCG(3, 4))
	views := map[string]*peers.View{}
	boxes := make([]member.Box, fleet)
	for i := range boxes {
		boxes[i] = box(i)
		views[boxes[i].ID] = peers.New(boxes[i], random.IntN)
		views[boxes[i].ID].ObserveAnswer(begin, boxes[0])
	}
	gone := func(now time.Time, id string) bool { return now.After(at(20*time.Second)) && id < "box-15" }
	for now := begin; now.Before(at(40 * time.Second)); now = now.Add(time.Second) {
		for _, b := range boxes {
			if gone(now, b.ID) {
				continue
			}
			v := views[b.ID]
			for place := range 3 {
				other, ok := v.PickNeighbour(now, peers.Scope(min(place, 1)), noneTaken)
				if !ok || gone(now, other.ID) {
					continue
				}
				received, sent := views[other.ID].Sightings(now, b.Hall), v.Sightings(now, other.Hall)
				v.ObserveAnswer(now, other)
				v.MergeSightings(now, received[1:])
				views[other.ID].ObserveAnswer(now, b)
				views[other.ID].MergeSightings(now, sent[1:])
			}
		}
	}
	end := at(40 * time.Second)
	known := map[string]int{}
	for id, v := range views {
		if gone(end, id) {
			continue
		}
		for _, b := range boxes {
			if v.IsUsable(end, b.ID) {
				known[b.ID]++
				g.Expect(gone(end, b.ID)).To(BeFalse(), "%s has been gone for 20 s and is still usable for %s", b.ID, id)
			}
		}
	}
	for _, b := range boxes {
		if !gone(end, b.ID) {
			g.Expect(known[b.ID]).To(BeNumerically(">=", 5), b.ID)
		}
	}
}

func ExampleView() {
	view := peers.New(member.Box{ID: "gateway-1", Hall: "a"}, rand.IntN)
	view.ObserveAnswer(begin, member.Box{ID: "gateway-2", Hall: "a"})
	box, ok := view.PickNeighbour(begin, peers.OwnHall, func(string) bool { return false })
	fmt.Println(box.ID, ok)
	// Output: gateway-2 true
}

// inRegions returns the tier of a hall in a fleet of three regions, seen from the first.
func inRegions(hall string) locality.Tier {
	return locality.New("hall-0", "", map[string]string{
		"hall-0": "north", "hall-1": "north", "hall-2": "south", "hall-3": "east",
	}).Tier(hall)
}

func TestNeighboursComeFromTheScopeOrTheNearestHalls(t *testing.T) {
	for name, c := range map[string]struct {
		known  []int
		scope  peers.Scope
		wanted []string // halls
	}{
		"own hall":                           {[]int{0, 1, 2, 3}, peers.OwnHall, []string{"hall-0"}},
		"other halls of the region":          {[]int{0, 1, 2, 3}, peers.OtherHalls, []string{"hall-1"}},
		"other regions":                      {[]int{0, 1, 2, 3}, peers.OtherRegions, []string{"hall-2", "hall-3"}},
		"no other hall":                      {[]int{0, 2, 3}, peers.OtherHalls, []string{"hall-0"}},
		"no other gateway in the own hall":   {[]int{1, 2, 3}, peers.OwnHall, []string{"hall-1"}},
		"no other region":                    {[]int{0, 1}, peers.OtherRegions, []string{"hall-0"}},
		"no other gateway in the own region": {[]int{2, 3}, peers.OwnHall, []string{"hall-2", "hall-3"}},
		"gateways in another region only":    {[]int{3}, peers.OtherHalls, []string{"hall-3"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			v := peers.New(self, rand.New(rand.NewPCG(1, 2)).IntN)
			v.SetTiers(inRegions)
			for _, i := range c.known {
				v.ObserveAnswer(begin, box(i))
			}
			drawn := map[string]bool{}
			for range 50 {
				b, ok := v.PickNeighbour(begin, c.scope, noneTaken)
				g.Expect(ok).To(BeTrue())
				drawn[b.Hall] = true
			}
			g.Expect(drawn).To(HaveLen(len(c.wanted)))
			for _, hall := range c.wanted {
				g.Expect(drawn).To(HaveKey(hall))
			}
		})
	}
}

func TestEachRegionIsLinkedByThreeOfItsGateways(t *testing.T) {
	g := NewWithT(t)
	linking := func(failed ...string) (out []string) {
		for i := range 20 {
			own := box(i)
			if own.Hall != "hall-0" && own.Hall != "hall-1" {
				continue
			}
			v := peers.New(own, rand.IntN)
			v.SetTiers(inRegions)
			for j := range 20 {
				v.ObserveAnswer(begin, box(j))
			}
			for _, id := range failed {
				v.RecordFailure(begin, id)
			}
			if !slices.Contains(failed, own.ID) && v.ShouldLinkRegions(begin) {
				out = append(out, own.ID)
			}
		}
		return out
	}
	first := linking()
	g.Expect(first).To(HaveLen(3))
	next := linking(first[0])
	g.Expect(next).To(HaveLen(3), "another replaces one that does not answer")
	g.Expect(next).To(ContainElements(first[1:]))
}

func TestFleetOfOneRegionHasNoLinksBetweenRegions(t *testing.T) {
	g := NewWithT(t)
	v := newView(20)
	g.Expect(v.ShouldLinkRegions(begin)).To(BeFalse())
	own := peers.New(self, rand.New(rand.NewPCG(1, 20)).IntN)
	own.SetTiers(locality.New(self.Hall, "north", map[string]string{"hall-0": "north"}).Tier)
	for i := range 20 {
		own.ObserveAnswer(begin, box(i))
	}
	for range 20 {
		for _, scope := range []peers.Scope{peers.OwnHall, peers.OtherHalls} {
			one, _ := v.PickNeighbour(begin, scope, noneTaken)
			other, _ := own.PickNeighbour(begin, scope, noneTaken)
			g.Expect(other).To(Equal(one), "one region for all halls is the same as none")
		}
		g.Expect(own.Sightings(begin, "hall-1")).To(Equal(v.Sightings(begin, "hall-1")))
	}
}

func TestViewHoldsGatewaysOfEachTier(t *testing.T) {
	g := NewWithT(t)
	v := peers.New(self, rand.New(rand.NewPCG(1, 3)).IntN)
	v.SetTiers(inRegions)
	for i := range 400 {
		v.ObserveAnswer(begin, box(i))
	}
	g.Expect(v.Len()).To(BeNumerically("<=", 3*24+6))
	sent := map[string]int{}
	for _, s := range v.Sightings(begin, "hall-0")[5:] { // after itself and four that rank first
		sent[s.Box.Hall]++
	}
	g.Expect(sent["hall-0"]).To(Equal(4))
	g.Expect(sent["hall-1"]).To(Equal(2))
	g.Expect(sent["hall-2"] + sent["hall-3"]).To(Equal(2))
}

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

// newView makes a view that has heard n others.
func newView(n int) *peers.View {
	v := peers.New(self, rand.New(rand.NewPCG(1, uint64(n))).IntN)
	for i := range n {
		v.Observe(begin, box(i))
	}
	return v
}

func none(string) bool { return false }

func ids(told []peers.Sighting) []string {
	var out []string
	for _, s := range told {
		out = append(out, s.Box.ID)
	}
	return out
}

func TestAllRankTheSameAndPassOverWhoLeavesOrFails(t *testing.T) {
	g := NewWithT(t)
	boxes := []member.Box{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	ranks := map[int]string{}
	var views []*peers.View
	for _, own := range boxes {
		v := peers.New(own, rand.IntN)
		for _, b := range boxes {
			v.Observe(begin, b)
		}
		ranks[v.Rank(begin)] = own.ID
		views = append(views, v)
	}
	g.Expect(ranks).To(HaveLen(4), "each has a place of its own")
	var last *peers.View
	for _, v := range views {
		if v.Rank(begin) == 3 {
			last = v
		}
	}
	first := ranks[0]
	g.Expect(peers.Before(first, ranks[1])).To(BeTrue())
	last.Fail(begin, first)
	g.Expect(last.Rank(begin)).To(Equal(2), "one before it does not answer")
	g.Expect(last.Observe(begin, member.Box{ID: first})).To(BeTrue(), "it is back")
	g.Expect(last.Rank(begin)).To(Equal(3))
	last.Observe(begin, member.Box{ID: first, Leaving: true})
	g.Expect(last.Rank(begin)).To(Equal(2))
	g.Expect(last.Rank(at(10*time.Second))).To(Equal(0), "nobody has been heard from")
	last.SetLeaving()
	g.Expect(last.Rank(begin)).To(Equal(3), "whoever leaves ranks last")
}

func TestAGatewayThatFailsIsPassedOverForLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	v := newView(1)
	v.Fail(begin, "nobody")
	g.Expect(v.Avoids(begin, "nobody")).To(BeFalse(), "nothing is known against it")
	g.Expect(v.Avoids(begin, "box-0")).To(BeFalse())
	v.Fail(begin, "box-0")
	g.Expect(v.Avoids(begin, "box-0")).To(BeTrue())
	g.Expect(v.Usable(at(499*time.Millisecond), "box-0")).To(BeFalse())
	g.Expect(v.Usable(at(500*time.Millisecond), "box-0")).To(BeTrue())
	v.Fail(at(500*time.Millisecond), "box-0")
	g.Expect(v.Usable(at(1400*time.Millisecond), "box-0")).To(BeFalse())
	v.Sighted(at(600*time.Millisecond), []peers.Sighting{{Box: box(0)}})
	g.Expect(v.Usable(at(700*time.Millisecond), "box-0")).To(BeFalse(), "that others heard it is no answer")
	again := box(0)
	again.Start = 2
	v.Sighted(at(700*time.Millisecond), []peers.Sighting{{Box: again}})
	g.Expect(v.Usable(at(700*time.Millisecond), "box-0")).To(BeTrue(), "it has started again")
	g.Expect(v.Observe(at(800*time.Millisecond), again)).To(BeTrue(), "and is back")
	g.Expect(v.Observe(at(800*time.Millisecond), again)).To(BeFalse())
}

// Where the way to a gateway is cut and the way from it is not, it calls and never
// answers: it must not be asked each time that it is heard.
func TestACallIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	v := newView(2)
	g.Expect(v.Called(begin, box(2))).To(BeFalse())
	g.Expect(v.Usable(begin, "box-2")).To(BeTrue(), "nothing is known against it")
	v.Fail(begin, "box-0")
	g.Expect(v.Called(at(100*time.Millisecond), box(0))).To(BeFalse())
	g.Expect(v.Avoids(at(100*time.Millisecond), "box-0")).To(BeTrue(), "it is there, but it did not answer")
	lost, ok := v.Lost(at(100 * time.Millisecond))
	g.Expect(ok && lost.ID == "box-0").To(BeTrue(), "it may be found again")
	g.Expect(v.Observe(at(200*time.Millisecond), box(0))).To(BeTrue(), "it has answered")
	g.Expect(v.Usable(at(200*time.Millisecond), "box-0")).To(BeTrue())
	v.Fail(at(time.Second), "box-0")
	again := box(0)
	again.Start = 2
	g.Expect(v.Called(at(1100*time.Millisecond), again)).To(BeTrue(), "it has started again")
	g.Expect(v.Usable(at(1100*time.Millisecond), "box-0")).To(BeTrue())
}

func TestAnOldUpdateOfAnEarlierStartChangesNothing(t *testing.T) {
	g := NewWithT(t)
	v := newView(0)
	v.Observe(begin, member.Box{ID: "a", Peer: "new", Start: 2})
	v.Sighted(begin, []peers.Sighting{{Box: member.Box{ID: "a", Peer: "old", Start: 1, Leaving: true}}})
	found, ok := v.Find("a")
	g.Expect(ok).To(BeTrue())
	g.Expect(found).To(Equal(member.Box{ID: "a", Peer: "new", Start: 2}))
	v.Sighted(begin, []peers.Sighting{{Box: member.Box{ID: "a", Peer: "new", Start: 2, Leaving: true}}})
	v.Sighted(begin, []peers.Sighting{{Box: member.Box{ID: "a", Peer: "new", Start: 2}}})
	g.Expect(v.Avoids(begin, "a")).To(BeTrue())
	g.Expect(v.Usable(begin, "a")).To(BeFalse(), "leaving is never taken back for one start")
	v.Sighted(begin, []peers.Sighting{{Box: self}, {Box: member.Box{}}, {Box: member.Box{ID: "b"}, Ago: time.Hour}})
	g.Expect(v.Len()).To(Equal(1), "not itself, nobody without a name, nobody unheard of")
}

func TestSightingsOfAGatewayThatIsGoneDieOut(t *testing.T) {
	g := NewWithT(t)
	now := begin
	a, b := peers.New(member.Box{ID: "a"}, rand.IntN), peers.New(member.Box{ID: "b"}, rand.IntN)
	a.Observe(now, member.Box{ID: "gone"})
	for range 60 { // a and b go on telling each other of it
		now = now.Add(500 * time.Millisecond)
		b.Sighted(now, a.Sightings(now, ""))
		a.Sighted(now, b.Sightings(now, ""))
		a.Observe(now, b.Self())
		b.Observe(now, a.Self())
	}
	for _, v := range []*peers.View{a, b} {
		g.Expect(v.Usable(now, "gone")).To(BeFalse())
		g.Expect(ids(v.Sightings(now, ""))).To(ConsistOf("a", "b"))
	}
}

func TestAViewIsBoundedAndKeepsTheFirstInRank(t *testing.T) {
	for _, fleet := range []int{0, 1, 13, 100, 473, 2072} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			g := NewWithT(t)
			v := newView(fleet)
			g.Expect(v.Len()).To(BeNumerically("<=", 24+24+6))
			if fleet <= 24 {
				g.Expect(v.Len()).To(Equal(fleet), "of a small fleet all are known")
			}
			told := v.Sightings(begin, "hall-1")
			g.Expect(told[0].Box).To(Equal(self))
			g.Expect(len(told)).To(BeNumerically("<=", 1+4+4+2))
			ranked := make([]string, fleet)
			for i := range ranked {
				ranked[i] = box(i).ID
			}
			slices.SortFunc(ranked, func(a, b string) int {
				if peers.Before(a, b) {
					return -1
				}
				return 1
			})
			for _, id := range ranked[:min(4, fleet)] {
				g.Expect(ids(told)).To(ContainElement(id), "all name the same first ones")
			}
		})
	}
}

func TestNeighboursAreDrawnWhereTheyAreWanted(t *testing.T) {
	g := NewWithT(t)
	v := newView(40)
	taken := map[string]bool{}
	for range 10 {
		near, ok := v.Neighbour(begin, peers.OwnHall, func(id string) bool { return taken[id] })
		g.Expect(ok).To(BeTrue())
		g.Expect(near.Hall).To(Equal("hall-0"))
		g.Expect(taken[near.ID]).To(BeFalse())
		taken[near.ID] = true
		far, ok := v.Neighbour(begin, peers.OtherHalls, none)
		g.Expect(ok).To(BeTrue())
		g.Expect(far.Hall).NotTo(Equal("hall-0"))
	}
	only, ok := v.Neighbour(begin, peers.OwnHall, func(id string) bool { return taken[id] })
	g.Expect(ok).To(BeTrue())
	g.Expect(only.Hall).NotTo(Equal("hall-0"), "without any in the own hall one of another")
	_, ok = v.Neighbour(begin, peers.OwnHall, func(string) bool { return true })
	g.Expect(ok).To(BeFalse())
	g.Expect(v.Alone(begin)).To(BeFalse())
	g.Expect(v.Alone(at(10 * time.Second))).To(BeTrue())
}

func TestTheSizeOfAFleetIsAboutKnown(t *testing.T) {
	for _, c := range []struct{ fleet, least, most int }{{1, 1, 1}, {13, 13, 13}, {95, 48, 190}, {473, 240, 950}, {2072, 1000, 4200}} {
		t.Run(fmt.Sprint(c.fleet), func(t *testing.T) {
			g := NewWithT(t)
			size := newView(c.fleet - 1).Size(begin)
			t.Logf("taken for %d", size)
			g.Expect(size).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
		})
	}
}

// linking lists those of a hall's gateways that link it, where each knows so many others
// of it, drawn at random.
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
			v.Observe(begin, b)
		}
		for _, id := range failed {
			v.Fail(begin, id)
		}
		for i := range 3 {
			v.Observe(begin, member.Box{ID: fmt.Sprint("far-", i), Hall: "hall-1", Start: 1})
		}
		if !slices.Contains(failed, own.ID) && v.LinksHalls(begin) {
			out = append(out, own.ID)
		}
	}
	return out
}

func TestEachHallIsLinkedBySomeOfItsGateways(t *testing.T) {
	g := NewWithT(t)
	for size := 1; size <= 20; size++ {
		g.Expect(linking(size, size)).To(HaveLen(min(5, size)), "of %d, all of which know each other", size)
	}
	first := linking(10, 10)
	next := linking(10, 10, first[0])
	g.Expect(next).To(HaveLen(5), "another makes up for one that does not answer")
	g.Expect(next).To(ContainElements(first[1:]))
	g.Expect(len(linking(500, 24))).To(BeNumerically("~", 100, 10), "as many as are known: 5 of 25")
}

func TestSomeOfThoseThatWereLostAreRemembered(t *testing.T) {
	g := NewWithT(t)
	v := newView(40)
	for i := range 20 {
		v.Fail(begin, box(i).ID)
	}
	_, ok := v.Lost(begin)
	g.Expect(ok).To(BeFalse(), "others may still hear from them")
	later := at(time.Minute)
	for i := range 25 {
		v.Observe(later, member.Box{ID: fmt.Sprint("new-", i), Hall: "hall-0"})
	}
	g.Expect(v.Len()).To(Equal(24+1+8), "24, one more that ranks first, and some of those that were lost")
	found := map[string]bool{}
	for range 200 {
		lost, ok := v.Lost(later)
		g.Expect(ok).To(BeTrue())
		found[lost.ID] = true
	}
	g.Expect(found).To(HaveLen(8))
	g.Expect(v.Usable(later, "box-0")).To(BeFalse())
	g.Expect(v.Alone(later)).To(BeFalse())
}

// A member that is gone is known to be so, within a bounded time, by everybody who
// would ask it; those that are there go on being known, by enough.
func TestViewsFollowAFleetThatComesAndGoes(t *testing.T) {
	g := NewWithT(t)
	const fleet = 200
	random := rand.New(rand.NewPCG(3, 4))
	views := map[string]*peers.View{}
	boxes := make([]member.Box, fleet)
	for i := range boxes {
		boxes[i] = box(i)
		views[boxes[i].ID] = peers.New(boxes[i], random.IntN)
		views[boxes[i].ID].Observe(begin, boxes[0])
	}
	gone := func(now time.Time, id string) bool { return now.After(at(20*time.Second)) && id < "box-15" }
	for now := begin; now.Before(at(40 * time.Second)); now = now.Add(time.Second) {
		for _, b := range boxes {
			if gone(now, b.ID) {
				continue
			}
			v := views[b.ID]
			for place := range 3 {
				other, ok := v.Neighbour(now, peers.Where(min(place, 1)), none)
				if !ok || gone(now, other.ID) {
					continue
				}
				told, asked := views[other.ID].Sightings(now, b.Hall), v.Sightings(now, other.Hall)
				v.Observe(now, other)
				v.Sighted(now, told[1:])
				views[other.ID].Observe(now, b)
				views[other.ID].Sighted(now, asked[1:])
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
			if v.Usable(end, b.ID) {
				known[b.ID]++
				g.Expect(gone(end, b.ID)).To(BeFalse(), "%s is gone for 20 s and still known to %s", b.ID, id)
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
	view.Observe(begin, member.Box{ID: "gateway-2", Hall: "a"})
	box, ok := view.Neighbour(begin, peers.OwnHall, func(string) bool { return false })
	fmt.Println(box.ID, ok)
	// Output: gateway-2 true
}

// inRegions is how far halls are in a fleet of three regions, seen from the first.
func inRegions(hall string) locality.Tier {
	return locality.New("hall-0", "", map[string]string{
		"hall-0": "north", "hall-1": "north", "hall-2": "south", "hall-3": "east",
	}).Tier(hall)
}

func TestNeighboursComeFromTheHallsWantedOrTheNearest(t *testing.T) {
	for name, c := range map[string]struct {
		known  []int
		where  peers.Where
		wanted []string // halls
	}{
		"own hall":                          {[]int{0, 1, 2, 3}, peers.OwnHall, []string{"hall-0"}},
		"other halls of the region":         {[]int{0, 1, 2, 3}, peers.OtherHalls, []string{"hall-1"}},
		"other regions":                     {[]int{0, 1, 2, 3}, peers.OtherRegions, []string{"hall-2", "hall-3"}},
		"no other hall":                     {[]int{0, 2, 3}, peers.OtherHalls, []string{"hall-0"}},
		"none of the own hall":              {[]int{1, 2, 3}, peers.OwnHall, []string{"hall-1"}},
		"no other region":                   {[]int{0, 1}, peers.OtherRegions, []string{"hall-0"}},
		"none of the own region":            {[]int{2, 3}, peers.OwnHall, []string{"hall-2", "hall-3"}},
		"none but in another region at all": {[]int{3}, peers.OtherHalls, []string{"hall-3"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			v := peers.New(self, rand.New(rand.NewPCG(1, 2)).IntN)
			v.SetTiers(inRegions)
			for _, i := range c.known {
				v.Observe(begin, box(i))
			}
			drawn := map[string]bool{}
			for range 50 {
				b, ok := v.Neighbour(begin, c.where, none)
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

func TestEachRegionIsLinkedByFewOfItsGateways(t *testing.T) {
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
				v.Observe(begin, box(j))
			}
			for _, id := range failed {
				v.Fail(begin, id)
			}
			if !slices.Contains(failed, own.ID) && v.LinksRegions(begin) {
				out = append(out, own.ID)
			}
		}
		return out
	}
	first := linking()
	g.Expect(first).To(HaveLen(3))
	next := linking(first[0])
	g.Expect(next).To(HaveLen(3), "another makes up for one that does not answer")
	g.Expect(next).To(ContainElements(first[1:]))
}

func TestAFleetOfOneRegionLinksNone(t *testing.T) {
	g := NewWithT(t)
	v := newView(20)
	g.Expect(v.LinksRegions(begin)).To(BeFalse())
	own := peers.New(self, rand.New(rand.NewPCG(1, 20)).IntN)
	own.SetTiers(locality.New(self.Hall, "north", map[string]string{"hall-0": "north"}).Tier)
	for i := range 20 {
		own.Observe(begin, box(i))
	}
	for range 20 {
		for _, where := range []peers.Where{peers.OwnHall, peers.OtherHalls} {
			one, _ := v.Neighbour(begin, where, none)
			other, _ := own.Neighbour(begin, where, none)
			g.Expect(other).To(Equal(one), "a region that all halls share changes nothing")
		}
		g.Expect(own.Sightings(begin, "hall-1")).To(Equal(v.Sightings(begin, "hall-1")))
	}
}

func TestAViewHoldsGatewaysOfEachTier(t *testing.T) {
	g := NewWithT(t)
	v := peers.New(self, rand.New(rand.NewPCG(1, 3)).IntN)
	v.SetTiers(inRegions)
	for i := range 400 {
		v.Observe(begin, box(i))
	}
	g.Expect(v.Len()).To(BeNumerically("<=", 3*24+6))
	told := map[string]int{}
	for _, s := range v.Sightings(begin, "hall-0")[5:] { // after itself and four that rank first
		told[s.Box.Hall]++
	}
	g.Expect(told["hall-0"]).To(Equal(4))
	g.Expect(told["hall-1"]).To(Equal(2))
	g.Expect(told["hall-2"] + told["hall-3"]).To(Equal(2))
}

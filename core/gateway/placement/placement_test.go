package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	objective = time.Second
	usual     = 100 * time.Millisecond
)

var received = time.Unix(1000, 0)

// candidate is a healthy target of the own hall with three slots.
func candidate(running, waiting int, slowness float64, predicted time.Duration) *placement.Candidate {
	return &placement.Candidate{
		Report: load.New(running, waiting, 3, slowness, received), HasReport: true, Healthy: true, Predicted: predicted,
	}
}

func TestDecide(t *testing.T) {
	const (
		early       = 10 * time.Millisecond
		searchEnded = 210 * time.Millisecond // the search has ended
		// waitEnded is when a usual target can't answer maxTier the objective.
		waitEnded = 870 * time.Millisecond
		far       = locality.OtherRegion
	)
	idle, slow := candidate(0, 0, 1, usual), candidate(0, 0, 9, 950*time.Millisecond)
	lastSlot, full := candidate(2, 0, 1, 2*usual), candidate(3, 0, 1, 3*usual)
	overfull := candidate(3, 5, 1, 950*time.Millisecond)
	reserved := candidate(1, 0, 1, usual)
	reserved.Reserved = 2
	lastUseful := candidate(1, 0, 1, usual)
	lastUseful.Reserved = 1
	fullReserved := candidate(3, 0, 1, 3*usual)
	fullReserved.Reserved = 1
	cold, coldBusy, coldNotAllowed := candidate(0, 0, 1, 2*usual), candidate(1, 0, 1, 2*usual), candidate(0, 0, 1, 2*usual)
	cold.Cold, cold.ColdAllowed = true, true
	coldBusy.Cold, coldBusy.ColdAllowed = true, true
	coldNotAllowed.Cold = true
	farSlow := candidate(0, 0, 9, 950*time.Millisecond)
	farSlow.Tier, farSlow.RoundTrip = locality.OtherRegion, 40*time.Millisecond
	unreported := &placement.Candidate{Report: load.New(0, 0, 3, 1, time.Time{}), Healthy: true}
	for name, c := range map[string]struct {
		best             *placement.Candidate
		at               time.Duration
		maxTier          locality.Tier
		yield            bool
		targets          int
		evacuated        int
		regionDisallowed int
		unavailable      int
		backOff          int
		availableIn      time.Duration
		action           placement.Action
		contended        bool
	}{
		"an idle target": {best: idle, maxTier: far, at: early, action: placement.SendToBest},
		"an idle target, only the own hall probed": {best: idle, at: early, maxTier: locality.OwnHall, action: placement.SendToBest},
		"a last slot, only the own hall probed":    {best: lastSlot, at: early, maxTier: locality.OwnHall, action: placement.SendToBest},
		"a full target, only the own hall probed":  {best: full, at: early, maxTier: locality.OwnHall, action: placement.Wait},
		"a last slot": {best: lastSlot, maxTier: far, at: early, action: placement.SendToBest},
		"a last slot that more urgent requests wait for":                              {best: lastSlot, maxTier: far, at: early, yield: true, action: placement.Wait, contended: true},
		"a last slot that more urgent requests wait for, too late for a usual target": {best: lastSlot, maxTier: far, at: waitEnded, yield: true, action: placement.SendToBest},
		"an idle cold target":                                                      {best: cold, maxTier: far, at: early, action: placement.SendToBest},
		"a cold target, only the own hall probed":                                  {best: cold, at: early, maxTier: locality.OwnHall, action: placement.Wait},
		"a busy cold target":                                                       {best: coldBusy, maxTier: far, at: early, action: placement.Wait, contended: true},
		"a busy cold target, last round":                                           {best: coldBusy, maxTier: far, at: searchEnded, action: placement.RefuseFull, contended: true},
		"a cold target, not allowed":                                               {best: coldNotAllowed, maxTier: far, at: early, action: placement.Wait, contended: true},
		"a cold target, not allowed, last round":                                   {best: coldNotAllowed, maxTier: far, at: searchEnded, action: placement.RefuseFull, contended: true},
		"a cold target, not allowed, too late for a usual target":                  {best: coldNotAllowed, maxTier: far, at: waitEnded, action: placement.RefuseFull, contended: true},
		"a target without a report":                                                {best: unreported, maxTier: far, at: early, action: placement.SendToBest},
		"a slow target while a usual one could answer in time":                     {best: slow, maxTier: far, at: early, action: placement.Wait, contended: true},
		"a slow target in the last round":                                          {best: slow, maxTier: far, at: searchEnded, action: placement.Wait, contended: true},
		"a slow target, too late for a usual one":                                  {best: slow, maxTier: far, at: waitEnded, action: placement.SendToBest},
		"a slow target of another region, in time for a usual one":                 {best: farSlow, maxTier: far, at: waitEnded - 60*time.Millisecond, action: placement.Wait, contended: true},
		"a slow target of another region, the round trip too long for a usual one": {best: farSlow, maxTier: far, at: waitEnded - 30*time.Millisecond, action: placement.SendToBest},
		"a last slot, the own region probed":                                       {best: lastSlot, maxTier: locality.OwnRegion, at: early, action: placement.SendToBest},
		"a full target, the own region probed":                                     {best: full, maxTier: locality.OwnRegion, at: early, action: placement.Wait, contended: true},
		"a full target":                                                            {best: full, maxTier: far, at: early, action: placement.Wait, contended: true},
		"a full target in the last round":                                          {best: full, maxTier: far, at: searchEnded, action: placement.SendToBest},
		"an overfull target in the last round":                                     {best: overfull, maxTier: far, at: searchEnded, action: placement.RefuseFull, contended: true},
		"an overfull target in the last round, only the own hall probed":           {best: overfull, at: searchEnded, maxTier: locality.OwnHall, action: placement.RefuseFull},
		"only reserved slots free":                                                 {best: reserved, maxTier: far, at: early, action: placement.Wait, contended: true},
		"only reserved slots free, last round":                                     {best: reserved, maxTier: far, at: searchEnded, action: placement.RefuseFull, contended: true},
		"one slot beyond the reserved ones":                                        {best: lastUseful, maxTier: far, at: early, action: placement.SendToBest},
		"one slot beyond the reserved ones that more urgent requests wait for":     {best: lastUseful, maxTier: far, at: early, yield: true, action: placement.Wait, contended: true},
		"a full target that slows down, last round":                                {best: fullReserved, maxTier: far, at: searchEnded, action: placement.RefuseFull, contended: true},
		"no answer":                                  {maxTier: far, at: early, action: placement.Wait, contended: true},
		"no answer, only the own hall probed":        {at: early, maxTier: locality.OwnHall, action: placement.Wait, contended: true},
		"no answer in the last round":                {maxTier: far, at: searchEnded, action: placement.Fallback, contended: true},
		"no target is known":                         {maxTier: far, at: early, targets: -1, action: placement.RefuseNoTarget},
		"none in an allowed region":                  {at: early, targets: -1, regionDisallowed: 3, evacuated: 2, action: placement.RefuseRegion},
		"some in an allowed region":                  {at: early, regionDisallowed: 3, action: placement.Wait, contended: true},
		"none has credit":                            {maxTier: far, at: early, unavailable: 1, action: placement.RefuseNoCredit},
		"none has credit, in the last round":         {maxTier: far, at: searchEnded, unavailable: 1, action: placement.RefuseNoCredit},
		"some have credit":                           {maxTier: far, at: early, targets: 1, unavailable: 1, action: placement.Wait, contended: true},
		"all ask for back-off":                       {maxTier: far, at: early, unavailable: 1, backOff: 1, action: placement.RefuseBackOff, contended: true},
		"back-off ends during the search":            {maxTier: far, at: early, unavailable: 1, backOff: 1, availableIn: searchEnded / 2, action: placement.Wait, contended: true},
		"back-off ends after the search":             {maxTier: far, at: searchEnded, unavailable: 1, backOff: 1, availableIn: time.Millisecond, action: placement.RefuseBackOff, contended: true},
		"some ask for back-off, some have no credit": {maxTier: far, at: early, targets: 1, unavailable: 2, backOff: 1, action: placement.RefuseBackOff, contended: true},
		"one target does not ask for back-off":       {maxTier: far, at: early, targets: 1, unavailable: 1, backOff: 1, action: placement.Wait, contended: true},
		"all halls are evacuated":                    {maxTier: far, at: early, targets: -1, evacuated: 2, action: placement.RefuseEvacuated},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := placement.Decide(placement.State{
				Now: received.Add(c.at), Deadlines: placement.NewDeadlines(received, objective, usual), Targets: c.targets + 1, Evacuated: c.evacuated, RegionDisallowed: c.regionDisallowed,
				Unavailable: c.unavailable, BackingOff: c.backOff, AvailableIn: cmp.Or(c.availableIn, 700*time.Millisecond),
				Best: c.best, MaxTier: c.maxTier, Yield: c.yield,
			})
			g.Expect(d.Action()).To(Equal(c.action))
			g.Expect(d.Contended()).To(Equal(c.contended))
			refuses := c.action == placement.RefuseFull || c.action == placement.RefuseNoTarget ||
				c.action == placement.RefuseEvacuated || c.action == placement.RefuseRegion || c.action == placement.RefuseNoCredit ||
				c.action == placement.RefuseBackOff
			g.Expect(d.Refusal() != nil).To(Equal(refuses))
			if refuses {
				g.Expect(d.Refusal().Verdict()).To(Equal(verdict.NotRun))
			}
		})
	}
}

func TestCandidateIsIdleOnlyIfFreeFastAndUnsaturated(t *testing.T) {
	saturated := candidate(2, 0, 1, usual)
	saturated.Saturated = true
	unhealthy := candidate(0, 0, 1, usual)
	unhealthy.Healthy = false
	for name, c := range map[string]struct {
		candidate  *placement.Candidate
		free, idle bool
	}{
		"free at the usual speed": {candidate(1, 0, 1.2, usual), true, true},
		"slow":                    {candidate(1, 0, 1.3, usual), true, false},
		"saturated":               {saturated, true, false},
		"full":                    {candidate(3, 0, 1, usual), false, false},
		"unhealthy":               {unhealthy, false, false},
		"no report":               {&placement.Candidate{Healthy: true, Report: load.New(0, 0, 3, 1, received)}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.candidate.Free()).To(Equal(c.free))
			g.Expect(c.candidate.Idle()).To(Equal(c.idle))
		})
	}
}

func TestBetterPrefersFasterNearerAndHealthyCandidates(t *testing.T) {
	g := NewWithT(t)
	better := func(change func(c *placement.Candidate), predicted time.Duration) bool {
		other := candidate(0, 0, 1, predicted)
		change(other)
		return placement.Better(candidate(0, 0, 1, usual), other)
	}
	same := func(*placement.Candidate) {}
	remote := func(c *placement.Candidate) { c.Tier = locality.OwnRegion }
	far := func(c *placement.Candidate) { c.Tier = locality.OtherRegion }
	unhealthy := func(c *placement.Candidate) { c.Healthy = false }
	g.Expect(better(same, usual+1)).To(BeTrue(), "faster")
	g.Expect(better(same, usual)).To(BeFalse(), "equally fast")
	g.Expect(better(remote, usual-20*time.Millisecond+1)).To(BeTrue(), "the target in the other hall is not fast enough")
	g.Expect(better(remote, usual-20*time.Millisecond)).To(BeFalse())
	g.Expect(better(far, usual-40*time.Millisecond+1)).To(BeTrue(), "the target in the other region is not fast enough")
	g.Expect(better(far, usual-40*time.Millisecond)).To(BeFalse())
	g.Expect(better(unhealthy, 0)).To(BeTrue(), "unhealthy targets come last")
}

func targets(hall string, n int) []catalog.Target {
	out := make([]catalog.Target, n)
	for i := range out {
		out[i] = catalog.Target{ID: fmt.Sprint(hall, i), Hall: hall, Slots: 3}
	}
	return out
}

func cold(list []catalog.Target) []catalog.Target {
	for i := range list {
		list[i].Cold = true
	}
	return list
}

func ids(list []catalog.Target) []string {
	out := []string{}
	for _, t := range list {
		out = append(out, t.ID)
	}
	return out
}

func noShuffle(int, func(i, j int)) {}

func never(catalog.Life) bool { return false }

// filter returns the filter of a gateway in hall a, whose region also has hall b; c and d
// are far, each in its own region.
func filter(change func(f *placement.Filter)) placement.Filter {
	m := locality.New("a", "north", map[string]string{"a": "north", "b": "north", "c": "south", "d": "east"})
	f := placement.Filter{
		Tier: m.Tier, Ejected: never, Region: func(hall string) string { return hall },
		RoundTrip: func(string) (time.Duration, bool) { return 40 * time.Millisecond, true },
		Cold: func(list []catalog.Target) (n int) {
			for _, t := range list {
				if t.Cold {
					n++
				}
			}
			return n
		},
	}
	change(&f)
	return f
}

func anyOf(list ...string) func(catalog.Life) bool {
	return func(life catalog.Life) bool { return slices.Contains(list, life.ID) }
}

func TestOrder(t *testing.T) {
	all := slices.Concat(targets("d", 1), targets("c", 2), targets("b", 2), targets("a", 3))
	always := func(catalog.Life) bool { return true }
	trips := func(c, d time.Duration) func(string) (time.Duration, bool) {
		of := map[string]time.Duration{"c": c, "d": d}
		return func(hall string) (time.Duration, bool) { return of[hall], of[hall] > 0 }
	}
	for name, c := range map[string]struct {
		targets   []catalog.Target
		change    func(f *placement.Filter)
		near, far []string
		reach     placement.Reach
	}{
		"the own hall first, no other region": {change: func(*placement.Filter) {}, near: []string{"a0", "a1", "a2", "b0", "b1"}},
		"without targets that received the request": {change: func(f *placement.Filter) { f.Avoid = []catalog.Life{{ID: "a0"}, {ID: "b1"}} },
			near: []string{"a1", "a2", "b0"}},
		"without ejected targets": {change: func(f *placement.Filter) { f.Ejected = anyOf("a1") }, near: []string{"a0", "a2", "b0", "b1"}},
		"ejected targets if there are no others": {change: func(f *placement.Filter) { f.Ejected, f.Avoid = always, []catalog.Life{{ID: "a0"}} },
			near: []string{"b0", "b1", "a1", "a2"}},
		"connected targets of the own hall first": {change: func(f *placement.Filter) { f.Connected = anyOf("a2", "b1") },
			near: []string{"a2", "a0", "a1", "b0", "b1"}},
		"other regions if all near targets are ejected": {change: func(f *placement.Filter) { f.Ejected = anyOf("a0", "a1", "a2", "b0", "b1") },
			near: []string{}, far: []string{"d0", "c0", "c1"}, reach: placement.NoneInRegion},
		"other regions if the own has no targets": {targets: targets("c", 2), change: func(*placement.Filter) {},
			near: []string{}, far: []string{"c0", "c1"}, reach: placement.NoneInRegion},
		"the nearer region first": {targets: slices.Concat(targets("d", 1), targets("c", 1)),
			change: func(f *placement.Filter) { f.RoundTrip = trips(40*time.Millisecond, 50*time.Millisecond) },
			near:   []string{}, far: []string{"c0", "d0"}, reach: placement.NoneInRegion},
		"two regions about equally far in shuffled order": {targets: slices.Concat(targets("d", 1), targets("c", 1)),
			change: func(f *placement.Filter) { f.RoundTrip = trips(40*time.Millisecond, 49*time.Millisecond) },
			near:   []string{}, far: []string{"d0", "c0"}, reach: placement.NoneInRegion},
		"a region never measured counts as nearest": {targets: slices.Concat(targets("d", 1), targets("c", 1)),
			change: func(f *placement.Filter) { f.RoundTrip = trips(40*time.Millisecond, 0) },
			near:   []string{}, far: []string{"d0", "c0"}, reach: placement.NoneInRegion},
		"a third of the other region's targets is enough": {targets: slices.Concat(targets("c", 3), targets("a", 1)), change: func(*placement.Filter) {},
			near: []string{"a0"}},
		"less than a third is too few": {targets: slices.Concat(targets("c", 4), targets("a", 1)), change: func(*placement.Filter) {},
			near: []string{"a0"}, far: []string{"c0", "c1", "c2", "c3"}, reach: placement.FewInRegion},
		"cold targets of the own region don't count": {targets: slices.Concat(targets("c", 3), cold(targets("a", 3))), change: func(*placement.Filter) {},
			near: []string{"a0", "a1", "a2"}, far: []string{"c0", "c1", "c2"}, reach: placement.FewInRegion},
		"cold targets of other regions don't count": {targets: slices.Concat(cold(targets("c", 3)), cold(targets("a", 3))), change: func(*placement.Filter) {},
			near: []string{"a0", "a1", "a2"}},
		"compared with the average of the other regions": {targets: slices.Concat(targets("c", 3), targets("d", 3), targets("b", 1)), change: func(*placement.Filter) {},
			near: []string{"b0"}},
		"no targets": {targets: []catalog.Target{}, change: func(*placement.Filter) {}, near: []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			if c.targets == nil {
				c.targets = all
			}
			order := placement.NewOrder(c.targets, filter(c.change), noShuffle)
			g.Expect(ids(order.Near())).To(Equal(c.near))
			g.Expect(ids(order.Far())).To(ConsistOf(c.far))
			if c.far != nil {
				g.Expect(ids(order.Far())).To(Equal(c.far))
			}
			g.Expect(order.Reach()).To(Equal(c.reach))
		})
	}
}

func TestOrderShufflesTargets(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	firstIDs := map[string]bool{}
	for range 100 {
		order := placement.NewOrder(targets("a", 3), filter(func(*placement.Filter) {}), random.Shuffle)
		firstIDs[order.Near()[0].ID] = true
	}
	g.Expect(firstIDs).To(HaveLen(3))
}

func TestWaves(t *testing.T) {
	const hall, region, far = locality.OwnHall, locality.OwnRegion, locality.OtherRegion
	for name, c := range map[string]struct {
		hall, region, far int
		effort            placement.ProbeScope
		waves             []string // the halls of each wave's targets
	}{
		"two at a time, four of each":                      {6, 6, 0, placement.ProbeScope{MaxTier: far}, []string{"aa", "aa", "bb", "bb"}},
		"an odd number":                                    {3, 1, 0, placement.ProbeScope{MaxTier: far}, []string{"aa", "a", "b"}},
		"one at a time where most are idle":                {2, 1, 0, placement.ProbeScope{MaxTier: far, MostlyIdle: true}, []string{"a", "a", "b"}},
		"fewer while requests wait":                        {6, 6, 0, placement.ProbeScope{MaxTier: far, Contended: true}, []string{"aa", "bb"}},
		"the own hall alone":                               {3, 6, 0, placement.ProbeScope{MaxTier: hall}, []string{"aa", "a"}},
		"the own region if the own hall has no targets":    {0, 3, 0, placement.ProbeScope{MaxTier: hall}, []string{"bb", "b"}},
		"no target":                                        {0, 0, 0, placement.ProbeScope{MaxTier: far}, []string{}},
		"fewer, one at a time, only the own hall":          {6, 6, 0, placement.ProbeScope{MaxTier: hall, Contended: true, MostlyIdle: true}, []string{"a", "a"}},
		"other regions last":                               {1, 0, 5, placement.ProbeScope{MaxTier: far}, []string{"a", "cc", "cc"}},
		"no other regions while limited to the own region": {1, 0, 5, placement.ProbeScope{MaxTier: region}, []string{"a"}},
		"other regions if there are no nearer targets":     {0, 0, 5, placement.ProbeScope{MaxTier: hall}, []string{"cc", "cc"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			all := slices.Concat(targets("a", c.hall), targets("b", c.region), targets("c", c.far))
			waveHalls := []string{}
			for _, wave := range placement.NewOrder(all, filter(func(*placement.Filter) {}), noShuffle).Waves(c.effort) {
				of := ""
				for _, target := range wave {
					of += target.Hall
				}
				waveHalls = append(waveHalls, of)
			}
			g.Expect(waveHalls).To(Equal(c.waves))
		})
	}
}

func TestSortByOwnLoad(t *testing.T) {
	g := NewWithT(t)
	list := targets("a", 3)
	list[1].Slots = 30
	list[2].Slots = 0
	active := map[catalog.Life]int{{ID: "a0"}: 1, {ID: "a1"}: 2, {ID: "a2"}: 1}
	placement.SortByOwnLoad(list, func(life catalog.Life) int { return active[life] })
	g.Expect(ids(list)).To(Equal([]string{"a1", "a0", "a2"}))
}

func TestSearchTimeouts(t *testing.T) {
	g := NewWithT(t)
	g.Expect(placement.RoundTimeout(time.Second, 0)).To(Equal(80 * time.Millisecond))
	g.Expect(placement.RoundTimeout(time.Millisecond, 0)).To(Equal(4*time.Millisecond), "the minimum")
	g.Expect(placement.RoundTimeout(time.Second, 40*time.Millisecond)).To(Equal(160*time.Millisecond), "two round trips for a probe on a new connection")
	g.Expect(placement.Pause(time.Second)).To(Equal(50*time.Millisecond), "the maximum")
	g.Expect(placement.Pause(100 * time.Millisecond)).To(Equal(8 * time.Millisecond))
	tierAfter := func(after time.Duration, bytes float64, contended bool) locality.Tier {
		return placement.NewTierWaits(bytes, time.Second).MaxTier(received.Add(after), received, contended)
	}
	const ms = time.Millisecond
	g.Expect(tierAfter(24*ms-1, 2048, false)).To(Equal(locality.OwnHall), "24 ms for 2 kB")
	g.Expect(tierAfter(24*ms, 2048, false)).To(Equal(locality.OwnRegion), "the wait for the hall has ended")
	g.Expect(tierAfter(48*ms-1, 2048, false)).To(Equal(locality.OwnRegion), "twice as long for the region")
	g.Expect(tierAfter(48*ms, 2048, false)).To(Equal(locality.OtherRegion))
	g.Expect(tierAfter(120*ms-1, 1<<20, false)).To(Equal(locality.OwnHall))
	g.Expect(tierAfter(120*ms, 1<<20, false)).To(Equal(locality.OwnRegion), "bounded by the objective")
	g.Expect(tierAfter(200*ms, 1<<20, false)).To(Equal(locality.OtherRegion), "bounded by the objective")
	g.Expect(tierAfter(0, 0, false)).To(Equal(locality.OtherRegion), "no answer length known")
	g.Expect(tierAfter(0, 2048, true)).To(Equal(locality.OtherRegion), "other requests find no target at all")
}

func TestContention(t *testing.T) {
	g := NewWithT(t)
	c := placement.NewContention()
	g.Expect(c.Contended(received)).To(BeFalse())
	c.RecordUnplaced(received, 1)
	g.Expect(c.Contended(received)).To(BeTrue())
	g.Expect(c.ShouldYield(received, 2)).To(BeTrue(), "to a more urgent request")
	g.Expect(c.ShouldYield(received, 1)).To(BeFalse(), "not to one of the same priority")
	g.Expect(c.ShouldYield(received, 0)).To(BeFalse())
	later := received.Add(500 * time.Millisecond)
	g.Expect(c.Contended(later)).To(BeFalse(), "the contention has expired")
	g.Expect(c.ShouldYield(later, 2)).To(BeFalse())
}

func ExampleDecide() {
	best := &placement.Candidate{
		Report: load.New(1, 0, 3, 1, received), HasReport: true, Healthy: true, Predicted: 90 * time.Millisecond,
	}
	decision := placement.Decide(placement.State{
		Now: received, Deadlines: placement.NewDeadlines(received, time.Second, 90*time.Millisecond), Targets: 4, Best: best,
		MaxTier: locality.OtherRegion,
	})
	fmt.Println(decision.Action() == placement.SendToBest)
	// Output: true
}

func BenchmarkDecide(b *testing.B) {
	state := placement.State{
		Now: received, Deadlines: placement.NewDeadlines(received, objective, usual), Targets: 4, Best: candidate(1, 0, 1, usual),
		MaxTier: locality.OtherRegion,
	}
	b.ReportAllocs()
	for b.Loop() {
		if placement.Decide(state).Action() != placement.SendToBest {
			b.Fatal("an idle target was not chosen")
		}
	}
}

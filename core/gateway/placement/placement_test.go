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

var began = time.Unix(1000, 0)

// candidate is a healthy target of the own hall with three slots.
func candidate(running, waiting int, slowness float64, predicted time.Duration) *placement.Candidate {
	return &placement.Candidate{
		Report: load.New(running, waiting, 3, slowness, began), HasReport: true, Healthy: true, Predicted: predicted,
	}
}

func TestDecide(t *testing.T) {
	const (
		early = 10 * time.Millisecond
		late  = 210 * time.Millisecond // the search has ended
		// hopeless is when a usual target can't answer within the objective.
		hopeless = 870 * time.Millisecond
		far      = locality.OtherRegion
	)
	idle, slow := candidate(0, 0, 1, usual), candidate(0, 0, 9, 950*time.Millisecond)
	lastSlot, full := candidate(2, 0, 1, 2*usual), candidate(3, 0, 1, 3*usual)
	overfull := candidate(3, 5, 1, 950*time.Millisecond)
	reserved := candidate(1, 0, 1, usual)
	reserved.Reserved = 2
	lastWorth := candidate(1, 0, 1, usual)
	lastWorth.Reserved = 1
	fullReserved := candidate(3, 0, 1, 3*usual)
	fullReserved.Reserved = 1
	cold, coldBusy, coldClosed := candidate(0, 0, 1, 2*usual), candidate(1, 0, 1, 2*usual), candidate(0, 0, 1, 2*usual)
	cold.Cold, cold.Turn = true, true
	coldBusy.Cold, coldBusy.Turn = true, true
	coldClosed.Cold = true
	farSlow := candidate(0, 0, 9, 950*time.Millisecond)
	farSlow.Tier, farSlow.Trip = locality.OtherRegion, 40*time.Millisecond
	silent := &placement.Candidate{Report: load.New(0, 0, 3, 1, time.Time{}), Healthy: true}
	for name, c := range map[string]struct {
		best      *placement.Candidate
		at        time.Duration
		within    locality.Tier
		yield     bool
		targets   int
		evacuated int
		barred    int
		closed    int
		backOff   int
		opensIn   time.Duration
		action    placement.Action
		contended bool
	}{
		"an idle target":                                      {best: idle, within: far, at: early, action: placement.Take},
		"an idle target of the own hall alone":                {best: idle, at: early, within: locality.OwnHall, action: placement.Take},
		"a last slot, only the own hall probed":               {best: lastSlot, at: early, within: locality.OwnHall, action: placement.Take},
		"a full target, only the own hall probed":             {best: full, at: early, within: locality.OwnHall, action: placement.Wait},
		"a last slot":                                         {best: lastSlot, within: far, at: early, action: placement.Take},
		"a last slot that others wait for":                    {best: lastSlot, within: far, at: early, yield: true, action: placement.Wait, contended: true},
		"a last slot that others wait for, no hope":           {best: lastSlot, within: far, at: hopeless, yield: true, action: placement.Take},
		"a cold target that has nothing to do":                {best: cold, within: far, at: early, action: placement.Take},
		"a cold target, only the own hall probed":             {best: cold, at: early, within: locality.OwnHall, action: placement.Wait},
		"a cold target that works":                            {best: coldBusy, within: far, at: early, action: placement.Wait, contended: true},
		"a cold target that works, last round":                {best: coldBusy, within: far, at: late, action: placement.RefuseFull, contended: true},
		"a cold target, no turn":                              {best: coldClosed, within: far, at: early, action: placement.Wait, contended: true},
		"a cold target, no turn, last round":                  {best: coldClosed, within: far, at: late, action: placement.RefuseFull, contended: true},
		"a cold target, no turn, no hope":                     {best: coldClosed, within: far, at: hopeless, action: placement.RefuseFull, contended: true},
		"a target without a report":                           {best: silent, within: far, at: early, action: placement.Take},
		"a slow target while there is hope":                   {best: slow, within: far, at: early, action: placement.Wait, contended: true},
		"a slow target in the last round":                     {best: slow, within: far, at: late, action: placement.Wait, contended: true},
		"a slow target without hope":                          {best: slow, within: far, at: hopeless, action: placement.Take},
		"a slow target of another region while there is hope": {best: farSlow, within: far, at: hopeless - 60*time.Millisecond, action: placement.Wait, contended: true},
		"the same where the way there leaves none":            {best: farSlow, within: far, at: hopeless - 30*time.Millisecond, action: placement.Take},
		"a last slot, the own region probed":                  {best: lastSlot, within: locality.OwnRegion, at: early, action: placement.Take},
		"a full target, the own region probed":                {best: full, within: locality.OwnRegion, at: early, action: placement.Wait, contended: true},
		"a full target":                                       {best: full, within: far, at: early, action: placement.Wait, contended: true},
		"a full target in the last round":                     {best: full, within: far, at: late, action: placement.Take},
		"a full target in the last round, not in time":        {best: overfull, within: far, at: late, action: placement.RefuseFull, contended: true},
		"the same, only the own hall probed":                  {best: overfull, at: late, within: locality.OwnHall, action: placement.RefuseFull},
		"a slot that is better left free":                     {best: reserved, within: far, at: early, action: placement.Wait, contended: true},
		"the same in the last round":                          {best: reserved, within: far, at: late, action: placement.RefuseFull, contended: true},
		"the last slot that is worth taking":                  {best: lastWorth, within: far, at: early, action: placement.Take},
		"the same, that others wait for":                      {best: lastWorth, within: far, at: early, yield: true, action: placement.Wait, contended: true},
		"a full target that slows down, last round":           {best: fullReserved, within: far, at: late, action: placement.RefuseFull, contended: true},
		"no answer":                                  {within: far, at: early, action: placement.Wait, contended: true},
		"no answer, only the own hall probed":        {at: early, within: locality.OwnHall, action: placement.Wait, contended: true},
		"no answer in the last round":                {within: far, at: late, action: placement.Fallback, contended: true},
		"no target is known":                         {within: far, at: early, targets: -1, action: placement.RefuseNoTarget},
		"none in a region that is allowed":           {at: early, targets: -1, barred: 3, evacuated: 2, action: placement.RefuseRegion},
		"some in a region that is allowed":           {at: early, barred: 3, action: placement.Wait, contended: true},
		"none has credit":                            {within: far, at: early, closed: 1, action: placement.RefuseSpent},
		"none has credit, in the last round":         {within: far, at: late, closed: 1, action: placement.RefuseSpent},
		"some have credit":                           {within: far, at: early, targets: 1, closed: 1, action: placement.Wait, contended: true},
		"all ask for back-off":                       {within: far, at: early, closed: 1, backOff: 1, action: placement.RefuseBackOff, contended: true},
		"one may be back while it searches":          {within: far, at: early, closed: 1, backOff: 1, opensIn: late / 2, action: placement.Wait, contended: true},
		"one may be back after that":                 {within: far, at: late, closed: 1, backOff: 1, opensIn: time.Millisecond, action: placement.RefuseBackOff, contended: true},
		"some ask for back-off, some have no credit": {within: far, at: early, targets: 1, closed: 2, backOff: 1, action: placement.RefuseBackOff, contended: true},
		"one does not ask for back-off":              {within: far, at: early, targets: 1, closed: 1, backOff: 1, action: placement.Wait, contended: true},
		"all halls are evacuated":                    {within: far, at: early, targets: -1, evacuated: 2, action: placement.RefuseEvacuated},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := placement.Decide(placement.State{
				Now: began.Add(c.at), Deadlines: placement.NewDeadlines(began, objective, usual), Targets: c.targets + 1, Evacuated: c.evacuated, Barred: c.barred,
				Closed: c.closed, BackingOff: c.backOff, OpensIn: cmp.Or(c.opensIn, 700*time.Millisecond),
				Best: c.best, Within: c.within, Yield: c.yield,
			})
			g.Expect(d.Action()).To(Equal(c.action))
			g.Expect(d.Contended()).To(Equal(c.contended))
			refuses := c.action == placement.RefuseFull || c.action == placement.RefuseNoTarget ||
				c.action == placement.RefuseEvacuated || c.action == placement.RefuseRegion || c.action == placement.RefuseSpent ||
				c.action == placement.RefuseBackOff
			g.Expect(d.Refusal() != nil).To(Equal(refuses))
			if refuses {
				g.Expect(d.Refusal().Verdict()).To(Equal(verdict.NotRun))
			}
		})
	}
}

func TestATargetIsIdleOnlyIfNoOtherCouldBeBetterByMuch(t *testing.T) {
	saturated := candidate(2, 0, 1, usual)
	saturated.Saturated = true
	ill := candidate(0, 0, 1, usual)
	ill.Healthy = false
	for name, c := range map[string]struct {
		candidate  *placement.Candidate
		free, idle bool
	}{
		"free at the usual speed": {candidate(1, 0, 1.2, usual), true, true},
		"slow":                    {candidate(1, 0, 1.3, usual), true, false},
		"saturated":               {saturated, true, false},
		"full":                    {candidate(3, 0, 1, usual), false, false},
		"ill":                     {ill, false, false},
		"no report":               {&placement.Candidate{Healthy: true, Report: load.New(0, 0, 3, 1, began)}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.candidate.Free()).To(Equal(c.free))
			g.Expect(c.candidate.Idle()).To(Equal(c.idle))
		})
	}
}

func TestTheBetterTargetAnswersSoonerIsNearerAndWell(t *testing.T) {
	g := NewWithT(t)
	better := func(change func(c *placement.Candidate), predicted time.Duration) bool {
		other := candidate(0, 0, 1, predicted)
		change(other)
		return placement.Better(candidate(0, 0, 1, usual), other)
	}
	same := func(*placement.Candidate) {}
	remote := func(c *placement.Candidate) { c.Tier = locality.OwnRegion }
	far := func(c *placement.Candidate) { c.Tier = locality.OtherRegion }
	ill := func(c *placement.Candidate) { c.Healthy = false }
	g.Expect(better(same, usual+1)).To(BeTrue(), "sooner")
	g.Expect(better(same, usual)).To(BeFalse(), "as soon")
	g.Expect(better(remote, usual-20*time.Millisecond+1)).To(BeTrue(), "the other hall is not faster by enough")
	g.Expect(better(remote, usual-20*time.Millisecond)).To(BeFalse())
	g.Expect(better(far, usual-40*time.Millisecond+1)).To(BeTrue(), "the other region is not faster by enough")
	g.Expect(better(far, usual-40*time.Millisecond)).To(BeFalse())
	g.Expect(better(ill, 0)).To(BeTrue(), "ill targets come last")
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

func asGiven(int, func(i, j int)) {}

func nobody(catalog.Life) bool { return false }

// filter is that of a gateway in hall a of a region that has hall b, too; c and d are
// far, each in a region of its own.
func filter(change func(f *placement.Filter)) placement.Filter {
	m := locality.New("a", "north", map[string]string{"a": "north", "b": "north", "c": "south", "d": "east"})
	f := placement.Filter{
		Tier: m.Tier, Ejected: nobody, Region: func(hall string) string { return hall },
		Trip: func(string) (time.Duration, bool) { return 40 * time.Millisecond, true },
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

func among(list ...string) func(catalog.Life) bool {
	return func(life catalog.Life) bool { return slices.Contains(list, life.ID) }
}

func TestOrder(t *testing.T) {
	all := slices.Concat(targets("d", 1), targets("c", 2), targets("b", 2), targets("a", 3))
	everyone := func(catalog.Life) bool { return true }
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
		"not those that had the request": {change: func(f *placement.Filter) { f.Avoid = []catalog.Life{{ID: "a0"}, {ID: "b1"}} },
			near: []string{"a1", "a2", "b0"}},
		"not the ejected": {change: func(f *placement.Filter) { f.Ejected = among("a1") }, near: []string{"a0", "a2", "b0", "b1"}},
		"the ejected if there are no others": {change: func(f *placement.Filter) { f.Ejected, f.Avoid = everyone, []catalog.Life{{ID: "a0"}} },
			near: []string{"b0", "b1", "a1", "a2"}},
		"connected ones of the own hall first": {change: func(f *placement.Filter) { f.Connected = among("a2", "b1") },
			near: []string{"a2", "a0", "a1", "b0", "b1"}},
		"another region once the own has none": {change: func(f *placement.Filter) { f.Ejected = among("a0", "a1", "a2", "b0", "b1") },
			near: []string{}, far: []string{"d0", "c0", "c1"}, reach: placement.NoneInRegion},
		"none of the own in the store": {targets: targets("c", 2), change: func(*placement.Filter) {},
			near: []string{}, far: []string{"c0", "c1"}, reach: placement.NoneInRegion},
		"the nearer region first": {targets: slices.Concat(targets("d", 1), targets("c", 1)),
			change: func(f *placement.Filter) { f.Trip = trips(40*time.Millisecond, 50*time.Millisecond) },
			near:   []string{}, far: []string{"c0", "d0"}, reach: placement.NoneInRegion},
		"two that are about as far, as drawn": {targets: slices.Concat(targets("d", 1), targets("c", 1)),
			change: func(f *placement.Filter) { f.Trip = trips(40*time.Millisecond, 49*time.Millisecond) },
			near:   []string{}, far: []string{"d0", "c0"}, reach: placement.NoneInRegion},
		"one that was never measured, as the nearest": {targets: slices.Concat(targets("d", 1), targets("c", 1)),
			change: func(f *placement.Filter) { f.Trip = trips(40*time.Millisecond, 0) },
			near:   []string{}, far: []string{"d0", "c0"}, reach: placement.NoneInRegion},
		"a third of what others have is enough": {targets: slices.Concat(targets("c", 3), targets("a", 1)), change: func(*placement.Filter) {},
			near: []string{"a0"}},
		"less is not": {targets: slices.Concat(targets("c", 4), targets("a", 1)), change: func(*placement.Filter) {},
			near: []string{"a0"}, far: []string{"c0", "c1", "c2", "c3"}, reach: placement.FewInRegion},
		"cold ones don't count": {targets: slices.Concat(targets("c", 3), cold(targets("a", 3))), change: func(*placement.Filter) {},
			near: []string{"a0", "a1", "a2"}, far: []string{"c0", "c1", "c2"}, reach: placement.FewInRegion},
		"nor do those of others": {targets: slices.Concat(cold(targets("c", 3)), cold(targets("a", 3))), change: func(*placement.Filter) {},
			near: []string{"a0", "a1", "a2"}},
		"by what each other region has": {targets: slices.Concat(targets("c", 3), targets("d", 3), targets("b", 1)), change: func(*placement.Filter) {},
			near: []string{"b0"}},
		"none": {targets: []catalog.Target{}, change: func(*placement.Filter) {}, near: []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			if c.targets == nil {
				c.targets = all
			}
			order := placement.NewOrder(c.targets, filter(c.change), asGiven)
			g.Expect(ids(order.Near())).To(Equal(c.near))
			g.Expect(ids(order.Far())).To(ConsistOf(c.far))
			if c.far != nil {
				g.Expect(ids(order.Far())).To(Equal(c.far))
			}
			g.Expect(order.Reach()).To(Equal(c.reach))
		})
	}
}

func TestOrderIsDrawn(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	first := map[string]bool{}
	for range 100 {
		order := placement.NewOrder(targets("a", 3), filter(func(*placement.Filter) {}), random.Shuffle)
		first[order.Near()[0].ID] = true
	}
	g.Expect(first).To(HaveLen(3))
}

func TestWaves(t *testing.T) {
	const hall, region, far = locality.OwnHall, locality.OwnRegion, locality.OtherRegion
	for name, c := range map[string]struct {
		hall, region, far int
		effort            placement.Effort
		waves             []string // the halls of each one's targets
	}{
		"two at a time, four of each":          {6, 6, 0, placement.Effort{Within: far}, []string{"aa", "aa", "bb", "bb"}},
		"an odd one":                           {3, 1, 0, placement.Effort{Within: far}, []string{"aa", "a", "b"}},
		"one at a time where most are idle":    {2, 1, 0, placement.Effort{Within: far, MostlyIdle: true}, []string{"a", "a", "b"}},
		"few while requests wait":              {6, 6, 0, placement.Effort{Within: far, Contended: true}, []string{"aa", "bb"}},
		"the own hall alone":                   {3, 6, 0, placement.Effort{Within: hall}, []string{"aa", "a"}},
		"others where the own hall has none":   {0, 3, 0, placement.Effort{Within: hall}, []string{"bb", "b"}},
		"no target":                            {0, 0, 0, placement.Effort{Within: far}, []string{}},
		"few, one at a time, of the own alone": {6, 6, 0, placement.Effort{Within: hall, Contended: true, MostlyIdle: true}, []string{"a", "a"}},
		"other regions last":                   {1, 0, 5, placement.Effort{Within: far}, []string{"a", "cc", "cc"}},
		"other regions once the region waited": {1, 0, 5, placement.Effort{Within: region}, []string{"a"}},
		"other regions where it has none":      {0, 0, 5, placement.Effort{Within: hall}, []string{"cc", "cc"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			all := slices.Concat(targets("a", c.hall), targets("b", c.region), targets("c", c.far))
			halls := []string{}
			for _, wave := range placement.NewOrder(all, filter(func(*placement.Filter) {}), asGiven).Waves(c.effort) {
				of := ""
				for _, target := range wave {
					of += target.Hall
				}
				halls = append(halls, of)
			}
			g.Expect(halls).To(Equal(c.waves))
		})
	}
}

func TestByOwnCounts(t *testing.T) {
	g := NewWithT(t)
	list := targets("a", 3)
	list[1].Slots = 30
	list[2].Slots = 0
	active := map[catalog.Life]int{{ID: "a0"}: 1, {ID: "a1"}: 2, {ID: "a2"}: 1}
	placement.ByOwnCounts(list, func(life catalog.Life) int { return active[life] })
	g.Expect(ids(list)).To(Equal([]string{"a1", "a0", "a2"}))
}

func TestTimesOfASearch(t *testing.T) {
	g := NewWithT(t)
	g.Expect(placement.RoundTimeout(time.Second, 0)).To(Equal(80 * time.Millisecond))
	g.Expect(placement.RoundTimeout(time.Millisecond, 0)).To(Equal(4*time.Millisecond), "the least")
	g.Expect(placement.RoundTimeout(time.Second, 40*time.Millisecond)).To(Equal(160*time.Millisecond), "a new connection and a probe of it")
	g.Expect(placement.Pause(time.Second)).To(Equal(50*time.Millisecond), "the longest")
	g.Expect(placement.Pause(100 * time.Millisecond)).To(Equal(8 * time.Millisecond))
	within := func(after time.Duration, bytes float64, contended bool) locality.Tier {
		return placement.NewWaits(bytes, time.Second).Within(began.Add(after), began, contended)
	}
	const ms = time.Millisecond
	g.Expect(within(24*ms-1, 2048, false)).To(Equal(locality.OwnHall), "24 ms for 2 kB")
	g.Expect(within(24*ms, 2048, false)).To(Equal(locality.OwnRegion), "the wait is over")
	g.Expect(within(48*ms-1, 2048, false)).To(Equal(locality.OwnRegion), "twice that for the region")
	g.Expect(within(48*ms, 2048, false)).To(Equal(locality.OtherRegion))
	g.Expect(within(120*ms-1, 1<<20, false)).To(Equal(locality.OwnHall))
	g.Expect(within(120*ms, 1<<20, false)).To(Equal(locality.OwnRegion), "bounded by the objective")
	g.Expect(within(200*ms, 1<<20, false)).To(Equal(locality.OtherRegion), "likewise")
	g.Expect(within(0, 0, false)).To(Equal(locality.OtherRegion), "nothing to wait for")
	g.Expect(within(0, 2048, true)).To(Equal(locality.OtherRegion), "others find no target at all")
}

func TestContention(t *testing.T) {
	g := NewWithT(t)
	c := placement.NewContention()
	g.Expect(c.Contended(began)).To(BeFalse())
	c.Waited(began, 1)
	g.Expect(c.Contended(began)).To(BeTrue())
	g.Expect(c.Yields(began, 2)).To(BeTrue(), "to a more urgent one")
	g.Expect(c.Yields(began, 1)).To(BeFalse(), "not to its like")
	g.Expect(c.Yields(began, 0)).To(BeFalse())
	later := began.Add(500 * time.Millisecond)
	g.Expect(c.Contended(later)).To(BeFalse(), "it is forgotten")
	g.Expect(c.Yields(later, 2)).To(BeFalse())
}

func ExampleDecide() {
	best := &placement.Candidate{
		Report: load.New(1, 0, 3, 1, began), HasReport: true, Healthy: true, Predicted: 90 * time.Millisecond,
	}
	decision := placement.Decide(placement.State{
		Now: began, Deadlines: placement.NewDeadlines(began, time.Second, 90*time.Millisecond), Targets: 4, Best: best,
		Within: locality.OtherRegion,
	})
	fmt.Println(decision.Action() == placement.Take)
	// Output: true
}

func BenchmarkDecide(b *testing.B) {
	state := placement.State{
		Now: began, Deadlines: placement.NewDeadlines(began, objective, usual), Targets: 4, Best: candidate(1, 0, 1, usual),
		Within: locality.OtherRegion,
	}
	b.ReportAllocs()
	for b.Loop() {
		if placement.Decide(state).Action() != placement.Take {
			b.Fatal("an idle target was not taken")
		}
	}
}

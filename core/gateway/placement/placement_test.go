package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/load"
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
		Report: load.New(running, waiting, 3, slowness, began), HasReport: true, Healthy: true, Local: true, Predicted: predicted,
	}
}

func TestDecide(t *testing.T) {
	const (
		early = 10 * time.Millisecond
		late  = 210 * time.Millisecond // the search has ended
		// hopeless is when a usual target can't answer within the objective.
		hopeless = 870 * time.Millisecond
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
	silent := &placement.Candidate{Report: load.New(0, 0, 3, 1, time.Time{}), Healthy: true}
	for name, c := range map[string]struct {
		best      *placement.Candidate
		at        time.Duration
		localOnly bool
		yield     bool
		targets   int
		evacuated int
		action    placement.Action
		contended bool
	}{
		"an idle target":                               {best: idle, at: early, action: placement.Take},
		"an idle target of the own hall alone":         {best: idle, at: early, localOnly: true, action: placement.Take},
		"a last slot, only the own hall probed":        {best: lastSlot, at: early, localOnly: true, action: placement.Take},
		"a full target, only the own hall probed":      {best: full, at: early, localOnly: true, action: placement.Wait},
		"a last slot":                                  {best: lastSlot, at: early, action: placement.Take},
		"a last slot that others wait for":             {best: lastSlot, at: early, yield: true, action: placement.Wait, contended: true},
		"a last slot that others wait for, no hope":    {best: lastSlot, at: hopeless, yield: true, action: placement.Take},
		"a cold target that has nothing to do":         {best: cold, at: early, action: placement.Take},
		"a cold target, only the own hall probed":      {best: cold, at: early, localOnly: true, action: placement.Wait},
		"a cold target that works":                     {best: coldBusy, at: early, action: placement.Wait, contended: true},
		"a cold target that works, last round":         {best: coldBusy, at: late, action: placement.RefuseFull, contended: true},
		"a cold target, no turn":                       {best: coldClosed, at: early, action: placement.Wait, contended: true},
		"a cold target, no turn, last round":           {best: coldClosed, at: late, action: placement.RefuseFull, contended: true},
		"a cold target, no turn, no hope":              {best: coldClosed, at: hopeless, action: placement.RefuseFull, contended: true},
		"a target without a report":                    {best: silent, at: early, action: placement.Take},
		"a slow target while there is hope":            {best: slow, at: early, action: placement.Wait, contended: true},
		"a slow target in the last round":              {best: slow, at: late, action: placement.Wait, contended: true},
		"a slow target without hope":                   {best: slow, at: hopeless, action: placement.Take},
		"a full target":                                {best: full, at: early, action: placement.Wait, contended: true},
		"a full target in the last round":              {best: full, at: late, action: placement.Take},
		"a full target in the last round, not in time": {best: overfull, at: late, action: placement.RefuseFull, contended: true},
		"the same, only the own hall probed":           {best: overfull, at: late, localOnly: true, action: placement.RefuseFull},
		"a slot that is better left free":              {best: reserved, at: early, action: placement.Wait, contended: true},
		"the same in the last round":                   {best: reserved, at: late, action: placement.RefuseFull, contended: true},
		"the last slot that is worth taking":           {best: lastWorth, at: early, action: placement.Take},
		"the same, that others wait for":               {best: lastWorth, at: early, yield: true, action: placement.Wait, contended: true},
		"a full target that slows down, last round":    {best: fullReserved, at: late, action: placement.RefuseFull, contended: true},
		"no answer":                           {at: early, action: placement.Wait, contended: true},
		"no answer, only the own hall probed": {at: early, localOnly: true, action: placement.Wait, contended: true},
		"no answer in the last round":         {at: late, action: placement.Fallback, contended: true},
		"no target is known":                  {at: early, targets: -1, action: placement.RefuseNoTarget},
		"all halls are evacuated":             {at: early, targets: -1, evacuated: 2, action: placement.RefuseEvacuated},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := placement.Decide(placement.State{
				Now: began.Add(c.at), Deadlines: placement.NewDeadlines(began, objective, usual), Targets: c.targets + 1, Evacuated: c.evacuated,
				Best: c.best, LocalOnly: c.localOnly, Yield: c.yield,
			})
			g.Expect(d.Action()).To(Equal(c.action))
			g.Expect(d.Contended()).To(Equal(c.contended))
			refuses := c.action == placement.RefuseFull || c.action == placement.RefuseNoTarget || c.action == placement.RefuseEvacuated
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
	remote := func(c *placement.Candidate) { c.Local = false }
	ill := func(c *placement.Candidate) { c.Healthy = false }
	g.Expect(better(same, usual+1)).To(BeTrue(), "sooner")
	g.Expect(better(same, usual)).To(BeFalse(), "as soon")
	g.Expect(better(remote, usual-20*time.Millisecond+1)).To(BeTrue(), "the other hall is not faster by enough")
	g.Expect(better(remote, usual-20*time.Millisecond)).To(BeFalse())
	g.Expect(better(ill, 0)).To(BeTrue(), "ill targets come last")
}

func targets(hall string, n int) []catalog.Target {
	out := make([]catalog.Target, n)
	for i := range out {
		out[i] = catalog.Target{ID: fmt.Sprint(hall, i), Hall: hall, Slots: 3}
	}
	return out
}

func ids(list []catalog.Target) []string {
	out := []string{}
	for _, t := range list {
		out = append(out, t.ID)
	}
	return out
}

func asGiven(int, func(i, j int)) {}

func nobody(string) bool { return false }

func TestOrder(t *testing.T) {
	all := append(targets("b", 2), targets("a", 3)...)
	for name, c := range map[string]struct {
		filter        placement.Filter
		local, remote []string
	}{
		"the own hall apart": {placement.Filter{Ejected: nobody}, []string{"a0", "a1", "a2"}, []string{"b0", "b1"}},
		"not those that had the request": {placement.Filter{Ejected: nobody, Avoid: []string{"a0", "b1"}},
			[]string{"a1", "a2"}, []string{"b0"}},
		"not the ejected": {placement.Filter{Ejected: func(id string) bool { return id == "a1" }},
			[]string{"a0", "a2"}, []string{"b0", "b1"}},
		"the ejected if there are no others": {placement.Filter{Ejected: func(string) bool { return true }, Avoid: []string{"a0"}},
			[]string{}, []string{"b0", "b1", "a1", "a2"}},
		"connected ones of the own hall first": {placement.Filter{Ejected: nobody, Connected: func(id string) bool { return id == "a2" || id == "b1" }},
			[]string{"a2", "a0", "a1"}, []string{"b0", "b1"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c.filter.Hall = "a"
			local, remote := placement.Order(all, c.filter, asGiven)
			g.Expect(ids(local)).To(Equal(c.local))
			g.Expect(ids(remote)).To(Equal(c.remote))
		})
	}
}

func TestOrderIsDrawn(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	first := map[string]bool{}
	for range 100 {
		local, _ := placement.Order(targets("a", 3), placement.Filter{Hall: "a", Ejected: nobody}, random.Shuffle)
		first[local[0].ID] = true
	}
	g.Expect(first).To(HaveLen(3))
}

func TestWaves(t *testing.T) {
	for name, c := range map[string]struct {
		local, remote int
		effort        placement.Effort
		waves         []int // how many targets each holds
	}{
		"two at a time, four of each":          {6, 6, placement.Effort{}, []int{2, 2, 2, 2}},
		"an odd one":                           {3, 1, placement.Effort{}, []int{2, 1, 1}},
		"one at a time where most are idle":    {2, 1, placement.Effort{MostlyIdle: true}, []int{1, 1, 1}},
		"few while requests wait":              {6, 6, placement.Effort{Contended: true}, []int{2, 2}},
		"the own hall alone":                   {3, 6, placement.Effort{LocalOnly: true}, []int{2, 1}},
		"others where the own hall has none":   {0, 3, placement.Effort{LocalOnly: true}, []int{2, 1}},
		"no target":                            {0, 0, placement.Effort{}, []int{}},
		"few, one at a time, of the own alone": {6, 6, placement.Effort{LocalOnly: true, Contended: true, MostlyIdle: true}, []int{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sizes := []int{}
			for _, wave := range placement.Waves(targets("a", c.local), targets("b", c.remote), c.effort) {
				sizes = append(sizes, len(wave))
			}
			g.Expect(sizes).To(Equal(c.waves))
		})
	}
}

func TestByOwnCounts(t *testing.T) {
	g := NewWithT(t)
	list := targets("a", 3)
	list[1].Slots = 30
	list[2].Slots = 0
	active := map[string]int{"a0": 1, "a1": 2, "a2": 1}
	placement.ByOwnCounts(list, func(id string) int { return active[id] })
	g.Expect(ids(list)).To(Equal([]string{"a1", "a0", "a2"}))
}

func TestTimesOfASearch(t *testing.T) {
	g := NewWithT(t)
	g.Expect(placement.RoundTimeout(time.Second)).To(Equal(80 * time.Millisecond))
	g.Expect(placement.RoundTimeout(time.Millisecond)).To(Equal(4*time.Millisecond), "the least")
	g.Expect(placement.Pause(time.Second)).To(Equal(50*time.Millisecond), "the longest")
	g.Expect(placement.Pause(100 * time.Millisecond)).To(Equal(8 * time.Millisecond))
	g.Expect(placement.LocalWait(2048, time.Second)).To(Equal(24 * time.Millisecond))
	g.Expect(placement.LocalWait(1<<20, time.Second)).To(Equal(120*time.Millisecond), "bounded by the objective")
	wait := 24 * time.Millisecond
	g.Expect(placement.LocalOnly(began.Add(wait-1), began, wait, false)).To(BeTrue())
	g.Expect(placement.LocalOnly(began.Add(wait), began, wait, false)).To(BeFalse(), "the wait is over")
	g.Expect(placement.LocalOnly(began, began, wait, true)).To(BeFalse(), "others find no target at all")
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
		Report: load.New(1, 0, 3, 1, began), HasReport: true, Healthy: true, Local: true, Predicted: 90 * time.Millisecond,
	}
	decision := placement.Decide(placement.State{
		Now: began, Deadlines: placement.NewDeadlines(began, time.Second, 90*time.Millisecond), Targets: 4, Best: best,
	})
	fmt.Println(decision.Action() == placement.Take)
	// Output: true
}

func BenchmarkDecide(b *testing.B) {
	state := placement.State{
		Now: began, Deadlines: placement.NewDeadlines(began, objective, usual), Targets: 4, Best: candidate(1, 0, 1, usual),
	}
	b.ReportAllocs()
	for b.Loop() {
		if placement.Decide(state).Action() != placement.Take {
			b.Fatal("an idle target was not taken")
		}
	}
}

package warmup_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/warmup"
)

var begin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return begin.Add(d) }

func TestWhatATargetSaysGoesBeforeItsEntry(t *testing.T) {
	g := NewWithT(t)
	turns := warmup.New(0)
	target := catalog.Life{ID: "a"}
	g.Expect(turns.IsCold(begin, target, true)).To(BeTrue(), "its entry is all that is known")
	turns.Observe(begin, target, 0)
	g.Expect(turns.IsCold(begin, target, true)).To(BeTrue(), "it does not say that it is cold; the entry does")
	turns.Observe(begin, target, 2*time.Second)
	g.Expect(turns.IsCold(at(1999*time.Millisecond), target, false)).To(BeTrue())
	g.Expect(turns.IsCold(at(2*time.Second), target, true)).To(BeFalse())
	turns.Observe(at(time.Second), target, 0)
	g.Expect(turns.IsCold(at(time.Second), target, true)).To(BeFalse(), "its entry is older")
}

func TestATurnComesByTheShareOfAllThatColdTargetsBear(t *testing.T) {
	g := NewWithT(t)
	share := warmup.Share{PerSecond: 2.5, Cold: 40, Gateways: 100} // one a second
	turns := warmup.New(0.5)
	g.Expect(turns.Take(begin, share)).To(BeFalse())
	g.Expect(turns.Has(at(499*time.Millisecond), share)).To(BeFalse())
	g.Expect(turns.Has(at(501*time.Millisecond), share)).To(BeTrue())
	g.Expect(turns.Take(at(501*time.Millisecond), share)).To(BeTrue())
	g.Expect(turns.Take(at(502*time.Millisecond), share)).To(BeFalse())
	g.Expect(turns.Take(at(time.Hour), share)).To(BeTrue())
	g.Expect(turns.Take(at(time.Hour), share)).To(BeFalse(), "none is saved up")
	g.Expect(turns.Take(at(time.Hour), warmup.Share{})).To(BeTrue(), "nobody says what a cold target bears")
	alone := warmup.Share{PerSecond: 2.5, Cold: 40}
	g.Expect(turns.Take(at(time.Hour+10*time.Millisecond), alone)).To(BeTrue(), "all of it is one gateway's")
}

// What targets that turn cold in one moment get from all gateways together, by this
// package's rules, is bounded: what the users allow is 2.5 x 1.5 + 8 in a second.
func TestColdTargetsGetNoMoreThanTheyBear(t *testing.T) {
	const allowed = 11
	for _, gateways := range []int{1, 17, 95, 473, 2072} {
		for _, looks := range []float64{30, 300, 3000} {
			for _, error := range []float64{0.5, 1, 2} {
				t.Run(fmt.Sprintf("%d gateways, %.0f looks a second, %.1f times as many taken for there", gateways, looks, error), func(t *testing.T) {
					g := NewWithT(t)
					s := &coldSpell{gateways: gateways, looks: looks, believed: max(int(error*float64(gateways)), 1), reports: true, shares: true}
					most, mean := s.play(1)
					t.Logf("a target got %d in a second at most, %.1f on average", most, mean)
					g.Expect(most).To(BeNumerically("<=", allowed))
					g.Expect(mean).To(BeNumerically(">", 0.2), "they serve what they can")
				})
			}
		}
	}
}

// The ways that were weighed; figures stand in docs/design/shifted-work.md.
func TestTheWaysThatWereWeighed(t *testing.T) {
	for name, c := range map[string]coldSpell{
		"reports alone": {reports: true},
		"shares alone":  {shares: true},
		"both":          {reports: true, shares: true},
	} {
		for _, gateways := range []int{1, 17, 95, 473, 2072} {
			for _, looks := range []float64{30, 300, 3000} {
				s := c
				s.gateways, s.believed, s.looks = gateways, gateways, looks
				most, mean := s.play(2)
				t.Logf("%s, %d gateways, %.0f looks: %d at most, %.1f on average", name, gateways, looks, most, mean)
			}
		}
	}
}

// coldSpell plays 40 targets of 2 slots that turn cold in one moment while they work on
// what they have, and gateways that look for somebody to take a request.
type coldSpell struct {
	gateways int
	// believed is how many gateways each takes for there.
	believed int
	// looks is how often a second all gateways together look at each target.
	looks float64
	// reports and shares say which of the two rules are kept.
	reports, shares bool

	random  *rand.Rand
	targets [coldTargets]coldTarget
	events  eventQueue
}

const (
	coldTargets = 40
	coldFor     = 5 * time.Second
	// work is what a request takes at a cold target.
	work = 200 * time.Millisecond
	// answerAge is how old a report is at most when a request that goes by it arrives.
	answerAge = 8 * time.Millisecond
	slots     = 2
)

type coldTarget struct {
	running  int
	arrivals []time.Duration
}

// event is something that happens at a moment of the spell.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *coldSpell) after(now, d time.Duration, do func()) { heap.Push(&s.events, event{now + d, do}) }

// play returns the most that a target got in any second, and the mean.
func (s *coldSpell) play(seed uint64) (most int, mean float64) {
	s.random = rand.New(rand.NewPCG(seed, uint64(s.gateways)))
	turns := make([]*warmup.Turns, s.gateways)
	for i := range turns {
		turns[i] = warmup.New(s.random.Float64())
	}
	for i := range s.targets {
		s.targets[i].running = slots
		for range slots {
			s.after(0, time.Duration(s.random.Float64()*float64(work)), func() { s.targets[i].running-- })
		}
	}
	for now := time.Duration(0); now < coldFor; now += s.untilLook() {
		id, gateway := s.random.IntN(coldTargets), s.random.IntN(s.gateways)
		s.after(now, 0, func() { s.look(now, id, turns[gateway]) })
	}
	for s.events.Len() > 0 {
		heap.Pop(&s.events).(event).do()
	}
	return s.count()
}

func (s *coldSpell) untilLook() time.Duration {
	return time.Duration(s.random.ExpFloat64() / (s.looks * coldTargets) * float64(time.Second))
}

func (s *coldSpell) look(now time.Duration, id int, turns *warmup.Turns) {
	target := &s.targets[id]
	if s.reports && !warmup.Idle(target.running, 0) {
		return
	}
	if s.shares && !turns.Take(at(now), warmup.Share{PerSecond: 2.5, Cold: coldTargets, Gateways: s.believed}) {
		return
	}
	arrives := time.Duration(s.random.Float64() * float64(answerAge))
	s.after(now, arrives, func() {
		target.arrivals = append(target.arrivals, now+arrives)
		target.running++
		s.after(now+arrives, work, func() { target.running-- })
	})
}

func (s *coldSpell) count() (most int, mean float64) {
	all := 0
	for _, target := range s.targets {
		all += len(target.arrivals)
		for i, last := range target.arrivals {
			in := 0
			for _, other := range target.arrivals[:i+1] {
				if last-other < time.Second {
					in++
				}
			}
			most = max(most, in)
		}
	}
	return most, float64(all) / coldTargets / coldFor.Seconds()
}

package ledger_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/verdict"
)

func TestLedgerSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const grace = 3 * time.Second

// testLedger is a ledger with warm targets and a clock.
type testLedger struct {
	*ledger.Ledger
	now time.Time
	seq int
}

func half() float64 { return 0.5 }

func newTestLedger(targets, slots, maxQueue int) *testLedger {
	l := &testLedger{Ledger: ledger.New(ledger.Options{MaxQueue: maxQueue, Random: half}), now: start}
	l.SetTargets(l.now, make([]ledger.Target, 0))
	list := make([]ledger.Target, targets)
	for i := range list {
		list[i] = ledger.Target{Address: fmt.Sprint("t", i), Hall: "north", Slots: slots}
	}
	l.SetTargets(l.now, list)
	l.warm(targets * slots)
	return l
}

// warm has every target answer requests until all its slots are granted.
func (l *testLedger) warm(n int) {
	for range 2 * n {
		var ids []string
		for range n {
			id, d := l.acquire(10, "warm")
			if d.State == ledger.Granted {
				ids = append(ids, id)
			} else {
				l.Release(l.now, id, ledger.Outcome{Result: health.Unused})
			}
		}
		l.now = l.now.Add(10 * time.Millisecond)
		for _, id := range ids {
			l.Release(l.now, id, ledger.Outcome{Result: health.OK, Took: 10 * time.Millisecond})
		}
	}
	l.TakeQueueDecisions()
}

func (l *testLedger) acquire(weight int, box string) (string, ledger.Decision) {
	l.seq++
	id := fmt.Sprint("a", l.seq)
	return id, l.Acquire(l.now, ledger.SlotRequest{
		ID: id, Box: box, Hall: "north", Kind: "k", Weight: weight,
		Deadline: l.now.Add(time.Second), LongestWait: time.Second, Usual: 10 * time.Millisecond,
	})
}

func (l *testLedger) releaseOK(id string) {
	l.Release(l.now, id, ledger.Outcome{Result: health.OK, Took: 10 * time.Millisecond})
}

var _ = Describe("the ledger", func() {
	It("counts a slot as in use from the moment it is granted", func() {
		l := newTestLedger(2, 3, 10)
		for range 6 {
			_, d := l.acquire(1, "a")
			Expect(d.State).To(Equal(ledger.Granted))
		}
		_, d := l.acquire(1, "b")
		Expect(d.State).To(Equal(ledger.Queued))
	})

	It("grants no slot of a target until the back-off it advertised ends", func() {
		l := newTestLedger(2, 1, 10)
		first, d := l.acquire(1, "a")
		backingOff := d.Target
		l.Release(l.now, first, ledger.Outcome{Result: health.Shed, BackOff: 400 * time.Millisecond})
		l.RecordProbe(l.now, backingOff, ledger.Outcome{Result: health.OK, BackOff: 100 * time.Millisecond})
		for range 39 {
			l.now = l.now.Add(10 * time.Millisecond)
			id, d := l.acquire(1, "a")
			Expect(d.State).To(Equal(ledger.Granted))
			Expect(d.Target).NotTo(Equal(backingOff))
			l.releaseOK(id)
		}
		l.now = l.now.Add(10 * time.Millisecond)
		l.acquire(1, "a")
		_, d = l.acquire(1, "a")
		Expect(d.State).To(Equal(ledger.Granted), "both targets get requests again")
	})

	It("serves the greatest weight first and the longest wait on every tenth turn", func() {
		l := newTestLedger(1, 1, 100)
		holder, _ := l.acquire(1, "a")
		light, _ := l.acquire(1, "a")
		var served []string
		for range 14 {
			l.acquire(9, "a")
		}
		for range 15 {
			l.releaseOK(holder)
			answers := l.TakeQueueDecisions()
			Expect(answers).To(HaveLen(1))
			holder = answers[0].Request.ID
			served = append(served, holder)
		}
		Expect(served[0]).NotTo(Equal(light))
		Expect(served[:10]).To(ContainElement(light))
	})

	It("refuses at once a request that would be served too late, with a retry delay", func() {
		l := newTestLedger(1, 1, 1000)
		l.acquire(5, "a")
		var refused ledger.Decision
		for range 300 {
			if _, d := l.acquire(5, "a"); d.State == ledger.Refused {
				refused = d
				break
			}
		}
		Expect(refused.Reason).To(Equal(verdict.ReasonTooLate))
		Expect(refused.RetryAfter).To(BeNumerically(">=", 500*time.Millisecond))
	})

	It("evicts a request from a full queue for one of greater weight, and refuses the evicted one", func() {
		l := newTestLedger(1, 1, 2)
		l.acquire(1, "a")
		l.acquire(1, "a")
		evicted, _ := l.acquire(1, "a")
		_, full := l.acquire(1, "a")
		Expect(full.Reason).To(Equal(verdict.ReasonQueueFull))
		_, d := l.acquire(9, "a")
		Expect(d.State).To(Equal(ledger.Queued))
		answers := l.TakeQueueDecisions()
		Expect(answers).To(HaveLen(1))
		Expect(answers[0].Request.ID).To(Equal(evicted))
		Expect(answers[0].Decision.Reason).To(Equal(verdict.ReasonQueueFull))
	})

	It("refuses a queued request when its longest wait ends", func() {
		l := newTestLedger(1, 1, 10)
		l.acquire(1, "a")
		queued, _ := l.acquire(1, "a")
		l.now = l.now.Add(1100 * time.Millisecond)
		l.Tick(l.now, grace)
		answers := l.TakeQueueDecisions()
		Expect(answers).To(HaveLen(1))
		Expect(answers[0].Request.ID).To(Equal(queued))
		Expect(answers[0].Decision.Reason).To(Equal(verdict.ReasonTooLate))
	})

	It("removes the grants of a box that is no longer seen after the grace period", func() {
		l := newTestLedger(1, 1, 10)
		l.acquire(1, "unseen")
		l.now = l.now.Add(grace - time.Millisecond)
		l.Tick(l.now, grace)
		Expect(l.InFlight()).To(Equal(1))
		l.now = l.now.Add(2 * time.Millisecond)
		l.Tick(l.now, grace)
		Expect(l.InFlight()).To(Equal(0))
	})

	It("adopts the grants that a box holds and removes those that it does not list", func() {
		l := newTestLedger(1, 2, 10)
		lost, _ := l.acquire(1, "a")
		l.now = l.now.Add(2 * time.Second)
		l.Adopt(l.now, "a", []ledger.HeldGrant{{ID: "other", Target: "t0"}})
		l.Reconcile(l.now, "a", []ledger.HeldGrant{{ID: "other", Target: "t0"}}, time.Second)
		Expect(l.InFlight()).To(Equal(1))
		l.releaseOK(lost)
		Expect(l.InFlight()).To(Equal(1))
		l.releaseOK("other")
		Expect(l.InFlight()).To(Equal(0))
	})

	It("does not add a grant again that was released before the box's list arrived", func() {
		l := newTestLedger(1, 1, 10)
		id, _ := l.acquire(1, "a")
		l.releaseOK(id)
		l.Reconcile(l.now, "a", []ledger.HeldGrant{{ID: id, Target: "t0"}}, time.Second)
		Expect(l.InFlight()).To(Equal(0))
	})

	It("keeps a recent grant that its box does not list yet", func() {
		l := newTestLedger(1, 1, 10)
		l.acquire(1, "a")
		l.Reconcile(l.now, "a", nil, time.Second)
		Expect(l.InFlight()).To(Equal(1))
	})
})

var _ = Describe("a target", func() {
	// grantsTo counts how many of n concurrent requests are granted a slot of a target.
	grantsTo := func(l *testLedger, address string, n int) int {
		count := 0
		var ids []string
		for range n {
			id, d := l.acquire(1, "a")
			ids = append(ids, id)
			if d.State == ledger.Granted && d.Target == address {
				count++
			}
		}
		for _, id := range ids {
			l.Release(l.now, id, ledger.Outcome{Result: health.Unused})
		}
		return count
	}

	It("starts cold with one slot and gains one with each answer", func() {
		l := &testLedger{Ledger: ledger.New(ledger.Options{MaxQueue: 10, Random: half}), now: start}
		l.SetTargets(l.now, []ledger.Target{{Address: "t0", Hall: "north", Slots: 3}})
		Expect(grantsTo(l, "t0", 5)).To(Equal(1))
		id, _ := l.acquire(1, "a")
		l.releaseOK(id)
		Expect(grantsTo(l, "t0", 5)).To(Equal(2))
	})

	It("that leaves gets no requests until a greater start number is observed", func() {
		l := newTestLedger(2, 3, 10)
		l.MarkLeaving("t0", 0)
		Expect(grantsTo(l, "t0", 6)).To(Equal(0))
		l.RecordProbe(l.now, "t0", ledger.Outcome{Result: health.OK, Start: 5})
		Expect(grantsTo(l, "t0", 6)).To(Equal(0), "the first start number observed is that of the leaving incarnation")
		l.RecordProbe(l.now, "t0", ledger.Outcome{Result: health.OK, Start: 6})
		Expect(grantsTo(l, "t0", 6)).To(BeNumerically(">", 0))
		l.MarkLeaving("t0", 5)
		Expect(grantsTo(l, "t0", 6)).To(BeNumerically(">", 0), "the report is about an earlier incarnation")
	})

	It("that is unreachable gets no requests, even if most targets are unreachable", func() {
		l := newTestLedger(4, 1, 10)
		for _, address := range []string{"t0", "t1", "t2"} {
			for {
				id, d := l.acquire(1, "a")
				if d.Target == address {
					l.Release(l.now, id, ledger.Outcome{Result: health.Unreachable})
					break
				}
				defer l.Release(l.now, id, ledger.Outcome{Result: health.Unused})
			}
		}
		Expect(grantsTo(l, "t0", 4) + grantsTo(l, "t1", 4) + grantsTo(l, "t2", 4)).To(Equal(0))
	})

	It("that fails consecutively is ejected and gets one trial request later", func() {
		l := newTestLedger(3, 1, 10)
		for range 3 {
			l.acquire(1, "a")
		}
		l2 := newTestLedger(3, 3, 10)
		fail := func(address string) {
			for {
				id, d := l2.acquire(1, "a")
				if d.Target == address {
					l2.Release(l2.now, id, ledger.Outcome{Result: health.Failed, Took: time.Millisecond})
					return
				}
			}
		}
		for range 3 {
			fail("t0")
		}
		Expect(grantsTo(l2, "t0", 9)).To(Equal(0))
		l2.now = l2.now.Add(150 * time.Millisecond)
		Expect(grantsTo(l2, "t0", 9)).To(Equal(1), "one trial request")
	})

	It("with an overdue request gets no other request", func() {
		l := newTestLedger(2, 3, 10)
		var slow string
		id, d := l.acquire(1, "a")
		slow = d.Target
		l.now = l.now.Add(60 * time.Millisecond)
		Expect(grantsTo(l, slow, 6)).To(Equal(0))
		l.releaseOK(id)
		Expect(grantsTo(l, slow, 6)).To(BeNumerically(">", 0))
	})
})

// TestEachRequestIsDecidedOnceAndNoTargetIsOvercommitted runs random sequences of
// all the operations of a ledger.
func TestEachRequestIsDecidedOnceAndNoTargetIsOvercommitted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newTestLedger(3, 2, 8)
		granted := map[string]string{}
		waiting := map[string]bool{}
		collect := func() {
			for _, a := range l.TakeQueueDecisions() {
				if !waiting[a.Request.ID] {
					rt.Fatalf("%s was decided twice", a.Request.ID)
				}
				delete(waiting, a.Request.ID)
				if a.Decision.State == ledger.Granted {
					granted[a.Request.ID] = a.Decision.Target
				}
			}
		}
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			l.now = l.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1, 2:
				id, d := l.acquire(rapid.IntRange(1, 3).Draw(rt, "weight"), "a")
				if d.State == ledger.Granted {
					granted[id] = d.Target
				} else if d.State == ledger.Queued {
					waiting[id] = true
				}
			case 3, 4:
				result := rapid.SampledFrom([]health.Result{health.OK, health.OK, health.Failed, health.Unreachable, health.Shed}).Draw(rt, "result")
				for id := range granted {
					l.Release(l.now, id, ledger.Outcome{Result: result, Took: 10 * time.Millisecond})
					delete(granted, id)
					break
				}
			case 5:
				l.MarkSeen(l.now, "a")
				l.Tick(l.now, time.Hour)
			case 6:
				l.MarkLeaving("t0", 0)
			}
			collect()
			inFlight := map[string]int{}
			for _, target := range granted {
				inFlight[target]++
				if inFlight[target] > 2 {
					rt.Fatalf("%s has %d grants for 2 slots", target, inFlight[target])
				}
			}
			if l.InFlight() != len(granted) || l.QueueLen() != len(waiting) {
				rt.Fatalf("%d in flight, want %d; %d queued, want %d", l.InFlight(), len(granted), l.QueueLen(), len(waiting))
			}
		}
		for range 100 {
			l.now = l.now.Add(20 * time.Millisecond)
			l.MarkSeen(l.now, "a")
			l.Tick(l.now, time.Hour)
			collect()
		}
		if len(waiting) > 0 {
			rt.Fatalf("%v were never decided", waiting)
		}
	})
}

func TestAllocationsOfADecisionAreBounded(t *testing.T) {
	const most = 4
	l := newTestLedger(20, 3, 100)
	a := ledger.SlotRequest{ID: "x", Box: "a", Hall: "north", Kind: "k", Weight: 1, Deadline: l.now.Add(time.Second), LongestWait: time.Second}
	got := testing.AllocsPerRun(1000, func() {
		l.Acquire(l.now, a)
		l.Release(l.now, "x", ledger.Outcome{Result: health.OK, Took: 10 * time.Millisecond})
	})
	if got > most {
		t.Fatalf("a decision and its release allocate %v times, more than %d", got, most)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{5, 10, 20, 40, 80} {
		b.Run(fmt.Sprint(targets, " targets"), func(b *testing.B) {
			l := newTestLedger(targets, 3, 100)
			a := ledger.SlotRequest{ID: "x", Box: "a", Hall: "north", Kind: "k", Weight: 1, Deadline: l.now.Add(time.Second), LongestWait: time.Second}
			b.ReportAllocs()
			for b.Loop() {
				l.Acquire(l.now, a)
				l.Release(l.now, "x", ledger.Outcome{Result: health.OK, Took: 10 * time.Millisecond})
			}
		})
	}
}

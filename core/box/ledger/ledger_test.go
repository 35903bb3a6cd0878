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
	b := &testLedger{Ledger: ledger.New(ledger.Options{MaxQueue: maxQueue, Random: half}), now: start}
	b.SetTargets(b.now, make([]ledger.Target, 0))
	list := make([]ledger.Target, targets)
	for i := range list {
		list[i] = ledger.Target{Address: fmt.Sprint("t", i), Hall: "north", Slots: slots}
	}
	b.SetTargets(b.now, list)
	b.warm(targets * slots)
	return b
}

// warm lets every target answer until it is trusted with all its slots.
func (b *testLedger) warm(n int) {
	for range 2 * n {
		var ids []string
		for range n {
			id, d := b.acquire(10, "warm")
			if d.State == ledger.Granted {
				ids = append(ids, id)
			} else {
				b.Release(b.now, id, ledger.Outcome{Result: health.Unused})
			}
		}
		b.now = b.now.Add(10 * time.Millisecond)
		for _, id := range ids {
			b.Release(b.now, id, ledger.Outcome{Result: health.OK, Took: 10 * time.Millisecond})
		}
	}
	b.TakeQueueDecisions()
}

func (b *testLedger) acquire(weight int, box string) (string, ledger.Decision) {
	b.seq++
	id := fmt.Sprint("a", b.seq)
	return id, b.Acquire(b.now, ledger.SlotRequest{
		ID: id, Box: box, Hall: "north", Kind: "k", Weight: weight,
		Deadline: b.now.Add(time.Second), LongestWait: time.Second, Usual: 10 * time.Millisecond,
	})
}

func (b *testLedger) releaseOK(id string) {
	b.Release(b.now, id, ledger.Outcome{Result: health.OK, Took: 10 * time.Millisecond})
}

var _ = Describe("the ledger", func() {
	It("counts a promise from the moment it is made", func() {
		b := newTestLedger(2, 3, 10)
		for range 6 {
			_, d := b.acquire(1, "a")
			Expect(d.State).To(Equal(ledger.Granted))
		}
		_, d := b.acquire(1, "b")
		Expect(d.State).To(Equal(ledger.Queued))
	})

	It("grants no slot of a target that asks for back-off until then", func() {
		b := newTestLedger(2, 1, 10)
		first, d := b.acquire(1, "a")
		resting := d.Target
		b.Release(b.now, first, ledger.Outcome{Result: health.Shed, BackOff: 400 * time.Millisecond})
		b.RecordProbe(b.now, resting, ledger.Outcome{Result: health.OK, BackOff: 100 * time.Millisecond})
		for range 39 {
			b.now = b.now.Add(10 * time.Millisecond)
			id, d := b.acquire(1, "a")
			Expect(d.State).To(Equal(ledger.Granted))
			Expect(d.Target).NotTo(Equal(resting))
			b.releaseOK(id)
		}
		b.now = b.now.Add(10 * time.Millisecond)
		b.acquire(1, "a")
		_, d = b.acquire(1, "a")
		Expect(d.State).To(Equal(ledger.Granted), "both take requests again")
	})

	It("serves the greater weight first, and every tenth turn the longest wait", func() {
		b := newTestLedger(1, 1, 100)
		holder, _ := b.acquire(1, "a")
		light, _ := b.acquire(1, "a")
		var served []string
		for range 14 {
			b.acquire(9, "a")
		}
		for range 15 {
			b.releaseOK(holder)
			answers := b.TakeQueueDecisions()
			Expect(answers).To(HaveLen(1))
			holder = answers[0].Request.ID
			served = append(served, holder)
		}
		Expect(served[0]).NotTo(Equal(light))
		Expect(served[:10]).To(ContainElement(light))
	})

	It("refuses at once what would come too late, with a time to come back", func() {
		b := newTestLedger(1, 1, 1000)
		b.acquire(5, "a")
		var refused ledger.Decision
		for range 300 {
			if _, d := b.acquire(5, "a"); d.State == ledger.Refused {
				refused = d
				break
			}
		}
		Expect(refused.Reason).To(Equal(verdict.ReasonTooLate))
		Expect(refused.RetryAfter).To(BeNumerically(">=", 500*time.Millisecond))
	})

	It("makes room in a full queue for what weighs more, and answers what gives way", func() {
		b := newTestLedger(1, 1, 2)
		b.acquire(1, "a")
		b.acquire(1, "a")
		gives, _ := b.acquire(1, "a")
		_, full := b.acquire(1, "a")
		Expect(full.Reason).To(Equal(verdict.ReasonQueueFull))
		_, d := b.acquire(9, "a")
		Expect(d.State).To(Equal(ledger.Queued))
		answers := b.TakeQueueDecisions()
		Expect(answers).To(HaveLen(1))
		Expect(answers[0].Request.ID).To(Equal(gives))
		Expect(answers[0].Decision.Reason).To(Equal(verdict.ReasonQueueFull))
	})

	It("ends a wait when it runs out", func() {
		b := newTestLedger(1, 1, 10)
		b.acquire(1, "a")
		waits, _ := b.acquire(1, "a")
		b.now = b.now.Add(1100 * time.Millisecond)
		b.Tick(b.now, grace)
		answers := b.TakeQueueDecisions()
		Expect(answers).To(HaveLen(1))
		Expect(answers[0].Request.ID).To(Equal(waits))
		Expect(answers[0].Decision.Reason).To(Equal(verdict.ReasonTooLate))
	})

	It("takes back what a vanished box held, after the grace", func() {
		b := newTestLedger(1, 1, 10)
		b.acquire(1, "gone")
		b.now = b.now.Add(grace - time.Millisecond)
		b.Tick(b.now, grace)
		Expect(b.InFlight()).To(Equal(1))
		b.now = b.now.Add(2 * time.Millisecond)
		b.Tick(b.now, grace)
		Expect(b.InFlight()).To(Equal(0))
	})

	It("adopts what a box holds and drops what it does not name", func() {
		b := newTestLedger(1, 2, 10)
		lost, _ := b.acquire(1, "a")
		b.now = b.now.Add(2 * time.Second)
		b.Adopt(b.now, "a", []ledger.HeldGrant{{ID: "other", Target: "t0"}})
		b.Reconcile(b.now, "a", []ledger.HeldGrant{{ID: "other", Target: "t0"}}, time.Second)
		Expect(b.InFlight()).To(Equal(1))
		b.releaseOK(lost)
		Expect(b.InFlight()).To(Equal(1))
		b.releaseOK("other")
		Expect(b.InFlight()).To(Equal(0))
	})

	It("does not take a slot for held again that came back before the box's list did", func() {
		b := newTestLedger(1, 1, 10)
		id, _ := b.acquire(1, "a")
		b.releaseOK(id)
		b.Reconcile(b.now, "a", []ledger.HeldGrant{{ID: id, Target: "t0"}}, time.Second)
		Expect(b.InFlight()).To(Equal(0))
	})

	It("keeps a young promise that its box has not heard of yet", func() {
		b := newTestLedger(1, 1, 10)
		b.acquire(1, "a")
		b.Reconcile(b.now, "a", nil, time.Second)
		Expect(b.InFlight()).To(Equal(1))
	})
})

var _ = Describe("a target", func() {
	// grantsTo counts how many of n asks at once go to a target.
	grantsTo := func(b *testLedger, address string, n int) int {
		count := 0
		var ids []string
		for range n {
			id, d := b.acquire(1, "a")
			ids = append(ids, id)
			if d.State == ledger.Granted && d.Target == address {
				count++
			}
		}
		for _, id := range ids {
			b.Release(b.now, id, ledger.Outcome{Result: health.Unused})
		}
		return count
	}

	It("begins cold with one slot and gains one with each answer", func() {
		b := &testLedger{Ledger: ledger.New(ledger.Options{MaxQueue: 10, Random: half}), now: start}
		b.SetTargets(b.now, []ledger.Target{{Address: "t0", Hall: "north", Slots: 3}})
		Expect(grantsTo(b, "t0", 5)).To(Equal(1))
		id, _ := b.acquire(1, "a")
		b.releaseOK(id)
		Expect(grantsTo(b, "t0", 5)).To(Equal(2))
	})

	It("that leaves gets no new work until a greater start number is seen", func() {
		b := newTestLedger(2, 3, 10)
		b.MarkLeaving("t0", 0)
		Expect(grantsTo(b, "t0", 6)).To(Equal(0))
		b.RecordProbe(b.now, "t0", ledger.Outcome{Result: health.OK, Start: 5})
		Expect(grantsTo(b, "t0", 6)).To(Equal(0), "the first start number seen is the life that leaves")
		b.RecordProbe(b.now, "t0", ledger.Outcome{Result: health.OK, Start: 6})
		Expect(grantsTo(b, "t0", 6)).To(BeNumerically(">", 0))
		b.MarkLeaving("t0", 5)
		Expect(grantsTo(b, "t0", 6)).To(BeNumerically(">", 0), "old news of an earlier life")
	})

	It("that cannot be reached is left alone, even if most cannot", func() {
		b := newTestLedger(4, 1, 10)
		for _, address := range []string{"t0", "t1", "t2"} {
			for {
				id, d := b.acquire(1, "a")
				if d.Target == address {
					b.Release(b.now, id, ledger.Outcome{Result: health.Unreachable})
					break
				}
				defer b.Release(b.now, id, ledger.Outcome{Result: health.Unused})
			}
		}
		Expect(grantsTo(b, "t0", 4) + grantsTo(b, "t1", 4) + grantsTo(b, "t2", 4)).To(Equal(0))
	})

	It("that fails in a row is ejected and tried again later", func() {
		b := newTestLedger(3, 1, 10)
		for range 3 {
			b.acquire(1, "a")
		}
		b2 := newTestLedger(3, 3, 10)
		fail := func(address string) {
			for {
				id, d := b2.acquire(1, "a")
				if d.Target == address {
					b2.Release(b2.now, id, ledger.Outcome{Result: health.Failed, Took: time.Millisecond})
					return
				}
			}
		}
		for range 3 {
			fail("t0")
		}
		Expect(grantsTo(b2, "t0", 9)).To(Equal(0))
		b2.now = b2.now.Add(150 * time.Millisecond)
		Expect(grantsTo(b2, "t0", 9)).To(Equal(1), "one trial")
	})

	It("with a request that takes much longer than usual gets no other", func() {
		b := newTestLedger(2, 3, 10)
		var slow string
		id, d := b.acquire(1, "a")
		slow = d.Target
		b.now = b.now.Add(60 * time.Millisecond)
		Expect(grantsTo(b, slow, 6)).To(Equal(0))
		b.releaseOK(id)
		Expect(grantsTo(b, slow, 6)).To(BeNumerically(">", 0))
	})
})

// TestEachRequestIsDecidedOnceAndNoTargetIsOvercommitted plays random orders of everything that may
// happen to a ledger.
func TestEachRequestIsDecidedOnceAndNoTargetIsOvercommitted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestLedger(3, 2, 8)
		granted := map[string]string{}
		waiting := map[string]bool{}
		take := func() {
			for _, a := range b.TakeQueueDecisions() {
				if !waiting[a.Request.ID] {
					rt.Fatalf("%s answered twice", a.Request.ID)
				}
				delete(waiting, a.Request.ID)
				if a.Decision.State == ledger.Granted {
					granted[a.Request.ID] = a.Decision.Target
				}
			}
		}
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1, 2:
				id, d := b.acquire(rapid.IntRange(1, 3).Draw(rt, "weight"), "a")
				if d.State == ledger.Granted {
					granted[id] = d.Target
				} else if d.State == ledger.Queued {
					waiting[id] = true
				}
			case 3, 4:
				result := rapid.SampledFrom([]health.Result{health.OK, health.OK, health.Failed, health.Unreachable, health.Shed}).Draw(rt, "result")
				for id := range granted {
					b.Release(b.now, id, ledger.Outcome{Result: result, Took: 10 * time.Millisecond})
					delete(granted, id)
					break
				}
			case 5:
				b.MarkSeen(b.now, "a")
				b.Tick(b.now, time.Hour)
			case 6:
				b.MarkLeaving("t0", 0)
			}
			take()
			inFlight := map[string]int{}
			for _, target := range granted {
				inFlight[target]++
				if inFlight[target] > 2 {
					rt.Fatalf("%s is promised %d of 2 slots", target, inFlight[target])
				}
			}
			if b.InFlight() != len(granted) || b.QueueLen() != len(waiting) {
				rt.Fatalf("%d in flight of %d, %d wait of %d", b.InFlight(), len(granted), b.QueueLen(), len(waiting))
			}
		}
		for range 100 {
			b.now = b.now.Add(20 * time.Millisecond)
			b.MarkSeen(b.now, "a")
			b.Tick(b.now, time.Hour)
			take()
		}
		if len(waiting) > 0 {
			rt.Fatalf("%v wait for ever", waiting)
		}
	})
}

func TestAllocationsOfADecisionAreBounded(t *testing.T) {
	const most = 4
	b := newTestLedger(20, 3, 100)
	a := ledger.SlotRequest{ID: "x", Box: "a", Hall: "north", Kind: "k", Weight: 1, Deadline: b.now.Add(time.Second), LongestWait: time.Second}
	got := testing.AllocsPerRun(1000, func() {
		b.Acquire(b.now, a)
		b.Release(b.now, "x", ledger.Outcome{Result: health.OK, Took: 10 * time.Millisecond})
	})
	if got > most {
		t.Fatalf("a decision and its return allocate %v times, more than %d", got, most)
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

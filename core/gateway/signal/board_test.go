package signal_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
)

var (
	start  = time.Unix(1000, 0)
	target = catalog.Life{ID: "i-1", Born: 1}
)

func backOffFrom(from string, d time.Duration) signal.Update {
	return signal.Update{Life: target, From: from, BackOff: d}
}

func TestTargetIsAvoidedOnceItAskedTwoGatewaysForBackOff(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	g.Expect(b.Record(start, backOffFrom("a", 3*time.Second))).To(BeTrue())
	g.Expect(b.BackOffRemaining(start, target)).To(BeZero(), "a single gateway may be sending too much")
	g.Expect(b.Record(start, backOffFrom("a", 3*time.Second))).To(BeFalse(), "already known")
	g.Expect(b.Record(start.Add(time.Second), backOffFrom("b", 5*time.Second))).To(BeTrue())
	g.Expect(b.BackOffRemaining(start.Add(time.Second), target)).To(Equal(2*time.Second), "until the first back-off ends")
	g.Expect(b.Record(start.Add(time.Second), backOffFrom("c", 9*time.Second))).To(BeFalse(), "two gateways are enough")
	g.Expect(b.BackOffRemaining(start.Add(3*time.Second), target)).To(BeZero())
	g.Expect(b.Record(start.Add(4*time.Second), backOffFrom("c", 3*time.Second))).To(BeTrue(), "the first back-off has ended")
	g.Expect(b.BackOffRemaining(start.Add(4*time.Second), target)).To(Equal(2 * time.Second))
	g.Expect(b.BackOffRemaining(start.Add(4*time.Second), catalog.Life{ID: "i-1", Born: 2})).To(BeZero(), "another incarnation")
}

func TestSlightlyLongerBackOffIsNotSharedAgain(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	b.Record(start, backOffFrom("a", 3*time.Second))
	at := b.Position()
	for ms := range 400 {
		g.Expect(b.Record(start.Add(time.Duration(ms)*time.Millisecond), backOffFrom("a", 3*time.Second))).To(BeFalse())
	}
	g.Expect(b.Position()).To(Equal(at))
	g.Expect(b.Record(start.Add(time.Second), backOffFrom("a", 3*time.Second))).To(BeTrue())
}

func TestInvalidUpdatesAreIgnored(t *testing.T) {
	for name, u := range map[string]signal.Update{
		"no signal":                       {Life: target, From: "a"},
		"no target":                       {From: "a", BackOff: time.Second},
		"negative back-off":               {Life: target, BackOff: -1},
		"too long a back-off":             {Life: target, BackOff: time.Hour},
		"leaving signalled too long ago":  {Life: target, Leaving: true, Age: time.Hour},
		"leaving signalled in the future": {Life: target, Leaving: true, Age: -1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := signal.NewBoard(1)
			g.Expect(b.Merge(start, []signal.Update{u})).To(BeEmpty())
			g.Expect(b.Len()).To(BeZero())
		})
	}
}

// A target asks a gateway for an hour; the back-off that other gateways see is at most a
// minute at a time.
func TestSharedBackOffIsCappedAtOneMinute(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	g.Expect(b.Record(start, backOffFrom("a", time.Hour))).To(BeTrue())
	b.Record(start, backOffFrom("b", time.Hour))
	g.Expect(b.BackOffRemaining(start, target)).To(Equal(time.Minute))
}

func TestBoardSizeIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	for i := range 5000 {
		b.Record(start, signal.Update{Life: catalog.Life{ID: fmt.Sprint(i)}, From: "a", BackOff: time.Second, Leaving: i%2 == 0})
	}
	g.Expect(b.Len()).To(BeNumerically("<=", 256))
	updates, to := b.Since(start, changes.Position{})
	g.Expect(len(updates)).To(BeNumerically("<=", 32))
	g.Expect(to.Version).To(BeNumerically("<", b.Position().Version))
	b.Tick(start.Add(time.Second))
	g.Expect(b.Len()).To(BeNumerically("<=", 128), "the leaving targets remain")
	b.Tick(start.Add(time.Minute))
	g.Expect(b.Len()).To(BeZero())
}

// Gateways exchange updates at random until none has a new one: the exchange ends, all
// have the same state, and no expired state returns.
func TestBoardsConvergeAndExpire(t *testing.T) {
	const gateways = 12
	for seed := range uint64(200) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		var boards []*signal.Board
		positions := map[[2]int]changes.Position{}
		for i := range gateways {
			boards = append(boards, signal.NewBoard(uint64(i+1)))
			if random.IntN(2) == 0 {
				boards[i].Record(start, backOffFrom(fmt.Sprint(i), time.Duration(1+random.IntN(5))*time.Second))
			}
		}
		boards[random.IntN(gateways)].Record(start, signal.Update{Life: target, From: "x", Leaving: true})
		now, forwarded := start, 0
		exchange := func(from, to int) bool {
			updates, at := boards[from].Since(now, positions[[2]int{to, from}])
			positions[[2]int{to, from}] = at
			now = now.Add(2 * time.Millisecond)
			return len(boards[to].Merge(now, updates)) > 0
		}
		for quiet := 0; quiet < 20*gateways*gateways; quiet++ {
			if exchange(random.IntN(gateways), random.IntN(gateways)) {
				quiet = 0
				forwarded++
			}
		}
		g.Expect(forwarded).To(BeNumerically("<=", 5*gateways))
		for _, b := range boards {
			g.Expect(b.BackOffRemaining(now, target) > 0).To(Equal(boards[0].BackOffRemaining(now, target) > 0))
		}
		now = start.Add(time.Hour)
		positions = map[[2]int]changes.Position{} // all exchange from the start
		for range 20 * gateways * gateways {
			exchange(random.IntN(gateways), random.IntN(gateways))
		}
		for _, b := range boards {
			b.Tick(now)
			g.Expect(b.Len()).To(BeZero(), "seed %d", seed)
		}
	}
}

// If most targets of a service ask for back-off, the others would get more than they can
// serve, and ask as well.
func TestNoTargetIsAvoidedIfMostAskForBackOff(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	var targets []catalog.Target
	for i := range 10 {
		targets = append(targets, catalog.Target{ID: fmt.Sprint("i-", i)})
	}
	g.Expect(b.Avoided(start, targets)).To(BeEmpty())
	for i, target := range targets {
		for _, from := range []string{"a", "b"} {
			b.Record(start, signal.Update{Life: target.Life(), From: from, BackOff: 3 * time.Second})
		}
		if i < 7 {
			g.Expect(b.Avoided(start, targets)).To(HaveLen(i+1), "%d of ten ask", i+1)
		} else {
			g.Expect(b.Avoided(start, targets)).To(BeEmpty(), "%d of ten ask", i+1)
		}
	}
	g.Expect(b.Avoided(start, append(targets, catalog.Target{ID: "x"}, catalog.Target{ID: "y"}, catalog.Target{ID: "z"}, catalog.Target{ID: "w"}, catalog.Target{ID: "v"}))).To(HaveLen(10))
	g.Expect(b.Avoided(start.Add(3*time.Second), targets)).To(BeEmpty())
}

func TestAvoidedMatchesRemainingBackOff(t *testing.T) {
	var targets []catalog.Target
	for i := range 40 {
		targets = append(targets, catalog.Target{ID: fmt.Sprint("i-", i)})
	}
	for seed := range uint64(200) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 3))
		b, now := signal.NewBoard(1), start
		for range 300 {
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			target := targets[random.IntN(20)] // at most half of them ask
			b.Record(now, signal.Update{
				Life: target.Life(), From: fmt.Sprint(random.IntN(4)), BackOff: time.Duration(random.IntN(5000)) * time.Millisecond, Leaving: random.IntN(9) == 0,
			})
			if random.IntN(50) == 0 {
				b.Tick(now)
			}
			avoided := b.Avoided(now, targets)
			for _, t := range targets {
				g.Expect(avoided[t.Life()]).To(Equal(b.BackOffRemaining(now, t.Life()) > 0), "seed %d", seed)
			}
		}
	}
}

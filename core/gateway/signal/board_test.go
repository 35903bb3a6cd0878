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
	start = time.Unix(1000, 0)
	shop  = catalog.Life{ID: "i-1", Born: 1}
)

func asks(from string, d time.Duration) signal.Update {
	return signal.Update{Life: shop, From: from, BackOff: d}
}

func TestAllAvoidATargetOnceItAskedTwoGateways(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	g.Expect(b.Note(start, asks("a", 3*time.Second))).To(BeTrue())
	g.Expect(b.Left(start, shop)).To(BeZero(), "one gateway may send too much")
	g.Expect(b.Note(start, asks("a", 3*time.Second))).To(BeFalse(), "it is known")
	g.Expect(b.Note(start.Add(time.Second), asks("b", 5*time.Second))).To(BeTrue())
	g.Expect(b.Left(start.Add(time.Second), shop)).To(Equal(2*time.Second), "until the first is over")
	g.Expect(b.Note(start.Add(time.Second), asks("c", 9*time.Second))).To(BeFalse(), "two are enough")
	g.Expect(b.Left(start.Add(3*time.Second), shop)).To(BeZero())
	g.Expect(b.Note(start.Add(4*time.Second), asks("c", 3*time.Second))).To(BeTrue(), "the first is over")
	g.Expect(b.Left(start.Add(4*time.Second), shop)).To(Equal(2 * time.Second))
	g.Expect(b.Left(start.Add(4*time.Second), catalog.Life{ID: "i-1", Born: 2})).To(BeZero(), "another start")
}

func TestABackOffThatIsLongerByLittleIsNotSharedAgain(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	b.Note(start, asks("a", 3*time.Second))
	at := b.Position()
	for ms := range 400 {
		g.Expect(b.Note(start.Add(time.Duration(ms)*time.Millisecond), asks("a", 3*time.Second))).To(BeFalse())
	}
	g.Expect(b.Position()).To(Equal(at))
	g.Expect(b.Note(start.Add(time.Second), asks("a", 3*time.Second))).To(BeTrue())
}

func TestWhatCannotBeSoIsNotTakenIn(t *testing.T) {
	for name, u := range map[string]signal.Update{
		"nothing":          {Life: shop, From: "a"},
		"no target":        {From: "a", BackOff: time.Second},
		"below zero":       {Life: shop, BackOff: -1},
		"an hour":          {Life: shop, BackOff: time.Hour},
		"left in the past": {Life: shop, Leaving: true, Age: time.Hour},
		"will have left":   {Life: shop, Leaving: true, Age: -1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := signal.NewBoard(1)
			g.Expect(b.Merge(start, []signal.Update{u})).To(BeEmpty())
			g.Expect(b.Len()).To(BeZero())
		})
	}
}

// A target asks a gateway for an hour; the others hold back for a minute at a time.
func TestALongBackOffIsSharedInParts(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	g.Expect(b.Note(start, asks("a", time.Hour))).To(BeTrue())
	b.Note(start, asks("b", time.Hour))
	g.Expect(b.Left(start, shop)).To(Equal(time.Minute))
}

func TestABoardStaysBounded(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	for i := range 5000 {
		b.Note(start, signal.Update{Life: catalog.Life{ID: fmt.Sprint(i)}, From: "a", BackOff: time.Second, Leaving: i%2 == 0})
	}
	g.Expect(b.Len()).To(BeNumerically("<=", 256))
	updates, to := b.Since(start, changes.Position{})
	g.Expect(len(updates)).To(BeNumerically("<=", 32))
	g.Expect(to.Version).To(BeNumerically("<", b.Position().Version))
	b.Tick(start.Add(time.Second))
	g.Expect(b.Len()).To(BeNumerically("<=", 128), "those that leave")
	b.Tick(start.Add(time.Minute))
	g.Expect(b.Len()).To(BeZero())
}

// Gateways tell each other what they heard, at random, until nobody has news: that ends, all know
// the same, and nothing comes back once it has lapsed.
func TestBoardsEndAlikeAndForgetAlike(t *testing.T) {
	const gateways = 12
	for seed := range uint64(200) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		var boards []*signal.Board
		heard := map[[2]int]changes.Position{}
		for i := range gateways {
			boards = append(boards, signal.NewBoard(uint64(i+1)))
			if random.IntN(2) == 0 {
				boards[i].Note(start, asks(fmt.Sprint(i), time.Duration(1+random.IntN(5))*time.Second))
			}
		}
		boards[random.IntN(gateways)].Note(start, signal.Update{Life: shop, From: "x", Leaving: true})
		now, told := start, 0
		exchange := func(from, to int) bool {
			updates, at := boards[from].Since(now, heard[[2]int{to, from}])
			heard[[2]int{to, from}] = at
			now = now.Add(2 * time.Millisecond)
			return len(boards[to].Merge(now, updates)) > 0
		}
		for quiet := 0; quiet < 20*gateways*gateways; quiet++ {
			if exchange(random.IntN(gateways), random.IntN(gateways)) {
				quiet = 0
				told++
			}
		}
		g.Expect(told).To(BeNumerically("<=", 5*gateways))
		for _, b := range boards {
			g.Expect(b.Left(now, shop) > 0).To(Equal(boards[0].Left(now, shop) > 0))
		}
		now = start.Add(time.Hour)
		heard = map[[2]int]changes.Position{} // all meet anew
		for range 20 * gateways * gateways {
			exchange(random.IntN(gateways), random.IntN(gateways))
		}
		for _, b := range boards {
			b.Tick(now)
			g.Expect(b.Len()).To(BeZero(), "seed %d", seed)
		}
	}
}

// Where most targets of a service ask, the others would get more than they can serve, and ask as well.
func TestNoTargetIsAvoidedWhereMostAskForBackOff(t *testing.T) {
	g := NewWithT(t)
	b := signal.NewBoard(1)
	var targets []catalog.Target
	for i := range 10 {
		targets = append(targets, catalog.Target{ID: fmt.Sprint("i-", i)})
	}
	g.Expect(b.Avoided(start, targets)).To(BeEmpty())
	for i, target := range targets {
		for _, from := range []string{"a", "b"} {
			b.Note(start, signal.Update{Life: target.Life(), From: from, BackOff: 3 * time.Second})
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

func TestAvoidedTargetsAreThoseThatAskNow(t *testing.T) {
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
			b.Note(now, signal.Update{
				Life: target.Life(), From: fmt.Sprint(random.IntN(4)), BackOff: time.Duration(random.IntN(5000)) * time.Millisecond, Leaving: random.IntN(9) == 0,
			})
			if random.IntN(50) == 0 {
				b.Tick(now)
			}
			avoided := b.Avoided(now, targets)
			for _, t := range targets {
				g.Expect(avoided[t.Life()]).To(Equal(b.Left(now, t.Life()) > 0), "seed %d", seed)
			}
		}
	}
}

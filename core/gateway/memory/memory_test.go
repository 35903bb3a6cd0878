package memory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
)

const mb = 1 << 20

func TestUsageCountsBytesHoldsAndTime(t *testing.T) {
	g := NewWithT(t)
	l := memory.NewLedger(memory.NewLimits(0))
	l.Add(memory.Body, 100)
	l.Add(memory.Body, 10)
	l.Add(memory.Body, 40)
	l.Remove(memory.Body, 100, 2*time.Second)
	u := l.Usage(memory.Body)
	g.Expect([]int64{u.Held(), u.Peak(), int64(u.Holds())}).To(Equal([]int64{50, 150, 1}))
	g.Expect(u.HeldFor()).To(Equal(2 * time.Second))
	g.Expect(l.UsualBodyTime()).To(BeNumerically(">", 0))
	g.Expect(l.Usage(memory.Answer)).To(Equal(memory.Usage{}), "each holder has its own counts")
}

func TestEachHolderHasAName(t *testing.T) {
	g := NewWithT(t)
	names := map[string]bool{}
	for _, h := range memory.Holders() {
		names[h.String()] = true
	}
	g.Expect(names).To(HaveLen(len(memory.Holders())))
}

// Guards against limits by which the longest body that the users allow is too long for some deployment.
func TestLimitsFollowTheMemoryOfTheProcess(t *testing.T) {
	for _, process := range []int64{136 * mb, 184 * mb, 284 * mb, 1048 * mb} {
		g := NewWithT(t)
		limits := memory.NewLimits(process)
		g.Expect(limits.Body()).To(BeNumerically(">=", 64*mb))
		g.Expect(limits.Total()).To(BeNumerically("<", process*2/3))
	}
}

func TestWhatFitsDependsOnWhoHoldsIt(t *testing.T) {
	limits := memory.NewLimits(100 * mb) // 60, of which 54 for all but requests, 48 bodies, 12.5 answers
	for name, c := range map[string]struct {
		held map[memory.Holder]int64
		asks memory.Holder
		n    int64
		fits bool
	}{
		"a body of the limit":               {nil, memory.Body, 48 * mb, true},
		"a longer body":                     {nil, memory.Body, 48*mb + 1, false},
		"a body beside another":             {map[memory.Holder]int64{memory.Body: 40 * mb}, memory.Body, 9 * mb, false},
		"a request beside a body":           {map[memory.Holder]int64{memory.Body: 48 * mb}, memory.Request, 12 * mb, true},
		"requests fill all":                 {map[memory.Holder]int64{memory.Request: 60 * mb}, memory.Request, 1, false},
		"connections leave requests room":   {map[memory.Holder]int64{memory.Connection: 54 * mb}, memory.Connection, 1, false},
		"a request beside connections":      {map[memory.Holder]int64{memory.Connection: 54 * mb}, memory.Request, 6 * mb, true},
		"answers have a limit of their own": {map[memory.Holder]int64{memory.Answer: 12 * mb}, memory.Answer, mb, false},
		"a body beside answers":             {map[memory.Holder]int64{memory.Answer: 12 * mb}, memory.Body, 43 * mb, false},
		"less than before":                  {map[memory.Holder]int64{memory.Body: 60 * mb}, memory.Body, -1, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := memory.NewLedger(limits)
			for h, n := range c.held {
				l.Add(h, n)
			}
			NewWithT(t).Expect(l.Fits(c.asks, c.n)).To(Equal(c.fits))
		})
	}
}

func TestWithoutABoundAllFitsButAnswers(t *testing.T) {
	g := NewWithT(t)
	l := memory.NewLedger(memory.NewLimits(0))
	g.Expect(l.Fits(memory.Body, 1<<40)).To(BeTrue())
	g.Expect(l.MayEverFit(1 << 40)).To(BeTrue())
	g.Expect(l.Fits(memory.Answer, 65*mb)).To(BeFalse())
}

func TestBodiesThatWaitGetRoomInTheOrderInWhichTheyCameAsFarAsTheyFit(t *testing.T) {
	for name, c := range map[string]struct {
		held    int64
		lengths []int64
		granted []int
	}{
		"all fit":                  {0, []int64{10 * mb, 20 * mb}, []int{0, 1}},
		"the first takes the room": {0, []int64{40 * mb, 20 * mb}, []int{0}},
		"a later one that fits":    {10 * mb, []int64{40 * mb, 20 * mb, 30 * mb}, []int{1}},
		"none":                     {48 * mb, []int64{1}, nil},
		"nobody waits":             {0, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := memory.NewLedger(memory.NewLimits(100 * mb))
			l.Add(memory.Body, c.held)
			g.Expect(l.Grant(c.lengths)).To(Equal(c.granted))
			g.Expect(l.Usage(memory.Body).Held()).To(Equal(c.held), "it counts nothing")
		})
	}
}

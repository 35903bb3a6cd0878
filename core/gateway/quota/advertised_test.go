package quota_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

func TestWhatATargetAdvertisesOfItsLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		rate   float64
		fails  bool
	}{
		{"none", nil, 0, false},
		{"a whole number", []string{"12"}, 12, false},
		{"a fraction with blanks", []string{" 2.75 "}, 2.75, false},
		{"nothing at all", []string{"0"}, 0.2, false},
		{"next to nothing", []string{"0.001"}, 0.2, false},
		{"more than anybody sends", []string{"1e12"}, 0, false},
		{"two", []string{"7", "3"}, 3, false},
		{"negative", []string{"-1"}, 0, true},
		{"beyond all numbers", []string{"1e400"}, 0, true},
		{"no number", []string{"NaN"}, 0, true},
		{"infinite", []string{"Inf"}, 0, true},
		{"empty", []string{""}, 0, true},
		{"a list", []string{"3,4"}, 0, true},
		{"one of two is no number", []string{"3", "x"}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			advertised, err := quota.ParseAdvertised(c.values)
			g.Expect(advertised.Rate).To(Equal(c.rate))
			g.Expect(err != nil).To(Equal(c.fails))
		})
	}
}

func FuzzParseTold(f *testing.F) {
	for _, seed := range []string{"2.8", "-1", "1e400", "0x1p-2", "NaN", "", " 3 ", "1_0"} {
		f.Add(seed, "4")
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		for _, values := range [][]string{{first}, {first, second}} {
			advertised, err := quota.ParseAdvertised(values)
			if err == nil && (advertised.Rate < 0 || math.IsNaN(advertised.Rate) || math.IsInf(advertised.Rate, 0)) {
				t.Errorf("%q gives %v", values, advertised)
			}
		}
	})
}

func TestTheMostRecentUpdateOfALimitHolds(t *testing.T) {
	g := NewWithT(t)
	var n quota.KnownLimit
	g.Expect(n.Observe(at(1), quota.Advertised{Rate: 3}, quota.SourceAnswer)).To(BeTrue())
	g.Expect(n.Observe(at(0.5), quota.Advertised{Rate: 9}, quota.SourceHome)).To(BeFalse())
	g.Expect(n.Observe(at(2), quota.Advertised{Rate: 2}, quota.SourceHome)).To(BeTrue())
	g.Expect(n.Advertised().Rate).To(Equal(2.0))
	// Probes that never named a limit say nothing.
	g.Expect(n.Observe(at(3), quota.Advertised{}, quota.SourceProbe)).To(BeFalse())
	g.Expect(n.Observe(at(4), quota.Advertised{Rate: 2}, quota.SourceProbe)).To(BeFalse())
	g.Expect(n.Observe(at(5), quota.Advertised{}, quota.SourceProbe)).To(BeTrue())
	g.Expect(n.Advertised().Rate).To(BeZero())
	g.Expect(n.Age(at(7)).Seconds()).To(Equal(2.0))
}

// takeTarget asks for requests to a target that told its limit some time ago.
func takeTarget(l *quota.Ledger, seconds, rate, age float64, count int) quota.Grant {
	g, ok := l.Grant(at(seconds), quota.CreditRequest{
		Target: "target-1", Limit: quota.Advertised{Rate: rate}.Limit(), Age: time.Duration(age * float64(time.Second)), Count: count,
	})
	if !ok {
		panic("the fleet is not known")
	}
	return g
}

func TestTheYoungestLimitOfATargetHolds(t *testing.T) {
	g := NewWithT(t)
	l := settled(10)
	hearAll(l, 10, 0, 10)
	g.Expect(takeTarget(l, 10, 4, 0, 9).Count).To(Equal(2)) // a request, and a quarter of a second
	// Older word is answered with the younger one, by which credit is given.
	old := takeTarget(l, 10.5, 40, 3, 9)
	g.Expect(old).To(And(HaveField("Count", 2), HaveField("Newer", true), HaveField("Rate", 4.0), HaveField("Age", 500*time.Millisecond)))
	// Younger word holds, and that there is no limit as well.
	hearAll(l, 11, 0, 10)
	g.Expect(takeTarget(l, 11, 40, 0, 99)).To(And(HaveField("Count", BeNumerically("~", 11, 1)), HaveField("Newer", false)))
	g.Expect(takeTarget(l, 11.5, 0, 0, 0).Count).To(BeZero())
	g.Expect(takeTarget(l, 11.6, 40, 0.6, 99)).To(And(HaveField("Count", 99), HaveField("Newer", true), HaveField("Rate", 0.0)))
}

func TestNoGatewayAsksOftenForATargetThatTakesLittle(t *testing.T) {
	g := NewWithT(t)
	l := settled(100)
	pauses := make([]float64, 100) // until when each gateway pauses
	asks, given := 0, 0
	for now := 1.0; now < 11; now += 0.01 {
		hearAll(l, now, 0, 100)
		for i := range pauses {
			if now < pauses[i] {
				continue
			}
			grant := takeTarget(l, now, 2, 0, 1)
			asks++
			given += grant.Count
			pauses[i] = now + max(grant.Pause.Seconds(), 0.05)
		}
	}
	g.Expect(given).To(BeNumerically("~", 20, 2))
	g.Expect(float64(asks)/10).To(BeNumerically("<=", 100/0.8), "each gateway once in .8 s at most")
}

// Of a large fleet those that met a limit may be none of those by which parts are measured.
func TestThoseThatDontCountGetTheWholeLimitWhereNobodyElseIs(t *testing.T) {
	g := NewWithT(t)
	l := quota.NewLedger(self, began, 0)
	l.SetFleetSize(2072)
	l.Observe(at(10), quota.Heartbeat{From: 101, Homes: []uint32{self}})
	takeTarget(l, 10, 4, 0, 1)
	g.Expect(takeTarget(l, 12, 4, 0, 9).Count).To(Equal(2))
}

// Answers that a target made before it named its limit, or before it lifted it, come after
// word of that, or just before it.
func TestAnAnswerThatWasOnItsWayTurnsNothingBack(t *testing.T) {
	limit, none := quota.Advertised{Rate: 3}, quota.Advertised{}
	for name, c := range map[string]struct {
		begin, end quota.Advertised
		via        quota.Source
	}{
		"named, an answer":  {limit, none, quota.SourceAnswer},
		"named, a probe":    {limit, none, quota.SourceProbe},
		"named, the home":   {limit, none, quota.SourceHome},
		"lifted, an answer": {none, limit, quota.SourceAnswer},
		"lifted, a gateway": {none, limit, quota.SourceGateway},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var n quota.KnownLimit
			if c.begin == none {
				n.Observe(at(0), limit, quota.SourceProbe)
			}
			g.Expect(n.Observe(at(1), c.begin, quota.SourceProbe)).To(BeTrue())
			g.Expect(n.Observe(at(1.05), c.end, c.via)).To(BeFalse())
			g.Expect(n.Advertised()).To(Equal(c.begin))
			g.Expect(n.Observe(at(1.15), c.end, c.via)).To(BeTrue(), "a tenth of a second later it is news")
		})
	}
	t.Run("word of a lift behind an answer", func(t *testing.T) {
		g := NewWithT(t)
		var n quota.KnownLimit
		n.Observe(at(0), limit, quota.SourceAnswer)
		n.Observe(at(5), limit, quota.SourceAnswer)
		g.Expect(n.Observe(at(4.95), none, quota.SourceGateway)).To(BeTrue())
		g.Expect(n.Observe(at(5.01), limit, quota.SourceAnswer)).To(BeFalse())
	})
}

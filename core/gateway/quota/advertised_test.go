package quota_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

func TestParseAdvertised(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		rate   float64
		fails  bool
	}{
		{"none", nil, 0, false},
		{"integer", []string{"12"}, 12, false},
		{"fraction with spaces", []string{" 2.75 "}, 2.75, false},
		{"zero is raised to the minimum", []string{"0"}, 0.2, false},
		{"below the minimum", []string{"0.001"}, 0.2, false},
		{"above the maximum", []string{"1e12"}, 0, false},
		{"smallest of two", []string{"7", "3"}, 3, false},
		{"negative", []string{"-1"}, 0, true},
		{"out of range", []string{"1e400"}, 0, true},
		{"not a number", []string{"NaN"}, 0, true},
		{"infinite", []string{"Inf"}, 0, true},
		{"empty", []string{""}, 0, true},
		{"comma-separated list", []string{"3,4"}, 0, true},
		{"one of two is not a number", []string{"3", "x"}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			advertised, err := quota.ParseAdvertised(c.values)
			g.Expect(advertised.Rate).To(Equal(c.rate))
			g.Expect(err != nil).To(Equal(c.fails))
		})
	}
}

func FuzzParseAdvertised(f *testing.F) {
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

func TestKnownLimitKeepsMostRecentReport(t *testing.T) {
	g := NewWithT(t)
	var known quota.KnownLimit
	g.Expect(known.Observe(at(1), quota.Advertised{Rate: 3}, quota.SourceAnswer)).To(BeTrue())
	g.Expect(known.Observe(at(0.5), quota.Advertised{Rate: 9}, quota.SourceHome)).To(BeFalse())
	g.Expect(known.Observe(at(2), quota.Advertised{Rate: 2}, quota.SourceHome)).To(BeTrue())
	g.Expect(known.Advertised().Rate).To(Equal(2.0))
	// Probes that never carried a limit don't lift one.
	g.Expect(known.Observe(at(3), quota.Advertised{}, quota.SourceProbe)).To(BeFalse())
	g.Expect(known.Observe(at(4), quota.Advertised{Rate: 2}, quota.SourceProbe)).To(BeFalse())
	g.Expect(known.Observe(at(5), quota.Advertised{}, quota.SourceProbe)).To(BeTrue())
	g.Expect(known.Advertised().Rate).To(BeZero())
	g.Expect(known.Age(at(7)).Seconds()).To(Equal(2.0))
}

// requestTargetCredit asks for credit for a target that advertised its limit some time ago.
func requestTargetCredit(l *quota.Ledger, seconds, rate, age float64, count int) quota.Grant {
	g, ok := l.Grant(at(seconds), quota.CreditRequest{
		Target: "target-1", Limit: quota.Advertised{Rate: rate}.Limit(), Age: time.Duration(age * float64(time.Second)), Count: count,
	})
	if !ok {
		panic("the fleet size is not known")
	}
	return g
}

func TestLedgerAppliesMostRecentTargetLimit(t *testing.T) {
	g := NewWithT(t)
	l := ledgerWithMembers(10)
	sendHeartbeats(l, 10, 0, 10)
	g.Expect(requestTargetCredit(l, 10, 4, 0, 9).Count).To(Equal(2)) // one request, and what is earned in a quarter of a second
	// A credit request with an older limit is answered with the newer one, which determines the
	// credit.
	outdated := requestTargetCredit(l, 10.5, 40, 3, 9)
	g.Expect(outdated).To(And(HaveField("Count", 2), HaveField("Newer", true), HaveField("Rate", 4.0), HaveField("Age", 500*time.Millisecond)))
	// A more recent limit applies, and so does the lifting of the limit.
	sendHeartbeats(l, 11, 0, 10)
	g.Expect(requestTargetCredit(l, 11, 40, 0, 99)).To(And(HaveField("Count", BeNumerically("~", 11, 1)), HaveField("Newer", false)))
	g.Expect(requestTargetCredit(l, 11.5, 0, 0, 0).Count).To(BeZero())
	g.Expect(requestTargetCredit(l, 11.6, 40, 0.6, 99)).To(And(HaveField("Count", 99), HaveField("Newer", true), HaveField("Rate", 0.0)))
}

func TestTargetWithLowLimitBoundsCreditRequestRate(t *testing.T) {
	g := NewWithT(t)
	l := ledgerWithMembers(100)
	pausedUntil := make([]float64, 100) // until when each gateway pauses, in seconds
	asked, granted := 0, 0
	for now := 1.0; now < 11; now += 0.01 {
		sendHeartbeats(l, now, 0, 100)
		for i := range pausedUntil {
			if now < pausedUntil[i] {
				continue
			}
			grant := requestTargetCredit(l, now, 2, 0, 1)
			asked++
			granted += grant.Count
			pausedUntil[i] = now + max(grant.Pause.Seconds(), 0.05)
		}
	}
	g.Expect(granted).To(BeNumerically("~", 20, 2))
	g.Expect(float64(asked)/10).To(BeNumerically("<=", 100/0.8), "each gateway at most once in 0.8 s")
}

// In a large fleet, possibly none of the gateways that know a limit is sampled.
func TestUnsampledGatewayAloneGetsWholeLimit(t *testing.T) {
	g := NewWithT(t)
	l := quota.NewLedger(self, started, 0)
	l.SetFleetSize(2072)
	l.Observe(at(10), quota.Heartbeat{From: 101, Homes: []uint32{self}})
	requestTargetCredit(l, 10, 4, 0, 1)
	g.Expect(requestTargetCredit(l, 12, 4, 0, 9).Count).To(Equal(2))
}

// Answers that a target produced before it advertised its limit, or before it lifted it, may
// arrive after the update about that change, or shortly before it.
func TestKnownLimitIgnoresDelayedAnswers(t *testing.T) {
	limit, noLimit := quota.Advertised{Rate: 3}, quota.Advertised{}
	for name, c := range map[string]struct {
		current, delayed quota.Advertised
		source           quota.Source
	}{
		"limit set, delayed answer":     {limit, noLimit, quota.SourceAnswer},
		"limit set, delayed probe":      {limit, noLimit, quota.SourceProbe},
		"limit set, delayed home reply": {limit, noLimit, quota.SourceHome},
		"limit lifted, delayed answer":  {noLimit, limit, quota.SourceAnswer},
		"limit lifted, delayed update":  {noLimit, limit, quota.SourceGateway},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var known quota.KnownLimit
			if c.current == noLimit {
				known.Observe(at(0), limit, quota.SourceProbe)
			}
			g.Expect(known.Observe(at(1), c.current, quota.SourceProbe)).To(BeTrue())
			g.Expect(known.Observe(at(1.05), c.delayed, c.source)).To(BeFalse())
			g.Expect(known.Advertised()).To(Equal(c.current))
			g.Expect(known.Observe(at(1.15), c.delayed, c.source)).To(BeTrue(), "accepted a tenth of a second later")
		})
	}
	t.Run("update about the lifting arrives after an answer", func(t *testing.T) {
		g := NewWithT(t)
		var known quota.KnownLimit
		known.Observe(at(0), limit, quota.SourceAnswer)
		known.Observe(at(5), limit, quota.SourceAnswer)
		g.Expect(known.Observe(at(4.95), noLimit, quota.SourceGateway)).To(BeTrue())
		g.Expect(known.Observe(at(5.01), limit, quota.SourceAnswer)).To(BeFalse())
	})
}

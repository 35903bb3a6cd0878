package backoff_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/backoff"
	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

var (
	start = time.Unix(1000, 0)
	shop  = catalog.Life{ID: "i-1", Born: 1}
)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestABackOffLastsAsLongAsTheTargetAsked(t *testing.T) {
	type ask struct{ at, d time.Duration }
	for name, c := range map[string]struct {
		asks []ask
		end  time.Duration
	}{
		"never asked":         {nil, 0},
		"once":                {[]ask{{0, 3 * time.Second}}, 3 * time.Second},
		"a fraction":          {[]ask{{0, 250 * time.Millisecond}}, 250 * time.Millisecond},
		"again, longer":       {[]ask{{0, 3 * time.Second}, {time.Second, 5 * time.Second}}, 6 * time.Second},
		"again, shorter":      {[]ask{{0, 3 * time.Second}, {time.Second, time.Second}}, 3 * time.Second},
		"again, as it ends":   {[]ask{{0, time.Second}, {time.Second, time.Second}}, 2 * time.Second},
		"zero":                {[]ask{{0, 0}}, 0},
		"zero while it lasts": {[]ask{{0, 3 * time.Second}, {time.Second, 0}}, 3 * time.Second},
		"an hour":             {[]ask{{0, time.Hour}}, time.Hour},
		"an hour and a half":  {[]ask{{0, 90 * time.Minute}}, time.Hour},
		"a year":              {[]ask{{0, 365 * 24 * time.Hour}}, 365 * 12 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tracker, last := backoff.New[catalog.Life](), time.Duration(0)
			for _, a := range c.asks {
				tracker.Ask(after(a.at), shop, a.d)
				last = a.at
			}
			g.Expect(tracker.Left(after(last), shop)).To(Equal(max(c.end-last, 0)))
			g.Expect(tracker.Left(after(c.end), shop)).To(BeZero())
			if c.end > 0 {
				g.Expect(tracker.Left(after(c.end-1), shop)).To(Equal(time.Duration(1)))
			}
		})
	}
}

// A target that goes on asking for the same time gets at most one request between any answer and the
// end of what it asked for by it.
func TestATargetThatAsksForVeryLongGetsOneRequestMeanwhile(t *testing.T) {
	for _, d := range []time.Duration{time.Second, time.Hour, 61 * time.Minute, 2 * time.Hour, 3 * time.Hour, 10 * time.Hour, 365 * 24 * time.Hour} {
		t.Run(d.String(), func(t *testing.T) {
			g := NewWithT(t)
			var window backoff.Window
			var asked []time.Time
			for now := start; len(asked) < 20; now = now.Add(window.Left(now)) {
				for _, before := range asked[max(len(asked)-2, 0):max(len(asked)-1, 0)] {
					g.Expect(now.Sub(before)).To(BeNumerically(">=", d-time.Nanosecond), "two requests since an answer")
				}
				asked = append(asked, now)
				g.Expect(window.Ask(now, d)).To(BeTrue())
			}
		})
	}
}

func TestABackOffIsThatOfOneStartOfATarget(t *testing.T) {
	g := NewWithT(t)
	tracker := backoff.New[catalog.Life]()
	tracker.Ask(start, shop, time.Minute)
	g.Expect(tracker.Left(start, catalog.Life{ID: shop.ID, Born: 2})).To(BeZero())
	g.Expect(tracker.Left(start, catalog.Life{ID: "i-2", Born: 1})).To(BeZero())
}

func TestOnlyTheAskThatBeginsABackOffIsNews(t *testing.T) {
	g := NewWithT(t)
	tracker := backoff.New[catalog.Life]()
	g.Expect(tracker.Ask(start, shop, time.Second)).To(BeTrue())
	g.Expect(tracker.Ask(after(time.Millisecond), shop, 2*time.Second)).To(BeFalse())
	g.Expect(tracker.Ask(after(3*time.Second), shop, time.Second)).To(BeTrue())
}

func TestBackOffsThatHaveEndedAreForgotten(t *testing.T) {
	g := NewWithT(t)
	tracker := backoff.New[catalog.Life]()
	for born := range int64(100) {
		tracker.Ask(start, catalog.Life{ID: "i-1", Born: born}, time.Second)
	}
	tracker.Ask(start, shop, 2*time.Second)
	g.Expect(tracker.All(after(time.Second))).To(Equal(map[catalog.Life]time.Duration{shop: time.Second}))
	g.Expect(tracker.Len()).To(Equal(1))
}

package backoff_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/backoff"
	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

var (
	start  = time.Unix(1000, 0)
	target = catalog.Life{ID: "i-1", Born: 1}
)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestBackOffLastsForRequestedDuration(t *testing.T) {
	type request struct{ at, d time.Duration }
	for name, c := range map[string]struct {
		requests []request
		end      time.Duration
	}{
		"never requested":     {nil, 0},
		"once":                {[]request{{0, 3 * time.Second}}, 3 * time.Second},
		"a fraction":          {[]request{{0, 250 * time.Millisecond}}, 250 * time.Millisecond},
		"again, longer":       {[]request{{0, 3 * time.Second}, {time.Second, 5 * time.Second}}, 6 * time.Second},
		"again, shorter":      {[]request{{0, 3 * time.Second}, {time.Second, time.Second}}, 3 * time.Second},
		"again, as it ends":   {[]request{{0, time.Second}, {time.Second, time.Second}}, 2 * time.Second},
		"zero":                {[]request{{0, 0}}, 0},
		"zero while it lasts": {[]request{{0, 3 * time.Second}, {time.Second, 0}}, 3 * time.Second},
		"an hour":             {[]request{{0, time.Hour}}, time.Hour},
		"an hour and a half":  {[]request{{0, 90 * time.Minute}}, time.Hour},
		"a year":              {[]request{{0, 365 * 24 * time.Hour}}, 365 * 12 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tracker, last := backoff.New[catalog.Life](), time.Duration(0)
			for _, r := range c.requests {
				tracker.Extend(after(r.at), target, r.d)
				last = r.at
			}
			g.Expect(tracker.Remaining(after(last), target)).To(Equal(max(c.end-last, 0)))
			g.Expect(tracker.Remaining(after(c.end), target)).To(BeZero())
			if c.end > 0 {
				g.Expect(tracker.Remaining(after(c.end-1), target)).To(Equal(time.Duration(1)))
			}
		})
	}
}

// A target that keeps asking for the same time gets at most one request between an answer
// and the end of the back-off that the answer asked for.
func TestVeryLongBackOffAllowsOneRequestInBetween(t *testing.T) {
	for _, d := range []time.Duration{time.Second, time.Hour, 61 * time.Minute, 2 * time.Hour, 3 * time.Hour, 10 * time.Hour, 365 * 24 * time.Hour} {
		t.Run(d.String(), func(t *testing.T) {
			g := NewWithT(t)
			var window backoff.Window
			var sentAt []time.Time
			for now := start; len(sentAt) < 20; now = now.Add(window.Remaining(now)) {
				for _, before := range sentAt[max(len(sentAt)-2, 0):max(len(sentAt)-1, 0)] {
					g.Expect(now.Sub(before)).To(BeNumerically(">=", d-time.Nanosecond), "two requests since an answer")
				}
				sentAt = append(sentAt, now)
				g.Expect(window.Extend(now, d)).To(BeTrue())
			}
		})
	}
}

func TestBackOffAppliesToOneIncarnationOfTarget(t *testing.T) {
	g := NewWithT(t)
	tracker := backoff.New[catalog.Life]()
	tracker.Extend(start, target, time.Minute)
	g.Expect(tracker.Remaining(start, catalog.Life{ID: target.ID, Born: 2})).To(BeZero())
	g.Expect(tracker.Remaining(start, catalog.Life{ID: "i-2", Born: 1})).To(BeZero())
}

func TestExtendReportsOnlyTheStartOfABackOff(t *testing.T) {
	g := NewWithT(t)
	tracker := backoff.New[catalog.Life]()
	g.Expect(tracker.Extend(start, target, time.Second)).To(BeTrue())
	g.Expect(tracker.Extend(after(time.Millisecond), target, 2*time.Second)).To(BeFalse())
	g.Expect(tracker.Extend(after(3*time.Second), target, time.Second)).To(BeTrue())
}

func TestExpiredBackOffsAreDeleted(t *testing.T) {
	g := NewWithT(t)
	tracker := backoff.New[catalog.Life]()
	for born := range int64(100) {
		tracker.Extend(start, catalog.Life{ID: "i-1", Born: born}, time.Second)
	}
	tracker.Extend(start, target, 2*time.Second)
	g.Expect(tracker.Active(after(time.Second))).To(Equal(map[catalog.Life]time.Duration{target: time.Second}))
	g.Expect(tracker.Len()).To(Equal(1))
}

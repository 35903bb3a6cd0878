package ejection_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/ejection"
	"github.com/sprucecrank/sprucecrank/core/gateway/outcome"
)

var life = catalog.Life{ID: "i-1"}

var now = time.Unix(1000, 0)

// ejectedFor returns how long a target is ejected from now on.
func ejectedFor(t *ejection.Tracker) time.Duration {
	d := time.Duration(0)
	for t.Ejected(now.Add(d), life) {
		d += 10 * time.Millisecond
	}
	return d
}

func TestEjectionTimeDependsOnOutcome(t *testing.T) {
	for o, duration := range map[outcome.Outcome]time.Duration{
		outcome.Served:      0,
		outcome.Abandoned:   0,
		outcome.Shed:        50 * time.Millisecond,
		outcome.Failed:      200 * time.Millisecond,
		outcome.Broken:      200 * time.Millisecond,
		outcome.Misdirected: 10 * time.Second,
	} {
		g := NewWithT(t)
		tracker := ejection.New()
		tracker.RecordOutcome(now, life, o)
		g.Expect(ejectedFor(tracker)).To(Equal(duration), fmt.Sprint(o))
		g.Expect(tracker.Ejected(now, catalog.Life{ID: "another"})).To(BeFalse())
	}
}

func TestConsecutiveFailuresBackOffUpToMaximum(t *testing.T) {
	g := NewWithT(t)
	tracker := ejection.New()
	for _, duration := range []time.Duration{200, 400, 800, 1600, 3000, 3000} {
		tracker.RecordProbeFailure(now, life)
		g.Expect(ejectedFor(tracker)).To(Equal(duration * time.Millisecond))
	}
}

func TestAnswerResetsBackOffButKeepsCurrentEjection(t *testing.T) {
	g := NewWithT(t)
	tracker := ejection.New()
	tracker.RecordOutcome(now, life, outcome.Broken)
	tracker.RecordOutcome(now, life, outcome.Broken)
	tracker.RecordOutcome(now, life, outcome.Served)
	g.Expect(ejectedFor(tracker)).To(Equal(400 * time.Millisecond))
	tracker.RecordOutcome(now, life, outcome.Broken)
	g.Expect(ejectedFor(tracker)).To(Equal(200 * time.Millisecond))
}

func TestOtherIncarnationOfTargetIsNotEjected(t *testing.T) {
	g := NewWithT(t)
	tracker := ejection.New()
	tracker.RecordOutcome(now, catalog.Life{ID: "i-1", Born: 1}, outcome.Misdirected)
	g.Expect(tracker.Ejected(now, catalog.Life{ID: "i-1", Born: 1})).To(BeTrue())
	g.Expect(tracker.Ejected(now, catalog.Life{ID: "i-1", Born: 2})).To(BeFalse())
}

func ExampleTracker() {
	tracker := ejection.New()
	tracker.RecordOutcome(now, life, outcome.Broken)
	fmt.Println(tracker.Ejected(now.Add(100*time.Millisecond), life), tracker.Ejected(now.Add(200*time.Millisecond), life))
	// Output: true false
}

package rollout

import (
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

func running(elapsed time.Duration, at time.Time) catalog.Rollout {
	return catalog.Rollout{
		Service: "api", Version: "2", State: catalog.RolloutRunning, Elapsed: elapsed, At: at.UnixMilli(),
	}
}

func TestAgeOfAnOrderLearntAtOnce(t *testing.T) {
	a := NewAges()
	order := catalog.Rollout{Service: "api", Version: "2"}
	a.Observe(start, order, start.Add(-50*time.Millisecond))
	a.Observe(start.Add(time.Second), order, start)
	if got, want := a.Age(start.Add(2*time.Second), "api"), 2050*time.Millisecond; got != want {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestAgeGoesByARecordWithoutTrustInClocks(t *testing.T) {
	for _, ahead := range []time.Duration{-3 * time.Second, 0, 3 * time.Second} {
		a := NewAges()
		recorded := start.Add(-100 * time.Millisecond)
		a.Observe(start.Add(-time.Second), running(3100*time.Millisecond, start.Add(ahead-time.Second)), time.Time{})
		a.Observe(start, running(4*time.Second, recorded.Add(ahead)), start.Add(-200*time.Millisecond))
		if got, want := a.Age(start, "api"), 4200*time.Millisecond; got != want {
			t.Errorf("clock ahead by %v: %v, want %v", ahead, got, want)
		}
	}
}

func TestAgeOfAProcessThatHasJustBegunIsRatherTooOld(t *testing.T) {
	for _, ahead := range []time.Duration{-2 * time.Second, 0, 2 * time.Second, time.Hour} {
		a := NewAges()
		recorded := start.Add(-time.Second)
		a.Observe(start, running(4*time.Second, recorded.Add(ahead)), time.Time{})
		if got := a.Age(start, "api"); got < 5*time.Second {
			t.Errorf("clock ahead by %v: %v, but it is 5s", ahead, got)
		}
	}
}

func TestAgeOfAnOrderThatMayHaveWaited(t *testing.T) {
	a := NewAges()
	a.Observe(start, catalog.Rollout{Service: "api", Version: "2"}, time.Time{})
	if got := a.Age(start.Add(time.Second), "api"); got != unknownAge {
		t.Errorf("%v, want an unknown age", got)
	}
	a.Observe(start.Add(2*time.Second), running(time.Second, start.Add(time.Second)), start.Add(time.Second))
	if got, want := a.Age(start.Add(3*time.Second), "api"), 3*time.Second; got != want {
		t.Errorf("after a record: %v, want %v", got, want)
	}
}

func TestAgeBeginsAnewWithAnotherOrder(t *testing.T) {
	ended := running(9*time.Second, start)
	ended.State = catalog.RolloutRolledBack
	for name, again := range map[string]catalog.Rollout{
		"same version after a verdict": {Service: "api", Version: "2"},
		"another version":              {Service: "api", Version: "3"},
	} {
		a := NewAges()
		a.Observe(start, ended, start)
		a.Observe(start.Add(time.Minute), again, start.Add(time.Minute))
		if got := a.Age(start.Add(time.Minute+time.Second), "api"); got != time.Second {
			t.Errorf("%s: %v, want 1s", name, got)
		}
	}
}

func TestAgeGrowsWhileTheSameRecordIsNoted(t *testing.T) {
	a := NewAges()
	a.Observe(start, running(4*time.Second, start), start.Add(-50*time.Millisecond))
	for late := time.Duration(0); late < 5*time.Second; late += 50 * time.Millisecond {
		a.Observe(start.Add(late), running(4*time.Second, start), start.Add(late-10*time.Millisecond))
		if got := a.Age(start.Add(late), "api"); got < 4*time.Second+late {
			t.Fatalf("%v after it was recorded at 4s: %v", late, got)
		}
	}
}

func TestAgeOfAnOrderThatIsGoneIsForgotten(t *testing.T) {
	a := NewAges()
	order := catalog.Rollout{Service: "api", Version: "2"}
	a.Observe(start, order, start)
	a.Forget("api")
	if got := a.Age(start, "api"); got != unknownAge {
		t.Errorf("%v of an order that is gone", got)
	}
	a.Observe(start.Add(time.Minute), order, start.Add(time.Minute))
	if got := a.Age(start.Add(time.Minute), "api"); got != 0 {
		t.Errorf("%v, but the order is new", got)
	}
}

// A write may be done seconds after what it records was taken: what was known before counts.
func TestAgeIsNotLessByARecordThatWasDoneLate(t *testing.T) {
	a := NewAges()
	a.Observe(start, running(5*time.Second, start), time.Time{})
	late := running(7*time.Second, start.Add(2*time.Second))
	a.Observe(start.Add(5*time.Second), late, start.Add(4900*time.Millisecond))
	if got := a.Age(start.Add(5*time.Second), "api"); got < 10*time.Second {
		t.Errorf("%v, but it is 10s", got)
	}
}

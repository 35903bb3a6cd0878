package rollout

import (
	"math"
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

func running(elapsed time.Duration, at time.Time) catalog.Rollout {
	return catalog.Rollout{
		Service: "api", Version: "2", State: catalog.RolloutRunning, Elapsed: elapsed, At: at.UnixMilli(),
	}
}

func TestAgeOfAnOrderSeenImmediately(t *testing.T) {
	a := NewAges()
	order := catalog.Rollout{Service: "api", Version: "2"}
	a.Observe(start, order, start.Add(-50*time.Millisecond))
	a.Observe(start.Add(time.Second), order, start)
	if got, want := a.Age(start.Add(2*time.Second), "api"), 2050*time.Millisecond; got != want {
		t.Errorf("age %v, want %v", got, want)
	}
}

func TestAgeFromANewRecordDoesNotDependOnWallClocks(t *testing.T) {
	for _, ahead := range []time.Duration{-3 * time.Second, 0, 3 * time.Second} {
		a := NewAges()
		recorded := start.Add(-100 * time.Millisecond)
		a.Observe(start.Add(-time.Second), running(3100*time.Millisecond, start.Add(ahead-time.Second)), time.Time{})
		a.Observe(start, running(4*time.Second, recorded.Add(ahead)), start.Add(-200*time.Millisecond))
		if got, want := a.Age(start, "api"), 4200*time.Millisecond; got != want {
			t.Errorf("clock ahead by %v: age %v, want %v", ahead, got, want)
		}
	}
}

func TestAgeAfterARestartIsNeverUnderestimated(t *testing.T) {
	for _, ahead := range []time.Duration{-2 * time.Second, 0, 2 * time.Second, time.Hour} {
		a := NewAges()
		recorded := start.Add(-time.Second)
		a.Observe(start, running(4*time.Second, recorded.Add(ahead)), time.Time{})
		if got := a.Age(start, "api"); got < 5*time.Second {
			t.Errorf("clock ahead by %v: age %v, want at least 5s", ahead, got)
		}
	}
}

func TestAgeOfAnUnrecordedOrderIsUnknownAfterARestart(t *testing.T) {
	a := NewAges()
	a.Observe(start, catalog.Rollout{Service: "api", Version: "2"}, time.Time{})
	if got := a.Age(start.Add(time.Second), "api"); got != unknownAge {
		t.Errorf("age %v, want unknownAge", got)
	}
	a.Observe(start.Add(2*time.Second), running(time.Second, start.Add(time.Second)), start.Add(time.Second))
	if got, want := a.Age(start.Add(3*time.Second), "api"), 3*time.Second; got != want {
		t.Errorf("after a record: age %v, want %v", got, want)
	}
}

// Guards against an age that overflows, or that no gateway accepts in a record.
func TestNoAgeExceedsTheUnknownAge(t *testing.T) {
	for _, elapsed := range []time.Duration{unknownAge - time.Second, unknownAge, unknownAge + time.Second, math.MaxInt64} {
		for _, at := range []int64{start.UnixMilli(), 0, math.MinInt64 / 2, math.MaxInt64 / 2} {
			r := catalog.Rollout{Service: "api", Version: "2", State: catalog.RolloutRunning, Elapsed: elapsed, At: at}
			for _, confirmed := range []time.Time{{}, start.Add(-time.Second)} {
				a := NewAges()
				a.Observe(start, r, confirmed)
				r.At--
				a.Observe(start.Add(time.Second), r, confirmed)
				if got := a.Age(start.Add(2*time.Second), "api"); got != unknownAge {
					t.Errorf("elapsed %v, recorded at %d, confirmed %v: age %v, want unknownAge", elapsed, at, confirmed, got)
				}
			}
		}
	}
}

func TestAgeRestartsWithANewOrder(t *testing.T) {
	ended := running(9*time.Second, start)
	ended.State = catalog.RolloutRolledBack
	for name, again := range map[string]catalog.Rollout{
		"same version after the rollout has ended": {Service: "api", Version: "2"},
		"another version":                          {Service: "api", Version: "3"},
	} {
		a := NewAges()
		a.Observe(start, ended, start)
		a.Observe(start.Add(time.Minute), again, start.Add(time.Minute))
		if got := a.Age(start.Add(time.Minute+time.Second), "api"); got != time.Second {
			t.Errorf("%s: age %v, want 1s", name, got)
		}
	}
}

func TestAgeGrowsWhileTheSameRecordIsNoted(t *testing.T) {
	a := NewAges()
	a.Observe(start, running(4*time.Second, start), start.Add(-50*time.Millisecond))
	for late := time.Duration(0); late < 5*time.Second; late += 50 * time.Millisecond {
		a.Observe(start.Add(late), running(4*time.Second, start), start.Add(late-10*time.Millisecond))
		if got := a.Age(start.Add(late), "api"); got < 4*time.Second+late {
			t.Fatalf("%v after the record at age 4s: age %v, want at least the sum", late, got)
		}
	}
}

func TestAgeOfADeletedOrderIsForgotten(t *testing.T) {
	a := NewAges()
	order := catalog.Rollout{Service: "api", Version: "2"}
	a.Observe(start, order, start)
	a.Forget("api")
	if got := a.Age(start, "api"); got != unknownAge {
		t.Errorf("age %v of a deleted order, want unknownAge", got)
	}
	a.Observe(start.Add(time.Minute), order, start.Add(time.Minute))
	if got := a.Age(start.Add(time.Minute), "api"); got != 0 {
		t.Errorf("age %v of a new order, want 0", got)
	}
}

// The write of a record may be done seconds after its age was taken. The bound known before
// must still hold then.
func TestAgeDoesNotDecreaseWhenARecordIsWrittenLate(t *testing.T) {
	a := NewAges()
	a.Observe(start, running(5*time.Second, start), time.Time{})
	late := running(7*time.Second, start.Add(2*time.Second))
	a.Observe(start.Add(5*time.Second), late, start.Add(4900*time.Millisecond))
	if got := a.Age(start.Add(5*time.Second), "api"); got < 10*time.Second {
		t.Errorf("age %v, want at least 10s", got)
	}
}

package rollout

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(gateway string, incarnation, sends, failed uint64) Report {
	return Report{Gateway: gateway, Start: incarnation, Counts: []RouteCounts{
		{Route: "r", Canary: true, Counts: Counts{Sends: sends, Failed: failed}},
	}}
}

func TestReportLogCountsEachSendOnce(t *testing.T) {
	l := NewReportLog()
	l.Add(start, report("a", 1, 10, 1))
	l.Add(start, report("a", 1, 20, 2)) // replaces the one before
	l.Add(start, report("a", 1, 15, 1)) // delivered out of order
	l.Add(start, report("b", 1, 5, 0))
	l.Add(start, report("b", 2, 3, 3)) // a new incarnation
	l.Add(start, report("b", 1, 6, 0)) // late, of the incarnation before
	got := l.Evidence(start).Total().Canary
	if want := (Counts{Sends: 28, Failed: 5}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

func TestReportLogListsGatewaysThatAreBehind(t *testing.T) {
	l := NewReportLog()
	l.Add(start, Report{Gateway: "a", Permille: 1000, BaselineActive: 2})
	l.Add(start, Report{Gateway: "b", Permille: 500})
	l.Add(start, Report{Gateway: "gone", BaselineActive: 9})
	gateways := []string{"a", "b", "c"}
	got := l.Behind(start.Add(time.Second), 1000, gateways)
	if len(got) != 2 || got[0] != (Lag{Gateway: "b", Age: time.Second}) || got[1] != (Lag{Gateway: "c", Age: -1}) {
		t.Errorf("behind: %+v", got)
	}
	if n := l.BaselineActive(gateways); n != 2 {
		t.Errorf("%d in flight, want 2", n)
	}
}

func TestEvidenceIsSplitIntoTimeSlices(t *testing.T) {
	l := NewReportLog()
	for i := range 400 { // 100 s
		l.Add(start.Add(time.Duration(i)*snapshotInterval), report("a", 1, 5+uint64(10*i), uint64(max(0, i-390))))
	}
	e := l.Evidence(start.Add(400 * snapshotInterval))
	if len(e.Slices) > 60 {
		t.Errorf("%d slices of 100 s", len(e.Slices))
	}
	if age := e.Slices[len(e.Slices)-1].Age; age != 100*time.Second {
		t.Errorf("the oldest slice began %v ago", age)
	}
	for _, s := range e.Slices[:len(e.Slices)-1] {
		routes, span := e.since(s.Age)
		if got, want := routes.Total().Canary.Sends, uint64(10*(span/snapshotInterval)); got != want {
			t.Errorf("%d sends in %v, want %d", got, span, want)
		}
	}
	if all, _ := e.since(time.Hour); all.Total() != e.Total() {
		t.Errorf("%+v in slices, %+v in all", all.Total(), e.Total())
	}
	if rate := e.rate(); rate != 40 {
		t.Errorf("%.0f sends a second, want 40", rate)
	}
}

func TestInitialCountsOfAGatewayAreNotRecent(t *testing.T) {
	l := NewReportLog()
	l.Add(start, report("a", 1, 1000, 500))
	l.Add(start.Add(time.Second), report("b", 1, 1000, 500))
	e := l.Evidence(start.Add(time.Second))
	if recent, _ := e.since(time.Second / 2); recent.Total().Canary.Sends != 0 || e.Total().Canary.Sends != 2000 {
		t.Errorf("%d new sends of %d", recent.Total().Canary.Sends, e.Total().Canary.Sends)
	}
}

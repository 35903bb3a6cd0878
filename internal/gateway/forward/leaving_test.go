package forward_test

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/internal/gateway/signals"
)

// drained is a data path whose targets are taken out once they say that they leave, as discovery
// does.
type drained struct {
	*fixture
	believed atomic.Pointer[snapshot.Snapshot]
}

func newDrained(t *testing.T, targets ...*standin) *drained {
	t.Helper()
	d := &drained{fixture: newFixture(t, targets...)}
	d.believed.Store(d.view)
	d.options.Snapshot = d.believed.Load
	d.options.Signals = signals.New(signals.Options{})
	d.options.Signals.OnLeaving(func(lives []catalog.Life) {
		before := d.believed.Load()
		kept, leaving := slices.Clone(before.Targets("shop")), map[catalog.Life]bool{}
		for _, life := range lives {
			leaving[life] = true
		}
		kept = slices.DeleteFunc(kept, func(t catalog.Target) bool { return leaving[t.Life()] })
		d.believed.Store(snapshot.New(before.Table(), map[string][]catalog.Target{"shop": kept}).WithLeaving(leaving))
	})
	return d
}

// Whatever makes a request look for a target, one that said that it leaves gets nothing from then on.
func TestNoWayLeadsToATargetThatSaidThatItLeaves(t *testing.T) {
	start := func(t *testing.T, closed, well *standin) *fixture { return newDrained(t, closed, well).start() }
	expectNoWayTo(t, start, func(g *WithT, f *fixture, leaving *standin) {
		leaving.leaving.Store(true)
		for !f.options.Snapshot().IsLeaving(leaving.Life()) {
			g.Expect(f.read().header).NotTo(HaveKey(names.Leaving))
		}
	})
}

// The last target of a service leaves: requests are refused at once.
func TestARequestIsRefusedAtOnceWhereAllTargetsLeave(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	d := newDrained(t, s)
	d.start()
	s.leaving.Store(true)
	d.read() // is answered, or finds out by its probe
	g.Expect(d.read().status).To(Equal(http.StatusServiceUnavailable))
}

package signals_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/signals"
)

func target(i int) catalog.Target {
	return catalog.Target{ID: fmt.Sprint("t", i), Service: "shop", Born: 1}
}

// drainRecorder records the targets that a registry drained, by call.
type drainRecorder struct {
	mu    sync.Mutex
	calls [][]catalog.Life
}

func (d *drainRecorder) add(lives []catalog.Life) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, lives)
}

func (d *drainRecorder) all() [][]catalog.Life {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// newRunningRegistry returns a registry whose background tasks run until the test ends, and a
// recorder of what it drains.
func newRunningRegistry(t *testing.T, self string) (*signals.Registry, *drainRecorder) {
	t.Helper()
	r, drained := signals.New(signals.Options{Self: self}), &drainRecorder{}
	r.OnLeaving(drained.add)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	for _, task := range r.Tasks() {
		go func() { _ = task(ctx) }()
	}
	return r, drained
}

// Each of hundreds of targets that left during a release made the gateway iterate over all
// targets again.
func TestLeavingTargetsAreDrainedInBatches(t *testing.T) {
	const targets = 600
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, drained := newRunningRegistry(t, "a")
		time.Sleep(time.Second)
		for i := range targets {
			r.Observe(target(i), signal.Signals{Leaving: true})
			if i == 0 {
				g.Expect(drained.all()).To(Equal([][]catalog.Life{{target(0).Life()}}), "the first at once")
			}
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(time.Second)
		seen := map[catalog.Life]bool{}
		for _, lives := range drained.all() {
			for _, life := range lives {
				seen[life] = true
			}
		}
		g.Expect(seen).To(HaveLen(targets), "including targets beyond the bound on shared signals")
		g.Expect(len(drained.all())).To(BeNumerically("<=", 2+2*4), "twice per second")
	})
}

func TestUpdatesFromPeersDrainAndAvoidTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, _ := newRunningRegistry(t, "a")
		b, _ := newRunningRegistry(t, "b")
		c, drained := newRunningRegistry(t, "c")
		targets := []catalog.Target{target(1), target(2)}
		share := func(from *signals.Registry) {
			body, _ := from.Updates().Since("")
			c.Updates().Merge(body, "peer")
			time.Sleep(time.Second)
		}
		a.Observe(target(1), signal.Signals{Leaving: true, BackOff: 9 * time.Second})
		share(a)
		g.Expect(drained.all()).To(Equal([][]catalog.Life{{target(1).Life()}}))
		g.Expect(c.Avoided(targets)[target(1).Life()]).To(BeFalse(), "it asked only one gateway")
		b.Observe(target(1), signal.Signals{BackOff: 9 * time.Second})
		share(b)
		g.Expect(c.Avoided(targets)[target(1).Life()]).To(BeTrue())
		g.Expect(c.BackOffLeft(target(1).Life())).To(BeZero(), "it did not ask this gateway")
		g.Expect(c.BackOffs()).To(BeEmpty())
		g.Expect(a.BackOffLeft(target(1).Life())).To(Equal(7 * time.Second))
		time.Sleep(9 * time.Second)
		g.Expect(c.Avoided(targets)[target(1).Life()]).To(BeFalse())
		g.Expect(a.BackOffs()).To(BeEmpty())
	})
}

func TestInvalidUpdatesAndPositionsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	r := signals.New(signals.Options{})
	g.Expect(r.Updates().Merge([]byte("garbage"), "peer")).To(BeFalse())
	g.Expect(r.Updates().Merge(nil, "peer")).To(BeFalse())
	body, at := r.Updates().Since("no position")
	g.Expect(body).To(BeEmpty())
	g.Expect(at).To(BeEmpty())
}

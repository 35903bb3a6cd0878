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

// drains are the targets that a register had drained, by call.
type drains struct {
	mu    sync.Mutex
	calls [][]catalog.Life
}

func (d *drains) add(lives []catalog.Life) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, lives)
}

func (d *drains) all() [][]catalog.Life {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// running is a register whose duties run until the test ends, and what it had drained.
func running(t *testing.T, self string) (*signals.Register, *drains) {
	t.Helper()
	r, drained := signals.New(signals.Options{Self: self}), &drains{}
	r.OnLeaving(drained.add)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	for _, duty := range r.Duties() {
		go func() { _ = duty(ctx) }()
	}
	return r, drained
}

// Each of hundreds of targets of a release that leave had the gateway go through all targets anew.
func TestManyTargetsThatLeaveAreDrainedTogether(t *testing.T) {
	const targets = 600
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, drained := running(t, "a")
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
		g.Expect(seen).To(HaveLen(targets), "also those beyond what gateways share")
		g.Expect(len(drained.all())).To(BeNumerically("<=", 2+2*4), "twice a second")
	})
}

func TestWhatAnotherGatewayReportsIsDrainedAndAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a, _ := running(t, "a")
		b, _ := running(t, "b")
		c, drained := running(t, "c")
		serving := []catalog.Target{target(1), target(2)}
		share := func(from *signals.Register) {
			body, _ := from.Updates().Since("")
			c.Updates().Merge(body, "peer")
			time.Sleep(time.Second)
		}
		a.Observe(target(1), signal.Signals{Leaving: true, BackOff: 9 * time.Second})
		share(a)
		g.Expect(drained.all()).To(Equal([][]catalog.Life{{target(1).Life()}}))
		g.Expect(c.Avoided(serving)[target(1).Life()]).To(BeFalse(), "it asked one gateway")
		b.Observe(target(1), signal.Signals{BackOff: 9 * time.Second})
		share(b)
		g.Expect(c.Avoided(serving)[target(1).Life()]).To(BeTrue())
		g.Expect(c.Left(target(1).Life())).To(BeZero(), "it did not ask this one")
		g.Expect(c.All()).To(BeEmpty())
		g.Expect(a.Left(target(1).Life())).To(Equal(7 * time.Second))
		time.Sleep(9 * time.Second)
		g.Expect(c.Avoided(serving)[target(1).Life()]).To(BeFalse())
		g.Expect(a.All()).To(BeEmpty())
	})
}

func TestWhatIsNoUpdateIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	r := signals.New(signals.Options{})
	g.Expect(r.Updates().Merge([]byte("garbage"), "peer")).To(BeFalse())
	g.Expect(r.Updates().Merge(nil, "peer")).To(BeFalse())
	body, at := r.Updates().Since("no position")
	g.Expect(body).To(BeEmpty())
	g.Expect(at).To(BeEmpty())
}

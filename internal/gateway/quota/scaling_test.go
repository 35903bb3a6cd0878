package quota_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
)

// Every gateway of a fleet wants one target that is in need: a service of few targets. Each
// asked once in .9 s, behind a probe, so that both grew with the fleet.
func TestQuestionsAboutATargetDontGrowWithTheFleet(t *testing.T) {
	const (
		rate      = 2.8
		wanted    = 4 * rate // questions a second that a home wants for it
		perBox    = 1.2      // requests a second
		during    = 30 * time.Second
		beginning = 10 * time.Second
	)
	sizes := []int{18, 60}
	if by := number("FLEET", 0); by > 0 {
		sizes = []int{by}
	}
	for _, boxes := range sizes {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var n *inNeed
			var asked []time.Time
			inVirtualTime(t, 1, boxes, func(f *fleet) {
				f.limits.Store(false)
				ctx, stop := context.WithCancel(f.t.Context())
				defer stop()
				go f.spread(ctx)
				n = newInNeed(f, rate, true)
				admits := n.admits
				n.admits = func(ctx context.Context, register *quota.Limiter) bool {
					n.mu.Lock()
					asked = append(asked, time.Now())
					n.mu.Unlock()
					return admits(ctx, register)
				}
				n.load(perBox*float64(boxes), during)
			})
			questions := float64(within(asked, n.first.Add(beginning), n.first.Add(during))) / (during - beginning).Seconds()
			used := float64(n.got(n.first.Add(beginning), n.first.Add(during))) / (rate * (during - beginning).Seconds())
			t.Logf("%d gateways: %.1f questions and probes a second, %.2f of the limit used, %.2f of what is left", boxes, questions, used, n.spent())
			g.Expect(questions).To(BeNumerically("<=", 1.5*wanted))
			g.Expect(used).To(BeNumerically(">=", 0.9))
			holds(g, n, rate)
		})
	}
}

package quota_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
)

// Every gateway of a fleet uses one target with a limit, as in a service of few targets. Each
// asked for credit every 0.9 s, after a probe, so that the number of both grew with the fleet.
func TestCreditRequestRateForTargetIsIndependentOfFleetSize(t *testing.T) {
	const (
		rate         = 2.8
		acceptedRate = 4 * rate // credit requests per second that a home accepts for it
		ratePerBox   = 1.2      // requests per second
		duration     = 30 * time.Second
		warmUp       = 10 * time.Second
	)
	sizes := []int{18, 60}
	if size := numberFromEnv("FLEET", 0); size > 0 {
		sizes = []int{size}
	}
	for _, boxes := range sizes {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var target *limitedTarget
			var asked []time.Time
			inVirtualTime(t, 1, boxes, func(f *fleet) {
				f.limits.Store(false)
				ctx, stop := context.WithCancel(f.t.Context())
				defer stop()
				go f.exchangePeriodically(ctx)
				target = newLimitedTarget(f, rate, true)
				admits := target.admits
				target.admits = func(ctx context.Context, limiter *quota.Limiter) bool {
					target.mu.Lock()
					asked = append(asked, time.Now())
					target.mu.Unlock()
					return admits(ctx, limiter)
				}
				target.offerLoad(ratePerBox*float64(boxes), duration)
			})
			askRate := float64(countWithin(asked, target.started.Add(warmUp), target.started.Add(duration))) / (duration - warmUp).Seconds()
			used := float64(target.received(target.started.Add(warmUp), target.started.Add(duration))) / (rate * (duration - warmUp).Seconds())
			t.Logf("%d gateways: %.1f credit requests and probes per second, %.2f of the limit used, %.2f of the margin used", boxes, askRate, used, target.marginUsed())
			g.Expect(askRate).To(BeNumerically("<=", 1.5*acceptedRate))
			g.Expect(used).To(BeNumerically(">=", 0.9))
			expectWithinLimit(g, target, rate)
		})
	}
}

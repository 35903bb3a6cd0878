package quota_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
)

// localBucket is the token bucket of one gateway.
type localBucket struct {
	level float64
	at    time.Time
}

// localBuckets is a strategy for comparison, in which gateways do not communicate: each one
// admits requests by its own bucket, at the limit divided by the number of gateways. depth is
// the depth of each bucket, in requests.
func localBuckets(target *limitedTarget, rate, depth float64) func(context.Context, *quota.Limiter) bool {
	var mu sync.Mutex
	buckets := map[*quota.Limiter]*localBucket{}
	share := rate / float64(len(target.fleet.boxes))
	return func(_ context.Context, limiter *quota.Limiter) bool {
		mu.Lock()
		defer mu.Unlock()
		b := buckets[limiter]
		if b == nil {
			b = &localBucket{at: target.started}
			buckets[limiter] = b
		}
		b.level = min(b.level+share*time.Since(b.at).Seconds(), depth)
		b.at = time.Now()
		if b.level < 1 {
			return false
		}
		b.level--
		return true
	}
}

// Both strategies run with the same seeds and without faults. With credit from a home, the
// limit is respected and used; local buckets exceed it or use less of it, the more so the more
// gateways there are.
func TestStrategiesForTargetLimitWithoutFaults(t *testing.T) {
	const duration = 40 * time.Second
	for _, rate := range []float64{1, 2.8, 8} {
		for name, strategy := range map[string]func(target *limitedTarget){
			"credit from a home":       func(*limitedTarget) {},
			"local buckets of depth 1": func(target *limitedTarget) { target.admits = localBuckets(target, rate, 1) },
			"local buckets of depth 3": func(target *limitedTarget) { target.admits = localBuckets(target, rate, 3) },
		} {
			t.Run(fmt.Sprintf("%s/%g", name, rate), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var target *limitedTarget
				inVirtualTime(t, 1, size(), func(f *fleet) {
					f.limits.Store(false)
					ctx, stop := context.WithCancel(f.t.Context())
					defer stop()
					go f.exchangePeriodically(ctx)
					target = newLimitedTarget(f, rate, true)
					strategy(target)
					target.offerLoad(offeredRate, duration)
				})
				used := float64(target.received(target.started.Add(limitSettling), target.started.Add(duration))) / (rate * (duration - limitSettling).Seconds())
				t.Logf("%s at %g per second: %.2f of the margin used, %.2f of the limit used", name, rate, target.marginUsed(), used)
				if name == "credit from a home" {
					expectWithinLimit(g, target, rate)
					g.Expect(used).To(BeNumerically(">=", 0.9))
				}
			})
		}
	}
}

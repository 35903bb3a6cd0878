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

// part is a token bucket of one gateway.
type part struct {
	level float64
	at    time.Time
}

// parts is another way to hold a limit, for comparison: each gateway sends the part that falls
// to it, by how many there are, and asks nobody. depth is what a part may save up, in requests.
func parts(n *inNeed, rate, depth float64) func(context.Context, *quota.Limiter) bool {
	var mu sync.Mutex
	all := map[*quota.Limiter]*part{}
	each := rate / float64(len(n.fleet.boxes))
	return func(_ context.Context, register *quota.Limiter) bool {
		mu.Lock()
		defer mu.Unlock()
		p := all[register]
		if p == nil {
			p = &part{at: n.first}
			all[register] = p
		}
		p.level = min(p.level+each*time.Since(p.at).Seconds(), depth)
		p.at = time.Now()
		if p.level < 1 {
			return false
		}
		p.level--
		return true
	}
}

// Two ways on the same seeds, in calm: credit by a home holds the limit and uses it; parts
// hold less or use less, and the more so the more gateways there are.
func TestWaysToHoldALimitInCalm(t *testing.T) {
	const calm = 40 * time.Second
	for _, rate := range []float64{1, 2.8, 8} {
		for name, way := range map[string]func(n *inNeed){
			"credit by a home":             func(*inNeed) {},
			"a part for each, one saved":   func(n *inNeed) { n.admits = parts(n, rate, 1) },
			"a part for each, three saved": func(n *inNeed) { n.admits = parts(n, rate, 3) },
		} {
			t.Run(fmt.Sprintf("%s/%g", name, rate), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var n *inNeed
				inVirtualTime(t, 1, size(), func(f *fleet) {
					f.limits.Store(false)
					ctx, stop := context.WithCancel(f.t.Context())
					defer stop()
					go f.spread(ctx)
					n = newInNeed(f, rate, true)
					way(n)
					n.load(offered, calm)
				})
				used := float64(n.got(n.first.Add(limitSettles), n.first.Add(calm))) / (rate * (calm - limitSettles).Seconds())
				t.Logf("%s at %g a second: %.2f of what is left, %.2f of the limit used", name, rate, n.spent(), used)
				if name == "credit by a home" {
					holds(g, n, rate)
					g.Expect(used).To(BeNumerically(">=", 0.9))
				}
			})
		}
	}
}

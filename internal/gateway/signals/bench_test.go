package signals_test

import (
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/signals"
)

// A target search asks which of 120 targets to avoid, and whether the chosen one may be sent a
// request. The cases: none, few and most targets asked for back-off, or some are leaving.
func BenchmarkTargetSearch(b *testing.B) {
	targets := make([]catalog.Target, 120)
	for i := range targets {
		targets[i] = target(i)
	}
	for name, c := range map[string]struct{ backingOff, leaving int }{
		"no signals": {}, "20 leaving": {leaving: 20}, "3 back-offs": {backingOff: 3}, "80 back-offs": {backingOff: 80},
	} {
		b.Run(name, func(b *testing.B) {
			r, other := signals.New(signals.Options{Self: "a"}), signals.New(signals.Options{Self: "b"})
			for i := range c.leaving {
				r.Observe(targets[i], signal.Signals{Leaving: true})
			}
			for i := range c.backingOff {
				r.Observe(targets[i], signal.Signals{BackOff: time.Minute})
				other.Observe(targets[i], signal.Signals{BackOff: time.Minute})
			}
			for at := ""; ; {
				body, to := other.Updates().Since(at)
				if len(body) == 0 {
					break
				}
				r.Updates().Merge(body, "b")
				at = to
			}
			for b.Loop() {
				r.Avoided(targets)
				r.BackOffs()
				r.BackOffLeft(targets[len(targets)-1].Life())
			}
		})
	}
}

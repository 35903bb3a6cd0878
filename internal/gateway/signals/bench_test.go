package signals_test

import (
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/signals"
)

// What a search asks of signals: which of 120 targets are avoided, and whether the one that was
// chosen may be sent something, where none, few and most asked for back-off, or some leave.
func BenchmarkWhatASearchAsks(b *testing.B) {
	targets := make([]catalog.Target, 120)
	for i := range targets {
		targets[i] = target(i)
	}
	for name, c := range map[string]struct{ asking, leaving int }{
		"none says anything": {}, "20 leave": {leaving: 20}, "3 ask": {asking: 3}, "80 ask": {asking: 80},
	} {
		b.Run(name, func(b *testing.B) {
			r, other := signals.New(signals.Options{Self: "a"}), signals.New(signals.Options{Self: "b"})
			for i := range c.leaving {
				r.Observe(targets[i], signal.Signals{Leaving: true})
			}
			for i := range c.asking {
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
				r.All()
				r.Left(targets[len(targets)-1].Life())
			}
		})
	}
}

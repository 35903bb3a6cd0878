package shutdown_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/estimate"
	"github.com/sprucecrank/sprucecrank/core/gateway/shutdown"
)

func TestRequestsThatCanBeExpectedToEndAreAllowed(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		end, deadline, longest time.Duration
		allowed                bool
	}{
		"not stopping":                            {0, 30 * time.Second, 0, true},
		"short work":                              {time.Second, 30 * time.Second, 50 * time.Millisecond, true},
		"long work with time left":                {15 * time.Second, 30 * time.Second, 10 * time.Second, true},
		"long work that may be a little longer":   {11 * time.Second, 30 * time.Second, 10 * time.Second, false},
		"long work":                               {8 * time.Second, 30 * time.Second, 10 * time.Second, false},
		"long work whose caller waits no longer":  {8 * time.Second, 8 * time.Second, 10 * time.Second, true},
		"unknown work":                            {15 * time.Second, 30 * time.Second, 0, false},
		"unknown work that ends with its caller":  {15 * time.Second, 3 * time.Second, 0, true},
		"the end has passed":                      {-time.Second, 30 * time.Second, time.Millisecond, false},
		"the end has passed, and so its deadline": {-time.Second, -2 * time.Second, time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := shutdown.Request{Now: now, Deadline: now.Add(c.deadline), Longest: c.longest}
			if c.end != 0 {
				r.End = now.Add(c.end)
			}
			NewWithT(t).Expect(shutdown.Allows(r)).To(Equal(c.allowed))
		})
	}
}

// A way to decide which requests a stopping gateway sends.
type way struct {
	name string
	// allows gets the time left, that to the request's deadline, and what is known of its route.
	allows func(left, deadline, median, longest time.Duration) bool
}

var ways = []way{
	{"all, as before", func(_, _, _, _ time.Duration) bool { return true }},
	{"by the deadline alone", func(left, deadline, _, _ time.Duration) bool { return deadline <= left }},
	{"twice the median", func(left, _, median, _ time.Duration) bool { return 2*median <= left }},
	{"four times the median", func(left, _, median, _ time.Duration) bool { return 4*median <= left }},
	{"the longest lately", func(left, _, _, longest time.Duration) bool { return longest <= left }},
	{"the longest lately, and a quarter", func(left, _, _, longest time.Duration) bool { return longest*5/4 <= left }},
	{"the longest lately, a tenth and 0.25 s", func(left, deadline, _, longest time.Duration) bool {
		now := time.Unix(1000, 0)
		return shutdown.Allows(shutdown.Request{Now: now, End: now.Add(left), Deadline: now.Add(deadline), Longest: longest})
	}},
}

// kind is how long requests take.
type kind struct {
	name string
	// foreseeable says that others took about as long.
	foreseeable bool
	draw        func(*rand.Rand) time.Duration
}

var kinds = []kind{
	{"50 ms", true, func(r *rand.Rand) time.Duration { return around(50*time.Millisecond, 0.1, r) }},
	{"50 ms, with a tail", true, func(r *rand.Rand) time.Duration {
		return time.Duration(50e6 * math.Exp(r.NormFloat64()))
	}},
	{"2 s, exponential", false, func(r *rand.Rand) time.Duration { return time.Duration(2e9 * r.ExpFloat64()) }},
	{"10 s", true, func(r *rand.Rand) time.Duration { return around(10*time.Second, 0.05, r) }},
}

func around(d time.Duration, spread float64, r *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (1 + spread*(2*r.Float64()-1)))
}

// stop is how the requests of many stops ended.
type stop struct{ cut, needless, served int }

// simulate has requests arrive while a gateway accepts any, for half of the grace.
func simulate(w way, k kind, grace time.Duration) (s stop) {
	const (
		seeds    = 200
		measured = 60
		requests = 20
		deadline = 30 * time.Second
	)
	end := grace - min(grace/10, 500*time.Millisecond)
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		known := estimate.New()
		var took []time.Duration
		for range measured {
			d := k.draw(r)
			took = append(took, d)
			known.RecordDuration("a", d)
		}
		median := medianOf(took)
		for range requests {
			at := time.Duration(r.Float64() * float64(grace/2))
			ends := at + k.draw(r)
			allowed := w.allows(end-at, deadline, median, known.Longest("a"))
			switch {
			case allowed && ends > end:
				s.cut++
			case allowed:
				s.served++
			case ends <= end:
				s.needless++
			}
		}
	}
	return s
}

func medianOf(d []time.Duration) time.Duration {
	sorted := append([]time.Duration(nil), d...)
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return sorted[len(sorted)/2]
}

// The ways on the same seeds; docs/design/planned-stops.md has the rows.
func TestTheWayThatWasChosenCutsFewAndRefusesFew(t *testing.T) {
	g := NewWithT(t)
	for _, grace := range []time.Duration{6 * time.Second, 16 * time.Second} {
		for _, k := range kinds {
			results := map[string]stop{}
			for _, w := range ways {
				s := simulate(w, k, grace)
				results[w.name] = s
				t.Logf("| %v | %s | %s | %d | %d | %d |", grace, k.name, w.name, s.cut, s.needless, s.served)
			}
			before, chosen := results[ways[0].name], results[ways[len(ways)-1].name]
			g.Expect(chosen.cut).To(BeNumerically("<=", (before.cut+before.served)/100), "%v, %s", grace, k.name)
			if k.foreseeable {
				g.Expect(chosen.served).To(BeNumerically(">=", before.served/2), "%v, %s", grace, k.name)
			}
		}
	}
}

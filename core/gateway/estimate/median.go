package estimate

import "time"

const (
	// medianStep is how far one duration moves the median, as a share of the median.
	medianStep = 0.06
	// initialMedianStep is how far the first duration moves it; the steps shrink from
	// there with the number of durations (docs/DESIGN.md, "learn by large steps at
	// first").
	initialMedianStep = 0.5
)

// median estimates the median of durations.
type median struct {
	value   time.Duration
	samples int
}

// movedTowards returns the median after one step from before, its previous value, towards
// a duration.
func (m median) movedTowards(before, took time.Duration) median {
	share := max(medianStep, initialMedianStep/float64(m.samples+1))
	step := time.Duration(share * float64(before))
	m.samples++
	if took > before {
		m.value = before + min(step, took-before)
	} else {
		m.value = before - min(step, before-took)
	}
	return m
}

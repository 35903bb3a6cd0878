package estimate

import "time"

const (
	// medianStep is how far one duration moves the median, as a share of it.
	medianStep = 0.06
	// firstMedianStep is how far the first duration moves it; the steps fall from
	// there with the number of durations (docs/DESIGN.md, "learn by
	// large steps at first").
	firstMedianStep = 0.5
)

// median follows the median of durations.
type median struct {
	value time.Duration
	seen  int
}

// moved is the median, which was before, moved by one step towards a duration.
func (m median) moved(before, took time.Duration) median {
	share := max(medianStep, firstMedianStep/float64(m.seen+1))
	step := time.Duration(share * float64(before))
	m.seen++
	if took > before {
		m.value = before + min(step, took-before)
	} else {
		m.value = before - min(step, before-took)
	}
	return m
}

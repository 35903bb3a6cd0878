package estimate

import "time"

const (
	// longestDecay is how far one shorter duration moves the longest, as a share of the
	// difference.
	longestDecay = 0.02
	// minLongestSamples is how many durations tell something of those to come.
	minLongestSamples = 3
)

// longest estimates how long the longest durations lately are.
type longest struct {
	value   time.Duration
	samples int
}

// with returns the longest after another duration.
func (l longest) with(took time.Duration) longest {
	l.samples++
	if took >= l.value {
		l.value = took
		return l
	}
	l.value -= time.Duration(longestDecay * float64(l.value-took))
	return l
}

// Longest returns how long the longest requests of a route took lately, on whatever target; 0 if
// too few were answered to tell.
func (s *Service) Longest(route string) time.Duration {
	l := s.longest[route]
	if l.samples < minLongestSamples {
		return 0
	}
	return l.value
}

// RecordDuration records how long a request of a route took until its caller had the answer.
func (s *Service) RecordDuration(route string, took time.Duration) {
	s.longest[route] = s.longest[route].with(took)
}

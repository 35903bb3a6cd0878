package report

import (
	"maps"
	"slices"
	"time"
)

const (
	// firstSpan is how long a span of time is at first; spans get longer as the logs
	// cover more than maxSpans of them.
	firstSpan = 2 * time.Second
	maxSpans  = 2000
)

// Span sums up the requests that ended in a span of time.
type Span struct {
	began   time.Time
	endings [endings]int
}

// Began is when the span begins.
func (s Span) Began() time.Time { return s.began }

// Ended counts the requests that ended so.
func (s Span) Ended(e Ending) int { return s.endings[e] }

// spans are the sums over time, by the number of a span since the epoch.
type spans struct {
	width  time.Duration
	counts map[int64][endings]int
}

func newSpans() *spans { return &spans{width: firstSpan, counts: map[int64][endings]int{}} }

func (s *spans) add(at time.Time, e Ending) {
	number := at.UnixNano() / int64(s.width)
	counts := s.counts[number]
	counts[e]++
	s.counts[number] = counts
	for len(s.counts) > maxSpans {
		s.widen()
	}
}

// widen makes one span of two.
func (s *spans) widen() {
	merged := make(map[int64][endings]int, len(s.counts))
	for number, counts := range s.counts {
		sum := merged[number/2]
		for e, n := range counts {
			sum[e] += n
		}
		merged[number/2] = sum
	}
	s.counts = merged
	s.width *= 2
}

func (s *spans) list() []Span {
	var out []Span
	for _, number := range slices.Sorted(maps.Keys(s.counts)) {
		out = append(out, Span{began: time.Unix(0, number*int64(s.width)), endings: s.counts[number]})
	}
	return out
}

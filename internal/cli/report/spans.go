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
	// budgetSpan is the span over which gateways bound second sends by default.
	budgetSpan = 10 * time.Second
)

// Span sums up the requests that ended in a span of time.
type Span struct {
	began time.Time
	counts
}

// counts are the sums of one span.
type counts struct {
	endings     [endings]int
	secondSends int
}

func (c counts) add(o counts) counts {
	for e, n := range o.endings {
		c.endings[e] += n
	}
	c.secondSends += o.secondSends
	return c
}

func (c counts) requests() int {
	sum := 0
	for _, n := range c.endings {
		sum += n
	}
	return sum
}

// Began is when the span begins.
func (s Span) Began() time.Time { return s.began }

// Ended counts the requests that ended so.
func (s Span) Ended(e Ending) int { return s.endings[e] }

// spans are the sums over time, by the number of a span since the epoch.
type spans struct {
	width  time.Duration
	counts map[int64]counts
}

func newSpans() *spans { return &spans{width: firstSpan, counts: map[int64]counts{}} }

// add takes in a request that ended at a time, after some second sends.
func (s *spans) add(at time.Time, e Ending, secondSends int) {
	one := counts{secondSends: secondSends}
	one.endings[e] = 1
	number := at.UnixNano() / int64(s.width)
	s.counts[number] = s.counts[number].add(one)
	for len(s.counts) > maxSpans {
		s.widen()
	}
}

// widen makes one span of two.
func (s *spans) widen() {
	merged := make(map[int64]counts, len(s.counts))
	for number, c := range s.counts {
		merged[number/2] = merged[number/2].add(c)
	}
	s.counts = merged
	s.width *= 2
}

func (s *spans) list() []Span {
	var out []Span
	for _, number := range slices.Sorted(maps.Keys(s.counts)) {
		out = append(out, Span{began: time.Unix(0, number*int64(s.width)), counts: s.counts[number]})
	}
	return out
}

// peak returns the sums of the budgetSpan, or of the one span that is longer, with the most
// second sends, and of those the one with the fewest requests.
func (s *spans) peak() (most counts, length time.Duration) {
	n := max(int64(budgetSpan/s.width), 1)
	for first := range s.counts {
		var sum counts
		for number := first; number < first+n; number++ {
			sum = sum.add(s.counts[number])
		}
		if sum.secondSends > most.secondSends || sum.secondSends == most.secondSends && sum.requests() < most.requests() {
			most = sum
		}
	}
	return most, time.Duration(n) * s.width
}

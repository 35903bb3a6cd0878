package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/internal/cli/timeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
)

// maxSlots bounds the levels of fullness that are told apart; fuller targets count as
// one level.
const maxSlots = 64

// Service sums up the requests of one service.
type Service struct {
	name    string
	endings [endings]int
	reasons map[string]int
	held    *hdrhistogram.Histogram
	retries SecondSends
	hedges  SecondSends
	levels  map[level]*Level
	probed  int
	idle    int
	tiers   map[string]int // sends by how far their targets were
	spans   *spans
}

// SecondSends counts sends beyond the first, and those that brought the answer.
type SecondSends struct {
	Sent int
	Won  int
}

func newService(name string) *Service {
	return &Service{name: name, reasons: map[string]int{}, held: newHistogram(), levels: map[level]*Level{}, tiers: map[string]int{}, spans: newSpans()}
}

// Name is the service's.
func (s *Service) Name() string { return s.name }

// Ended counts the requests that ended so.
func (s *Service) Ended(e Ending) int { return s.endings[e] }

// Requests counts all of them.
func (s *Service) Requests() int {
	sum := 0
	for _, n := range s.endings {
		sum += n
	}
	return sum
}

// Reason is why requests were not served, and how many.
type Reason struct {
	Name  string
	Count int
}

// Reasons are those for which requests were not served, the most frequent first.
func (s *Service) Reasons() []Reason {
	var list []Reason
	for name, count := range s.reasons {
		list = append(list, Reason{Name: name, Count: count})
	}
	slices.SortFunc(list, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Held is the time that a share of the requests was held at most.
func (s *Service) Held(percent float64) time.Duration { return quantile(s.held, percent) }

// Retries are second sends after a failed one, Hedges those beside a slow one.
func (s *Service) Retries() SecondSends { return s.retries }

// Hedges are second sends beside a slow one.
func (s *Service) Hedges() SecondSends { return s.hedges }

// secondSends counts all of them.
func (s *Service) secondSends() int { return s.retries.Sent + s.hedges.Sent }

// PeakSecondSends returns the most second sends of requests that ended within any span of the
// returned length, and the number of requests that ended in it.
func (s *Service) PeakSecondSends() (secondSends, requests int, span time.Duration) {
	most, length := s.spans.peak()
	return most.secondSends, most.requests(), length
}

// Probed counts the targets that were probed, and those of them that were idle.
func (s *Service) Probed() (probed, idle int) { return s.probed, s.idle }

// Tier is how far targets were, and how many sends went there.
type Tier struct {
	Name  string
	Sends int
}

// Tiers count the sends by how far their targets were, the nearest first; none of a
// fleet that does not span regions.
func (s *Service) Tiers() []Tier {
	var list []Tier
	for _, tier := range []locality.Tier{locality.OwnHall, locality.OwnRegion, locality.OtherRegion} {
		if sends, ok := s.tiers[tier.String()]; ok {
			list = append(list, Tier{Name: tier.String(), Sends: sends})
		}
	}
	return list
}

// Levels are the sums by how full the target was, the emptiest first.
func (s *Service) Levels() []*Level {
	return slices.SortedFunc(maps.Values(s.levels), func(a, b *Level) int {
		return cmp.Or(cmp.Compare(a.level.slots, b.level.slots), cmp.Compare(a.level.running, b.level.running))
	})
}

func (s *Service) add(line timeline.Line, ending Ending) {
	s.endings[ending]++
	if line.Reason != "" {
		s.reasons[string(line.Reason)]++
	}
	record(s.held, line.HeldMS)
	s.probed += line.Probed
	s.idle += line.Idle
	first := true
	for _, send := range line.Sends {
		if send.Gateway != "" {
			continue // another gateway reports what it sent
		}
		if send.Tier != "" {
			s.tiers[send.Tier]++
		}
		s.addSend(send, line, first)
		first = first && send.Hedge // hedges may have ended before the first send
	}
}

func (s *Service) addSend(send forward.Send, line timeline.Line, first bool) {
	won := isServed(send, line.Status)
	switch {
	case send.Hedge:
		s.hedges.add(won)
	case !first:
		s.retries.add(won)
	}
	if send.Slots == 0 || !won {
		return // no report, or not worked on to its end
	}
	at := level{running: min(send.Running, maxSlots), slots: min(send.Slots, maxSlots)}
	l, ok := s.levels[at]
	if !ok {
		l = &Level{level: at, predicted: newHistogram(), took: newHistogram()}
		s.levels[at] = l
	}
	l.sends++
	record(l.predicted, send.PredictedMS)
	record(l.took, send.TookMS)
}

func (c *SecondSends) add(won bool) {
	c.Sent++
	if won {
		c.Won++
	}
}

// level is how full a target was.
type level struct {
	running int
	slots   int
}

// Level sums up the sends to targets that were equally full.
type Level struct {
	level     level
	sends     int
	predicted *hdrhistogram.Histogram
	took      *hdrhistogram.Histogram
}

// Running is how many requests the targets worked on when they were chosen.
func (l *Level) Running() int { return l.level.running }

// String names the level as the report prints it.
func (l *Level) String() string { return fmt.Sprintf("%d of %d", l.level.running, l.level.slots) }

// Sends counts the sends that brought an answer.
func (l *Level) Sends() int { return l.sends }

// Predicted is the median of the times that were predicted, Took of those taken.
func (l *Level) Predicted() time.Duration { return quantile(l.predicted, median) }

// Took is the median of the times taken.
func (l *Level) Took() time.Duration { return quantile(l.took, median) }

const (
	median = 50
	// longestMS bounds the times that are told apart, in milliseconds.
	longestMS = 3_600_000
	// digits is how many digits of a time are kept: it bounds a histogram's memory.
	digits = 2
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMS, digits) }

// record takes in a time; it cannot fail within the histogram's bounds.
func record(h *hdrhistogram.Histogram, ms float64) {
	_ = h.RecordValue(int64(min(max(ms, 1), longestMS)))
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Millisecond
}

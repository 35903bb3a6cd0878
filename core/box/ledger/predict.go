package ledger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	smoothingFactor    = 0.1
	minSamples         = 50
	durationWindow     = 10 * time.Second
	maxDuration        = 10 * time.Minute
	minRetryAfter      = 100 * time.Millisecond
	noTargetRetryAfter = time.Second
)

// kindDurations holds the request durations of one kind over the last one to two
// windows.
type kindDurations struct {
	mean     float64 // smoothed, in seconds
	recent   *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	rotated  time.Time
	p95      time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDuration.Microseconds(), 2)
}

func (l *Ledger) durations(kind string) *kindDurations {
	k, ok := l.kinds[kind]
	if !ok {
		k = &kindDurations{recent: newHistogram(), previous: newHistogram()}
		l.kinds[kind] = k
	}
	return k
}

func (k *kindDurations) add(now time.Time, took time.Duration) {
	k.mean = ewma(k.mean, took.Seconds())
	if now.Sub(k.rotated) > durationWindow {
		k.previous, k.recent = k.recent, k.previous
		k.recent.Reset()
		k.rotated = now
	}
	_ = k.recent.RecordValue(min(took, maxDuration).Microseconds())
	if n := k.recent.TotalCount(); n >= minSamples && n%minSamples == 0 {
		k.p95 = time.Duration(k.recent.ValueAtQuantile(95)) * time.Microsecond
	}
}

func ewma(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smoothingFactor*(sample-mean)
}

// expectedDuration is the mean duration of a kind, or fallback until one was measured.
func (l *Ledger) expectedDuration(kind string, fallback time.Duration) time.Duration {
	if k, ok := l.kinds[kind]; ok && k.mean > 0 {
		return time.Duration(k.mean * float64(time.Second))
	}
	return fallback
}

// hedgeAfter is the kind's p95, or 0 when too few durations were measured.
func (l *Ledger) hedgeAfter(kind string) time.Duration {
	if k, ok := l.kinds[kind]; ok {
		return k.p95
	}
	return 0
}

// refuseEarly decides whether to refuse a request at once instead of queueing it.
func (l *Ledger) refuseEarly(now time.Time, r SlotRequest) (Decision, bool) {
	refused := func(reason verdict.Reason, after time.Duration) (Decision, bool) {
		return Decision{State: Refused, Reason: reason, RetryAfter: l.jitter(after)}, true
	}
	capacity := l.capacity(now)
	present := l.targetsPresent()
	switch {
	case present == 0:
		return refused(verdict.ReasonNoTarget, noTargetRetryAfter)
	case l.queue.len() >= l.options.MaxQueue && !l.evictLighter(now, r.Weight):
		return refused(verdict.ReasonQueueFull, l.drainTime())
	}
	wait := l.predictWait(l.queue.countAhead(r.Weight, r.Deadline)+1, max(capacity, 1))
	wait = max(wait, l.queue.predictClassWait(now, r.Weight))
	if now.Add(wait).After(l.latestStart(now, r)) {
		return refused(verdict.ReasonTooLate, wait)
	}
	return Decision{}, false
}

// evictLighter refuses the queued request that would be served last if its weight
// is below the given one, and reports whether it did.
func (l *Ledger) evictLighter(now time.Time, weight int) bool {
	w := l.queue.evictLast(now, weight)
	if w == nil {
		return false
	}
	l.addDecision(now, w, Decision{State: Refused, Reason: verdict.ReasonQueueFull, RetryAfter: l.jitter(l.drainTime())})
	return true
}

func (l *Ledger) targetsPresent() int {
	n := 0
	for _, t := range l.targets {
		if !t.leaving {
			n++
		}
	}
	return n
}

// predictWait is the time until n slots have become free.
func (l *Ledger) predictWait(n, capacity int) time.Duration {
	return time.Duration(float64(n) * l.meanSeconds / float64(capacity) * float64(time.Second))
}

// drainTime is how long the queue takes to drain.
func (l *Ledger) drainTime() time.Duration {
	slots := 0
	for _, t := range l.targets {
		slots += t.Slots
	}
	return l.predictWait(l.queue.len()+1, max(slots, 1))
}

// jitter extends a retry delay by up to half at random, so that refused clients
// do not retry at the same time.
func (l *Ledger) jitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d + time.Duration(l.options.Random()*float64(d)/2)
}

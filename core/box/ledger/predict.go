package ledger

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	smoothing    = 0.1
	leastSamples = 50
	timesWindow  = 10 * time.Second
	longestTook  = 10 * time.Minute
	retryFloor   = 100 * time.Millisecond
	noTargetWait = time.Second
)

// kindTimes holds the durations of one kind over the last one to two windows.
type kindTimes struct {
	mean    float64 // smoothed, in seconds
	recent  *hdrhistogram.Histogram
	before  *hdrhistogram.Histogram
	rotated time.Time
	p95     time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestTook.Microseconds(), 2)
}

func (l *Ledger) times(kind string) *kindTimes {
	k, ok := l.kinds[kind]
	if !ok {
		k = &kindTimes{recent: newHistogram(), before: newHistogram()}
		l.kinds[kind] = k
	}
	return k
}

func (k *kindTimes) add(now time.Time, took time.Duration) {
	k.mean = smooth(k.mean, took.Seconds())
	if now.Sub(k.rotated) > timesWindow {
		k.before, k.recent = k.recent, k.before
		k.recent.Reset()
		k.rotated = now
	}
	_ = k.recent.RecordValue(min(took, longestTook).Microseconds())
	if n := k.recent.TotalCount(); n >= leastSamples && n%leastSamples == 0 {
		k.p95 = time.Duration(k.recent.ValueAtQuantile(95)) * time.Microsecond
	}
}

func smooth(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smoothing*(sample-mean)
}

// usual is the mean duration of a kind, or the given one before any is known.
func (l *Ledger) usual(kind string, unknown time.Duration) time.Duration {
	if k, ok := l.kinds[kind]; ok && k.mean > 0 {
		return time.Duration(k.mean * float64(time.Second))
	}
	return unknown
}

// hedgeAfter is the kind's p95, or 0 when too little is known.
func (l *Ledger) hedgeAfter(kind string) time.Duration {
	if k, ok := l.kinds[kind]; ok {
		return k.p95
	}
	return 0
}

// refuse decides whether to refuse an ask at once instead of queueing it.
func (l *Ledger) refuse(now time.Time, a SlotRequest) (Decision, bool) {
	refused := func(r verdict.Reason, after time.Duration) (Decision, bool) {
		return Decision{State: Refused, Reason: r, RetryAfter: l.jitter(after)}, true
	}
	capacity := l.capacity(now)
	present := l.present()
	switch {
	case present == 0:
		return refused(verdict.ReasonNoTarget, noTargetWait)
	case l.queue.len() >= l.options.MaxQueue && !l.makeRoom(now, a.Weight):
		return refused(verdict.ReasonQueueFull, l.drain())
	}
	wait := l.predict(l.queue.ahead(a.Weight, a.Deadline)+1, max(capacity, 1))
	wait = max(wait, l.queue.classWait(now, a.Weight))
	if now.Add(wait).After(l.latestStart(now, a)) {
		return refused(verdict.ReasonTooLate, wait)
	}
	return Decision{}, false
}

// makeRoom refuses the ask that would be served last, if it weighs less than
// the new one.
func (l *Ledger) makeRoom(now time.Time, weight int) bool {
	w := l.queue.last(now, weight)
	if w == nil {
		return false
	}
	l.addDecision(now, w, Decision{State: Refused, Reason: verdict.ReasonQueueFull, RetryAfter: l.jitter(l.drain())})
	return true
}

func (l *Ledger) present() int {
	n := 0
	for _, t := range l.targets {
		if !t.leaving {
			n++
		}
	}
	return n
}

// predict is the wait until the n-th next slot is free.
func (l *Ledger) predict(n, capacity int) time.Duration {
	return time.Duration(float64(n) * l.meanSeconds / float64(capacity) * float64(time.Second))
}

// drain is how long the queue takes to empty.
func (l *Ledger) drain() time.Duration {
	slots := 0
	for _, t := range l.targets {
		slots += t.Slots
	}
	return l.predict(l.queue.len()+1, max(slots, 1))
}

// jitter spreads a time to come back over half again, so that refused clients
// do not return together.
func (l *Ledger) jitter(d time.Duration) time.Duration {
	d = max(d, retryFloor)
	return d + time.Duration(l.options.Random()*float64(d)/2)
}

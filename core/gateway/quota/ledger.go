package quota

import (
	"math"
	"time"
)

const (
	// maxAskRate is how many questions a second a home wants for one workspace that asks for
	// more than its limit: gateways pause between them, and what is due to them meanwhile is
	// given in one.
	maxAskRate = 200.0
	// maxPause bounds that pause, and with it how long a gateway refuses by what it learnt,
	// and minPause keeps questions apart.
	maxPause = 2 * time.Second
	minPause = 10 * time.Millisecond
	// slackShare is the share of the tolerance that a bucket holds beside the burst, since
	// requests come unevenly also of customers within their limits. What else may go wrong has
	// the rest.
	slackShare = 0.3
	// initialBurst and startSlack are the shares of burst and slack that a bucket begins with. It
	// may have stood elsewhere until now, and have been full there.
	initialBurst = 0.1
	initialSlack = 0.25
	// activeFor is how long a bucket that nobody asks counts as standing here, though gateways
	// come and go: of a workspace that asks for much questions come several times as often.
	activeFor = time.Second
	// stableAfter is how long no gateway came or went until a new bucket counts as never
	// having stood elsewhere: limits hold for windows of some seconds.
	stableAfter = 5 * time.Second
	// forgetAfter is how long a bucket is kept that nobody asks, and a borrower that nobody
	// uses: the one is full by then, and the other has nothing.
	forgetAfter = time.Minute
	// minDepth is the depth of the smallest bucket, be it of a small part of the fleet: one
	// request must fit, once it has been earned.
	minDepth = 1.0
)

// bucket is the credit of one subject (token bucket).
type bucket struct {
	limit Limit
	// version is that of a workspace's limit, and named what a target reported of its own.
	version    uint64
	known      KnownLimit
	asks       askBounds
	slack      float64
	level      float64
	share      float64
	refilledAt time.Time // level and share are of this moment
	// askedAt is when credit was last asked for, asked when it was last given or denied.
	askedAt    time.Time
	answeredAt time.Time
	// nextAsk is when the next gateway should ask that is given too little.
	nextAsk time.Time
}

// askBounds bounds the questions for one subject that asks for more than its limit.
type askBounds struct {
	// rate is how many questions a second are wanted, maxPause the longest pause.
	rate     float64
	maxPause time.Duration
}

// interval is the time between the turns of two gateways that were given too little.
func (a askBounds) interval() time.Duration { return time.Duration(float64(time.Second) / a.rate) }

// Ledger holds the buckets of the subjects whose home is one gateway. It is not safe for
// concurrent use.
type Ledger struct {
	members *Members
	buckets map[Subject]*bucket
	slack   float64
}

// NewLedger makes the ledger of a gateway that began at a moment. tolerance is how many
// requests more than a limit allows may be admitted in any window, whatever happens.
func NewLedger(self uint32, started time.Time, tolerance float64) *Ledger {
	return &Ledger{members: newMembers(self, started), buckets: map[Subject]*bucket{}, slack: slackShare * tolerance}
}

// Observe notes that a gateway is there, and whom it takes for homes.
func (l *Ledger) Observe(now time.Time, h Heartbeat) { l.members.observe(now, h) }

// SetFleetSize says about how many gateways there are.
func (l *Ledger) SetFleetSize(size int) { l.members.sampleInterval = sampleIntervalFor(size) }

// Fleet is how many gateways there were lately; its size is 0 while that is not known.
func (l *Ledger) Fleet(now time.Time) Fleet { return l.members.Fleet(now) }

// Tick forgets gateways that fell silent and buckets that nobody asks. It should be called
// some times a second.
func (l *Ledger) Tick(now time.Time) {
	l.members.prune(now)
	for subject, b := range l.buckets {
		if now.Sub(b.askedAt) > forgetAfter {
			delete(l.buckets, subject)
			continue
		}
		if share, known := l.members.share(now, subject); known {
			b.refill(now, share)
		}
	}
}

// MergeFleet takes in how large the fleet is to another gateway.
func (l *Ledger) MergeFleet(now time.Time, f Fleet) { l.members.mergeFleet(now, f) }

// Grant gives credit for requests of a subject. ok is false while it is not known how large
// the fleet is, and with it how much of the limit may be given out here.
func (l *Ledger) Grant(now time.Time, r CreditRequest) (grant Grant, ok bool) {
	share, known := l.members.share(now, r.Subject())
	b := l.bucket(now, r)
	if !known {
		return Grant{}, false
	}
	b.updateLimit(now, r)
	b.refill(now, share)
	l.resetLevel(now, b)
	b.answeredAt = now
	grant = b.newerLimit(now, r)
	if !b.limit.IsSet() {
		grant.Count = r.Count
		return grant, true
	}
	grant.Count = max(0, min(r.Count, int(b.level)))
	b.level -= float64(grant.Count)
	if grant.Count < r.Count {
		grant.Pause, grant.Permille = b.pause(now), int(math.Round(1000*b.share))
	}
	return grant, true
}

// resetLevel gives a bucket that is new here, or that may have stood elsewhere since it was
// last asked, no more than it may begin with.
func (l *Ledger) resetLevel(now time.Time, b *bucket) {
	switch {
	case b.answeredAt.IsZero() && now.Sub(l.members.changed) < stableAfter:
		b.level = min(b.level+b.initialLevel(), b.depth())
	case b.answeredAt.IsZero():
		b.level = b.depth()
	case now.Sub(b.answeredAt) > activeFor && l.members.changed.After(b.answeredAt):
		b.level = min(b.level, b.initialLevel(), b.depth())
	}
}

// bucket finds the bucket of a subject, or makes it: it earns credit from the first question
// on, be it one that comes before the fleet is known.
func (l *Ledger) bucket(now time.Time, r CreditRequest) *bucket {
	b := l.buckets[r.Subject()]
	if b == nil {
		b = &bucket{limit: r.Limit, version: r.Version, slack: l.slack, share: 1, refilledAt: now}
		if r.Target != "" {
			b.slack = 0
		}
		l.buckets[r.Subject()] = b
	}
	b.askedAt = now
	return b
}

// updateLimit takes in a limit that is newer than the bucket's.
func (b *bucket) updateLimit(now time.Time, r CreditRequest) {
	b.asks = askBounds{rate: maxAskRate, maxPause: maxPause}
	switch {
	case r.Target != "":
		b.known.Observe(now.Add(-r.Age), Advertised{Rate: r.Limit.Rate}, SourceGateway)
		b.limit = b.known.Advertised().Limit()
		b.asks = targetAsking(b.limit.Rate)
	case r.Version > b.version:
		b.limit, b.version = r.Limit, r.Version
	}
}

// newerLimit is a grant with what is known of a target's limit, where that is another one than the
// question holds.
func (b *bucket) newerLimit(now time.Time, r CreditRequest) Grant {
	if r.Target == "" || b.limit.Rate == r.Limit.Rate {
		return Grant{}
	}
	return Grant{Newer: true, Rate: b.limit.Rate, Age: b.known.Age(now)}
}

// initialLevel is the credit that a bucket may begin with.
func (b *bucket) initialLevel() float64 {
	return (initialBurst*b.limit.Burst + initialSlack*b.slack) * b.share
}

// depth is how much the bucket holds, for the part of the fleet whose home it is.
func (b *bucket) depth() float64 { return max((b.limit.Burst+b.slack)*b.share, minDepth) }

// refill works in what was earned since, by the smaller part of the fleet that was here
// meanwhile: the rest of it may have had another home.
func (b *bucket) refill(now time.Time, share float64) {
	earned := now.Sub(b.refilledAt).Seconds() * b.limit.Rate * min(b.share, share)
	b.share, b.refilledAt = share, now
	b.level = min(b.level+earned, b.depth())
}

// pause is for how long a gateway that got too little asks no more: until there is credit
// for one request, and those have had their turns that were given too little before. So
// questions come evenly, and no more than are wanted however many gateways there are.
func (b *bucket) pause(now time.Time) time.Duration {
	untilCredit := b.asks.maxPause
	if rate := b.limit.Rate * b.share; rate > 0 {
		untilCredit = time.Duration((1 - b.level) / rate * float64(time.Second))
	}
	askAt := now.Add(max(min(untilCredit, b.asks.maxPause), minPause))
	if b.nextAsk.After(askAt) {
		askAt = b.nextAsk
	}
	if latest := now.Add(b.asks.maxPause); askAt.After(latest) {
		askAt = latest // else turns would be given out far ahead, and wait for though few ask any more
	}
	b.nextAsk = askAt.Add(b.asks.interval())
	return askAt.Sub(now)
}

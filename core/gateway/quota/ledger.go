package quota

import (
	"math"
	"time"
)

const (
	// maxAskRate is the number of credit requests per second that a home accepts for one
	// workspace that exceeds its limit. Gateways pause between them, and receive the credit for
	// the whole pause at once.
	maxAskRate = 200.0
	// maxPause bounds that pause, and with it how long a gateway refuses requests on the basis
	// of an earlier grant. minPause keeps credit requests apart.
	maxPause = 2 * time.Second
	minPause = 10 * time.Millisecond
	// slackShare is the share of the tolerance that a bucket holds in addition to the burst,
	// since even customers within their limits send requests unevenly. The rest of the
	// tolerance covers failures.
	slackShare = 0.3
	// initialBurst and initialSlack are the shares of burst and slack that a new bucket starts
	// with. The subject may have had a full bucket at another home until now.
	initialBurst = 0.1
	initialSlack = 0.25
	// activeFor is how long after its last credit request a bucket still counts as in use here
	// when gateways join or leave. For a workspace with much traffic, credit requests come
	// several times as often.
	activeFor = time.Second
	// stableAfter is how long no gateway must have joined or left for a new bucket to start
	// full, since the subject can't have had another home lately: limits are enforced over
	// windows of several seconds.
	stableAfter = 5 * time.Second
	// forgetAfter is how long an unused bucket or LocalCredit is kept. By then the bucket is
	// full and the credit has expired.
	forgetAfter = time.Minute
	// minDepth is the minimum depth of a bucket, even for a small share of the fleet: it must
	// be able to hold the credit for one request.
	minDepth = 1.0
)

// bucket is the token bucket of one subject.
type bucket struct {
	limit Limit
	// version is the configuration version of a workspace's limit; known is a target's
	// advertised limit.
	version    uint64
	known      KnownLimit
	asks       askBounds
	slack      float64
	level      float64
	share      float64
	refilledAt time.Time // when level and share were last updated
	// askedAt is when credit was last asked for, answeredAt when it was last granted or denied.
	askedAt    time.Time
	answeredAt time.Time
	// nextAsk is when the next gateway that is granted too little should ask again.
	nextAsk time.Time
}

// askBounds bounds the credit requests for one subject that exceeds its limit.
type askBounds struct {
	// rate is the accepted number of credit requests per second, maxPause the longest pause
	// between those of one gateway.
	rate     float64
	maxPause time.Duration
}

// interval is the time between the credit requests of two gateways that were granted too
// little.
func (a askBounds) interval() time.Duration { return time.Duration(float64(time.Second) / a.rate) }

// Ledger holds the buckets of the subjects whose home is one gateway. It is not safe for
// concurrent use.
type Ledger struct {
	members *Members
	buckets map[Subject]*bucket
	slack   float64
}

// NewLedger returns the ledger of a gateway that started at a given time. tolerance is how many
// requests beyond a limit may be admitted in any window, whatever fails.
func NewLedger(self uint32, started time.Time, tolerance float64) *Ledger {
	return &Ledger{members: newMembers(self, started), buckets: map[Subject]*bucket{}, slack: slackShare * tolerance}
}

// Observe records a heartbeat, with the gateways that its sender takes for homes.
func (l *Ledger) Observe(now time.Time, h Heartbeat) { l.members.observe(now, h) }

// SetFleetSize sets the approximate number of gateways.
func (l *Ledger) SetFleetSize(size int) { l.members.sampleInterval = sampleIntervalFor(size) }

// Fleet returns the recent number of gateways; its size is 0 while that is unknown.
func (l *Ledger) Fleet(now time.Time) Fleet { return l.members.Fleet(now) }

// Tick removes gateways whose heartbeats stopped and buckets that are no longer used. Call it
// several times per second.
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

// MergeFleet merges the fleet size known to another gateway.
func (l *Ledger) MergeFleet(now time.Time, f Fleet) { l.members.mergeFleet(now, f) }

// Grant grants credit for requests of a subject. ok is false while the fleet size is unknown,
// and with it the share of the limit that may be granted here.
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

// resetLevel limits the level of a bucket to its initial level if the bucket is new here, or if
// the subject may have had another home since the last credit request.
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

// bucket returns the bucket of a subject, and creates it if necessary. A bucket earns credit
// from the first credit request on, even from one that arrives before the fleet size is known.
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

// updateLimit applies the limit in a credit request if it is newer than the bucket's.
func (b *bucket) updateLimit(now time.Time, r CreditRequest) {
	b.asks = askBounds{rate: maxAskRate, maxPause: maxPause}
	switch {
	case r.Target != "":
		b.known.Observe(now.Add(-r.Age), Advertised{Rate: r.Limit.Rate}, SourceGateway)
		b.limit = b.known.Advertised().Limit()
		b.asks = targetAskBounds(b.limit.Rate)
	case r.Version > b.version:
		b.limit, b.version = r.Limit, r.Version
	}
}

// newerLimit returns a grant with the target's known limit, if that differs from the one in the
// credit request.
func (b *bucket) newerLimit(now time.Time, r CreditRequest) Grant {
	if r.Target == "" || b.limit.Rate == r.Limit.Rate {
		return Grant{}
	}
	return Grant{Newer: true, Rate: b.limit.Rate, Age: b.known.Age(now)}
}

// initialLevel is the credit that a bucket starts with.
func (b *bucket) initialLevel() float64 {
	return (initialBurst*b.limit.Burst + initialSlack*b.slack) * b.share
}

// depth is the capacity of the bucket, for the share of the fleet whose home this is.
func (b *bucket) depth() float64 { return max((b.limit.Burst+b.slack)*b.share, minDepth) }

// refill adds the credit earned since the last refill, for the smaller of the old and the new
// share: the rest of the fleet may have used another home meanwhile.
func (b *bucket) refill(now time.Time, share float64) {
	earned := now.Sub(b.refilledAt).Seconds() * b.limit.Rate * min(b.share, share)
	b.share, b.refilledAt = share, now
	b.level = min(b.level+earned, b.depth())
}

// pause returns how long a gateway that was granted too little must not ask again: until there
// is credit for one request, and until the gateways that were granted too little before have
// asked. This spreads credit requests evenly and bounds their rate independently of the number
// of gateways.
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
		askAt = latest // without this bound, times would be assigned far ahead and few gateways would wait for many that no longer ask
	}
	b.nextAsk = askAt.Add(b.asks.interval())
	return askAt.Sub(now)
}

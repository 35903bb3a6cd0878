package quota

import (
	"math"
	"time"
)

const (
	// askRate is how many questions a second a home wants for one workspace that asks for
	// more than its limit: gateways pause between them, and what is due to them meanwhile is
	// given in one.
	askRate = 200.0
	// maxPause bounds that pause, and with it how long a gateway refuses by what it learnt,
	// and minPause keeps questions apart.
	maxPause = 2 * time.Second
	minPause = 10 * time.Millisecond
	// slackShare is the share of the tolerance that a bucket holds beside the burst, since
	// requests come unevenly also of customers within their limits. What else may go wrong has
	// the rest.
	slackShare = 0.3
	// startBurst and startSlack are the shares of burst and slack that a bucket begins with. It
	// may have stood elsewhere until now, and have been full there.
	startBurst = 0.1
	startSlack = 0.25
	// idleFor is how long a bucket that nobody asks counts as standing here, though gateways
	// come and go: of a workspace that asks for much questions come several times as often.
	idleFor = time.Second
	// steadyAfter is how long no gateway came or went until a new bucket counts as never
	// having stood elsewhere: limits hold for windows of some seconds.
	steadyAfter = 5 * time.Second
	// forgetAfter is how long a bucket is kept that nobody asks, and a borrower that nobody
	// uses: the one is full by then, and the other has nothing.
	forgetAfter = time.Minute
	// leastBurst is the depth of the smallest bucket, be it of a small part of the fleet: one
	// request must fit, once it has been earned.
	leastBurst = 1.0
)

// bucket is the credit of one subject (token bucket).
type bucket struct {
	limit Limit
	// version is that of a workspace's limit, and named what a target reported of its own.
	version uint64
	named   Named
	asking  asking
	slack   float64
	level   float64
	share   float64
	at      time.Time // level and share are of this moment
	// wanted is when credit was last asked for, asked when it was last given or denied.
	wanted time.Time
	asked  time.Time
	// turn is when the next gateway should ask that is given too little.
	turn time.Time
}

// asking bounds the questions for one subject that asks for more than its limit.
type asking struct {
	// rate is how many questions a second are wanted, maxPause the longest pause.
	rate     float64
	maxPause time.Duration
}

// turn is the time between the turns of two gateways that were given too little.
func (a asking) turn() time.Duration { return time.Duration(float64(time.Second) / a.rate) }

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
func (l *Ledger) Observe(now time.Time, s Standing) { l.members.observe(now, s) }

// SetFleet says about how many gateways there are.
func (l *Ledger) SetFleet(size int) { l.members.fraction = fractionOf(size) }

// Fleet is how many gateways there were lately; its size is 0 while that is not known.
func (l *Ledger) Fleet(now time.Time) Fleet { return l.members.Fleet(now) }

// Tick forgets gateways that fell silent and buckets that nobody asks. It should be called
// some times a second.
func (l *Ledger) Tick(now time.Time) {
	l.members.prune(now)
	for subject, b := range l.buckets {
		if now.Sub(b.wanted) > forgetAfter {
			delete(l.buckets, subject)
			continue
		}
		if share, known := l.members.share(now, subject); known {
			b.settle(now, share)
		}
	}
}

// NoteFleet takes in how large the fleet is to another gateway.
func (l *Ledger) NoteFleet(now time.Time, f Fleet) { l.members.noteFleet(now, f) }

// Take gives credit for requests of a subject. ok is false while it is not known how large
// the fleet is, and with it how much of the limit may be given out here.
func (l *Ledger) Take(now time.Time, w Want) (grant Grant, ok bool) {
	share, known := l.members.share(now, w.Subject())
	b := l.bucket(now, w)
	if !known {
		return Grant{}, false
	}
	b.observe(now, w)
	b.settle(now, share)
	l.startOrRestart(now, b)
	b.asked = now
	grant = b.newer(now, w)
	if !b.limit.IsSet() {
		grant.Count = w.Count
		return grant, true
	}
	grant.Count = max(0, min(w.Count, int(b.level)))
	b.level -= float64(grant.Count)
	if grant.Count < w.Count {
		grant.Pause, grant.Permille = b.pause(now), int(math.Round(1000*b.share))
	}
	return grant, true
}

// startOrRestart gives a bucket that is new here, or that may have stood elsewhere since it was
// last asked, no more than it may begin with.
func (l *Ledger) startOrRestart(now time.Time, b *bucket) {
	switch {
	case b.asked.IsZero() && now.Sub(l.members.changed) < steadyAfter:
		b.level = min(b.level+b.start(), b.depth())
	case b.asked.IsZero():
		b.level = b.depth()
	case now.Sub(b.asked) > idleFor && l.members.changed.After(b.asked):
		b.level = min(b.level, b.start(), b.depth())
	}
}

// bucket finds the bucket of a subject, or makes it: it earns credit from the first question
// on, be it one that comes before the fleet is known.
func (l *Ledger) bucket(now time.Time, w Want) *bucket {
	b := l.buckets[w.Subject()]
	if b == nil {
		b = &bucket{limit: w.Limit, version: w.Version, slack: l.slack, share: 1, at: now}
		if w.Target != "" {
			b.slack = 0
		}
		l.buckets[w.Subject()] = b
	}
	b.wanted = now
	return b
}

// observe takes in a limit that is newer than the bucket's.
func (b *bucket) observe(now time.Time, w Want) {
	b.asking = asking{rate: askRate, maxPause: maxPause}
	switch {
	case w.Target != "":
		b.named.Note(now.Add(-w.Age), Advertised{Rate: w.Limit.Rate}, ViaGateway)
		b.limit = b.named.Advertised().Limit()
		b.asking = targetAsking(b.limit.Rate)
	case w.Version > b.version:
		b.limit, b.version = w.Limit, w.Version
	}
}

// newer is a grant with what is known of a target's limit, where that is another one than the
// question holds.
func (b *bucket) newer(now time.Time, w Want) Grant {
	if w.Target == "" || b.limit.Rate == w.Limit.Rate {
		return Grant{}
	}
	return Grant{Newer: true, Rate: b.limit.Rate, Age: b.named.Age(now)}
}

// start is the credit that a bucket may begin with.
func (b *bucket) start() float64 {
	return (startBurst*b.limit.Burst + startSlack*b.slack) * b.share
}

// depth is how much the bucket holds, for the part of the fleet whose home it is.
func (b *bucket) depth() float64 { return max((b.limit.Burst+b.slack)*b.share, leastBurst) }

// settle works in what was earned since, by the smaller part of the fleet that was here
// meanwhile: the rest of it may have had another home.
func (b *bucket) settle(now time.Time, share float64) {
	earned := now.Sub(b.at).Seconds() * b.limit.Rate * min(b.share, share)
	b.share, b.at = share, now
	b.level = min(b.level+earned, b.depth())
}

// pause is for how long a gateway that got too little asks no more: until there is credit
// for one request, and those have had their turns that were given too little before. So
// questions come evenly, and no more than are wanted however many gateways there are.
func (b *bucket) pause(now time.Time) time.Duration {
	next := b.asking.maxPause
	if rate := b.limit.Rate * b.share; rate > 0 {
		next = time.Duration((1 - b.level) / rate * float64(time.Second))
	}
	turn := now.Add(max(min(next, b.asking.maxPause), minPause))
	if b.turn.After(turn) {
		turn = b.turn
	}
	if longest := now.Add(b.asking.maxPause); turn.After(longest) {
		turn = longest // else turns would be given out far ahead, and wait for though few ask any more
	}
	b.turn = turn.Add(b.asking.turn())
	return turn.Sub(now)
}

package quota

import (
	"math"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

const (
	// maxSharedLimits bounds the number of limits that gateways exchange. Limits beyond it are
	// not exchanged: evicting others to make room would have every answer of these targets sent
	// to the whole fleet. A gateway learns such a limit from an answer of the target, or from
	// the home when it asks for credit.
	maxSharedLimits = 256
	// maxUpdates bounds the limits in one message.
	maxUpdates = 32
	// minPublishedChange is the smallest relative change of a limit that is published. Many
	// limits change a little with each answer, and the home uses the most recent one anyway.
	minPublishedChange = 0.2
	// publishEvery is the minimum time between two published changes of one limit, whichever
	// gateway published the previous one: a target may advertise a limit in every second
	// answer.
	publishEvery = 500 * time.Millisecond
	// limitTTL and liftedTTL are how long a limit, or the lifting of one, is sent to gateways
	// that join, counted from its last change: as long as a gateway remembers an unused target.
	limitTTL  = 10 * time.Minute
	liftedTTL = time.Minute
)

// Update is a target's limit as gateways exchange it.
type Update struct {
	Life catalog.Life
	// Rate is the limit in requests per second; 0 if it was lifted.
	Rate float64
	// Edition grows with each published change of the limit. Of two updates with the same
	// edition the smaller limit wins.
	Edition uint64
	// Age is how long ago the target advertised the limit.
	Age time.Duration
}

// isValid reports whether an update received from another gateway may be merged.
func (u Update) isValid() bool {
	return u.Life.ID != "" && u.Rate >= 0 && u.Rate <= maxRate && u.Age >= 0 && u.Age < limitTTL
}

// supersedes reports whether an update replaces a limit known with the given edition and rate.
func (u Update) supersedes(edition uint64, rate float64) bool {
	if u.Edition != edition {
		return u.Edition > edition
	}
	return u.Rate != rate && u.Rate != 0 && (rate == 0 || u.Rate < rate)
}

// sharedLimit is the published limit of one target.
type sharedLimit struct {
	life    catalog.Life
	rate    float64
	edition uint64
	at      time.Time // when the target advertised it
	version uint64    // position in the log of the latest change here
	changed time.Time // time of that change
	// latest is what the target advertised last, whether it has been published or not.
	latest Advertised
}

func (l *sharedLimit) isExpired(now time.Time) bool {
	if l.rate == 0 {
		return now.Sub(l.at) >= liftedTTL
	}
	return now.Sub(l.at) >= limitTTL
}

// SharedLimits holds the limits of targets that gateways exchange. With them a gateway knows a
// target's limit before it first sends it a request, and learns at once that a limit was
// lifted. Editions make all gateways converge on the same limits in whatever order updates
// arrive, and no gateway forwards an update that it already knew. It is not safe for concurrent
// use.
type SharedLimits struct {
	log    *changes.Log
	limits map[catalog.Life]*sharedLimit
}

// NewSharedLimits returns an empty set of limits. logID is drawn at random, so that other
// gateways can distinguish the change log from that of an earlier process.
func NewSharedLimits(logID uint64) *SharedLimits {
	return &SharedLimits{log: changes.NewLog(logID), limits: map[catalog.Life]*sharedLimit{}}
}

// Position returns the position of the latest change.
func (s *SharedLimits) Position() changes.Position { return s.log.Position() }

// Observe records what a target advertised, and reports whether other gateways should receive
// it now. Changes held back because of publishEvery are published by Tick.
func (s *SharedLimits) Observe(now time.Time, life catalog.Life, advertised Advertised) (publish bool) {
	known := s.limits[life]
	if known == nil {
		return advertised.Rate > 0 && s.put(now, &sharedLimit{life: life, rate: advertised.Rate, edition: 1, at: now, latest: advertised})
	}
	known.latest = advertised
	return s.publishLatest(now, known)
}

// publishLatest publishes what a target advertised last, if that differs enough from the
// published limit and the previous change is long enough ago.
func (s *SharedLimits) publishLatest(now time.Time, l *sharedLimit) (published bool) {
	if !differsEnough(l.rate, l.latest.Rate) || now.Sub(l.changed) < publishEvery {
		return false
	}
	return s.put(now, &sharedLimit{life: l.life, rate: l.latest.Rate, edition: l.edition + 1, at: now, latest: l.latest})
}

// differsEnough reports whether a limit has changed enough to be published again.
func differsEnough(before, now float64) bool {
	if before == 0 || now == 0 {
		return before != now
	}
	return math.Abs(now-before) >= minPublishedChange*before
}

// put stores a limit as the latest change. It reports whether there was room for it.
func (s *SharedLimits) put(now time.Time, l *sharedLimit) bool {
	if _, known := s.limits[l.life]; !known && len(s.limits) >= maxSharedLimits {
		return false
	}
	l.version, l.changed = s.log.Next(), now
	s.limits[l.life] = l
	return true
}

// Merge applies updates from another gateway and returns those that were new here, which should
// be forwarded.
func (s *SharedLimits) Merge(now time.Time, updates []Update) (accepted []Update) {
	for _, u := range updates {
		known := s.limits[u.Life]
		if !u.isValid() || known != nil && !u.supersedes(known.edition, known.rate) {
			continue
		}
		l := &sharedLimit{life: u.Life, rate: u.Rate, edition: u.Edition, at: now.Add(-u.Age), latest: Advertised{Rate: u.Rate}}
		if !l.isExpired(now) && s.put(now, l) {
			accepted = append(accepted, u)
		}
	}
	return accepted
}

// Since returns the changes after a position in the change log, oldest first, and the position
// that they lead to. It returns at most maxUpdates of them.
func (s *SharedLimits) Since(now time.Time, at changes.Position) ([]Update, changes.Position) {
	after := s.log.After(at)
	var pending []changes.Change[Update]
	for _, l := range s.limits {
		if l.version > after {
			pending = append(pending, changes.Change[Update]{
				Version: l.version, Update: Update{Life: l.life, Rate: l.rate, Edition: l.edition, Age: now.Sub(l.at)},
			})
		}
	}
	return changes.NextBatch(s.log, pending, maxUpdates)
}

// Tick removes expired limits, and reports whether it published a change that was held back.
// Call it several times per second.
func (s *SharedLimits) Tick(now time.Time) (publish bool) {
	for life, l := range s.limits {
		if l.isExpired(now) {
			delete(s.limits, life)
			continue
		}
		publish = s.publishLatest(now, l) || publish
	}
	return publish
}

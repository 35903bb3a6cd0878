package quota

import (
	"math"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

const (
	// maxSharedLimits bounds the limits that gateways exchange. Further ones are advertised by
	// targets alone: to make room would have each answer of theirs sent to the whole fleet.
	maxSharedLimits = 256
	// maxUpdates bounds the limits in one message.
	maxUpdates = 32
	// minPublishedChange is the least change of a limit that is published, as a share of it: many move by
	// a little with each answer, and the home goes by the youngest.
	minPublishedChange = 0.2
	// publishEvery is the least time between two changes of one limit that are published, whoever sent
	// the one before: a target may name one in each second answer.
	publishEvery = 500 * time.Millisecond
	// limitTTL and liftedFor are for how long a limit is sent to those that come, once it
	// changed last: as long as gateways remember a target that nobody meets.
	limitTTL  = 10 * time.Minute
	liftedTTL = time.Minute
)

// Update is what gateways exchange of the limit that a target names.
type Update struct {
	Life catalog.Life
	// Rate is the limit in requests a second; 0 for none any more.
	Rate float64
	// Edition grows with each change that a target advertised; of two alike the smaller limit holds.
	Edition uint64
	// Age is how long ago the target advertised it.
	Age time.Duration
}

// isValid says whether an update can be taken in.
func (u Update) isValid() bool {
	return u.Life.ID != "" && u.Rate >= 0 && u.Rate <= maxRate && u.Age >= 0 && u.Age < limitTTL
}

// supersedes says whether an update replaces what is known at an edition.
func (u Update) supersedes(edition uint64, rate float64) bool {
	if u.Edition != edition {
		return u.Edition > edition
	}
	return u.Rate != rate && u.Rate != 0 && (rate == 0 || u.Rate < rate)
}

// sharedLimit is the limit of one target as it was last reported.
type sharedLimit struct {
	life    catalog.Life
	rate    float64
	edition uint64
	at      time.Time // when the target advertised it
	version uint64    // of the board, when it changed here
	changed time.Time // at that version
	// latest is what the target reported last, be it held back.
	latest Advertised
}

func (l *sharedLimit) isExpired(now time.Time) bool {
	if l.rate == 0 {
		return now.Sub(l.at) >= liftedTTL
	}
	return now.Sub(l.at) >= limitTTL
}

// SharedLimits holds the limits of targets that gateways exchange, so that each knows them
// before it sends a target anything, and learns at once that one is lifted. Whatever the order
// in which updates come, all boards end alike (editions), and nobody sends on what it knew. It is
// not safe for concurrent use.
type SharedLimits struct {
	log    *changes.Log
	limits map[catalog.Life]*sharedLimit
}

// NewSharedLimits makes a board that knows of no limit. number is drawn at random, so that others can
// distinguish it from that of an earlier process.
func NewSharedLimits(logID uint64) *SharedLimits {
	return &SharedLimits{log: changes.NewLog(logID), limits: map[catalog.Life]*sharedLimit{}}
}

// Position is how far the board has come.
func (s *SharedLimits) Position() changes.Position { return s.log.Position() }

// Observe takes in what a target reported of its limit, and says whether others should learn of it now;
// Tick releases what is held back.
func (s *SharedLimits) Observe(now time.Time, life catalog.Life, advertised Advertised) (publish bool) {
	known := s.limits[life]
	if known == nil {
		return advertised.Rate > 0 && s.put(now, &sharedLimit{life: life, rate: advertised.Rate, edition: 1, at: now, latest: advertised})
	}
	known.latest = advertised
	return s.publishLatest(now, known)
}

// publishLatest publishes what a target reported last, if it differs by much from what was
// reported, and that is some time ago.
func (s *SharedLimits) publishLatest(now time.Time, l *sharedLimit) (published bool) {
	if !differsEnough(l.rate, l.latest.Rate) || now.Sub(l.changed) < publishEvery {
		return false
	}
	return s.put(now, &sharedLimit{life: l.life, rate: l.latest.Rate, edition: l.edition + 1, at: now, latest: l.latest})
}

// differsEnough says whether a limit differs by much from the one that was sent.
func differsEnough(before, now float64) bool {
	if before == 0 || now == 0 {
		return before != now
	}
	return math.Abs(now-before) >= minPublishedChange*before
}

// put takes a notice in as the latest change, if there is room.
func (s *SharedLimits) put(now time.Time, l *sharedLimit) bool {
	if _, known := s.limits[l.life]; !known && len(s.limits) >= maxSharedLimits {
		return false
	}
	l.version, l.changed = s.log.Next(), now
	s.limits[l.life] = l
	return true
}

// Merge takes in what another gateway reported, and returns what of it is news here, which others
// should learn of.
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

// Since lists what changed since a position of this board, the earliest changes first, and how
// far that comes: not all where it is much.
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
	return changes.First(s.log, pending, maxUpdates)
}

// Tick forgets what is sent no more, and says whether anything that was held back should be sent
// now. It should be called some times a second.
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

package quota

import (
	"math"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

const (
	// maxNotices bounds the limits that gateways exchange. Further ones are advertised by
	// targets alone: to make room would have each answer of theirs sent to the whole fleet.
	maxNotices = 256
	// maxUpdates bounds the limits in one message.
	maxUpdates = 32
	// toldChange is the least change of a limit that is published, as a share of it: many move by
	// a little with each answer, and the home goes by the youngest.
	toldChange = 0.2
	// tellEvery is the least time between two changes of one limit that are published, whoever sent
	// the one before: a target may name one in each second answer.
	tellEvery = 500 * time.Millisecond
	// noticeFor and liftedFor are for how long a limit is sent to those that come, once it
	// changed last: as long as gateways remember a target that nobody meets.
	noticeFor = 10 * time.Minute
	liftedFor = time.Minute
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

// isSound says whether an update can be taken in.
func (w Update) isSound() bool {
	return w.Life.ID != "" && w.Rate >= 0 && w.Rate <= mostRate && w.Age >= 0 && w.Age < noticeFor
}

// isAfter says whether an update replaces what is known at an edition.
func (w Update) isAfter(edition uint64, rate float64) bool {
	if w.Edition != edition {
		return w.Edition > edition
	}
	return w.Rate != rate && w.Rate != 0 && (rate == 0 || w.Rate < rate)
}

// notice is the limit of one target as it was last reported.
type notice struct {
	life    catalog.Life
	rate    float64
	edition uint64
	at      time.Time // when the target advertised it
	version uint64    // of the board, when it changed here
	changed time.Time // at that version
	// latest is what the target reported last, be it held back.
	latest Advertised
}

func (n *notice) isOver(now time.Time) bool {
	if n.rate == 0 {
		return now.Sub(n.at) >= liftedFor
	}
	return now.Sub(n.at) >= noticeFor
}

// Board holds the limits of targets that gateways exchange, so that each knows them
// before it sends a target anything, and learns at once that one is lifted. Whatever the order
// in which updates come, all boards end alike (editions), and nobody sends on what it knew. It is
// not safe for concurrent use.
type Board struct {
	log     *changes.Log
	notices map[catalog.Life]*notice
}

// NewBoard makes a board that knows of no limit. number is drawn at random, so that others can
// distinguish it from that of an earlier process.
func NewBoard(number uint64) *Board {
	return &Board{log: changes.NewLog(number), notices: map[catalog.Life]*notice{}}
}

// Position is how far the board has come.
func (b *Board) Position() changes.Position { return b.log.Position() }

// Note takes in what a target reported of its limit, and says whether others should learn of it now;
// Tick releases what is held back.
func (b *Board) Note(now time.Time, life catalog.Life, advertised Advertised) (isNew bool) {
	known := b.notices[life]
	if known == nil {
		return advertised.Rate > 0 && b.put(now, &notice{life: life, rate: advertised.Rate, edition: 1, at: now, latest: advertised})
	}
	known.latest = advertised
	return b.tellLatest(now, known)
}

// tellLatest publishes what a target reported last, if it differs by much from what was
// reported, and that is some time ago.
func (b *Board) tellLatest(now time.Time, n *notice) (isNew bool) {
	if !isWorthSending(n.rate, n.latest.Rate) || now.Sub(n.changed) < tellEvery {
		return false
	}
	return b.put(now, &notice{life: n.life, rate: n.latest.Rate, edition: n.edition + 1, at: now, latest: n.latest})
}

// isWorthSending says whether a limit differs by much from the one that was sent.
func isWorthSending(before, now float64) bool {
	if before == 0 || now == 0 {
		return before != now
	}
	return math.Abs(now-before) >= toldChange*before
}

// put takes a notice in as the latest change, if there is room.
func (b *Board) put(now time.Time, n *notice) bool {
	if _, known := b.notices[n.life]; !known && len(b.notices) >= maxNotices {
		return false
	}
	n.version, n.changed = b.log.Next(), now
	b.notices[n.life] = n
	return true
}

// Merge takes in what another gateway reported, and returns what of it is news here, which others
// should learn of.
func (b *Board) Merge(now time.Time, updates []Update) (fresh []Update) {
	for _, w := range updates {
		known := b.notices[w.Life]
		if !w.isSound() || known != nil && !w.isAfter(known.edition, known.rate) {
			continue
		}
		n := &notice{life: w.Life, rate: w.Rate, edition: w.Edition, at: now.Add(-w.Age), latest: Advertised{Rate: w.Rate}}
		if !n.isOver(now) && b.put(now, n) {
			fresh = append(fresh, w)
		}
	}
	return fresh
}

// Since lists what changed since a position of this board, the earliest changes first, and how
// far that comes: not all where it is much.
func (b *Board) Since(now time.Time, at changes.Position) ([]Update, changes.Position) {
	after := b.log.After(at)
	var lacking []changes.Change[Update]
	for _, n := range b.notices {
		if n.version > after {
			lacking = append(lacking, changes.Change[Update]{
				Version: n.version, Update: Update{Life: n.life, Rate: n.rate, Edition: n.edition, Age: now.Sub(n.at)},
			})
		}
	}
	return changes.NextBatch(b.log, lacking, maxUpdates)
}

// Tick forgets what is sent no more, and says whether anything that was held back should be sent
// now. It should be called some times a second.
func (b *Board) Tick(now time.Time) (isNew bool) {
	for life, n := range b.notices {
		if n.isOver(now) {
			delete(b.notices, life)
			continue
		}
		isNew = b.tellLatest(now, n) || isNew
	}
	return isNew
}

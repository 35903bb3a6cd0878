package signal

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

const (
	// quorum is of how many gateways a target must have asked for back-off before all others avoid
	// it: one alone may send too much.
	quorum = 2
	// maxAvoidedShare is of how many of some targets gateways avoid those that asked for back-off. Where
	// more ask, those that are left can't serve for all, and would ask as well.
	maxAvoidedShare = 0.7
	// maxTargets bounds the targets that gateways share signals of. For further ones each gateway
	// goes by what it was asked itself.
	maxTargets = 256
	// maxUpdates bounds the updates in one message.
	maxUpdates = 32
	// longerBy is by how much longer than the one that was shared a back-off must be to be shared.
	longerBy = 500 * time.Millisecond
	// longestShared bounds a back-off as it is shared: a target that asks for more asks again.
	longestShared = time.Minute
	// leavingFor is how long it is shared that a target leaves: it has ended by then, or its entry
	// says so.
	leavingFor = time.Minute
)

// Update is a signal of one target as gateways share it.
type Update struct {
	Life catalog.Life
	// From is the id of the gateway to which the target said it.
	From string
	// BackOff is for how much longer the target asked From to send it nothing; 0 for not.
	BackOff time.Duration
	// Leaving says that the target leaves, and Age how long ago it was first said.
	Leaving bool
	Age     time.Duration
}

// isSound says whether an update can be taken in.
func (u Update) isSound() bool {
	isLeaving := u.Leaving && u.Age >= 0 && u.Age < leavingFor
	return u.Life.ID != "" && u.BackOff >= 0 && u.BackOff <= longestShared && (u.BackOff > 0 || isLeaving)
}

// asked is a gateway that a target asked for back-off.
type asked struct {
	from    string
	until   time.Time
	version uint64 // of the board, when it was taken in
}

// notice is what is known of one target.
type notice struct {
	asked []asked // at most quorum, those that end last
	// leftAt is when it was first said that the target leaves, zero if never, at a version.
	leftAt      time.Time
	leftVersion uint64
}

// left is for how much longer the target asks enough gateways for back-off; 0 for not.
func (n *notice) left(now time.Time) time.Duration {
	if len(n.asked) < quorum {
		return 0
	}
	first := slices.MinFunc(n.asked, func(a, b asked) int { return a.until.Compare(b.until) })
	return max(first.until.Sub(now), 0)
}

// Board holds the signals that gateways share: which targets leave, and which asked several gateways
// for back-off. It is not safe for concurrent use.
type Board struct {
	log     *changes.Log
	notices map[catalog.Life]*notice
	// lastAsking are the targets that were found to ask last.
	lastAsking askingTargets
}

// askingTargets are the targets that ask enough gateways for back-off, at a version of the board and
// until a moment.
type askingTargets struct {
	version uint64
	until   time.Time
	lives   map[catalog.Life]bool
}

// NewBoard makes an empty board. number is drawn at random, so that others can distinguish it from that of
// an earlier process.
func NewBoard(number uint64) *Board {
	return &Board{log: changes.NewLog(number), notices: map[catalog.Life]*notice{}}
}

// Position is how far the board has come.
func (b *Board) Position() changes.Position { return b.log.Position() }

// Note takes in what a target said to this gateway, and says whether it is to be shared.
func (b *Board) Note(now time.Time, u Update) (isNew bool) {
	u.BackOff = min(u.BackOff, longestShared)
	return u.isSound() && b.take(now, u)
}

// Merge takes in updates of another gateway, and returns those that are new here, which are to be
// shared in turn.
func (b *Board) Merge(now time.Time, updates []Update) (fresh []Update) {
	for _, u := range updates {
		if u.isSound() && b.take(now, u) {
			fresh = append(fresh, u)
		}
	}
	return fresh
}

func (b *Board) take(now time.Time, u Update) (isNew bool) {
	n := b.notices[u.Life]
	if n == nil {
		if len(b.notices) >= maxTargets {
			return false
		}
		n = &notice{}
	}
	if u.Leaving && n.leftAt.IsZero() {
		n.leftAt, n.leftVersion, isNew = now.Add(-u.Age), b.log.Next(), true
	}
	if u.BackOff > 0 && n.takeBackOff(now, u.From, now.Add(u.BackOff), b.log.Version()+1) {
		b.log.Next()
		isNew = true
	}
	if isNew {
		b.notices[u.Life] = n
	}
	return isNew
}

// takeBackOff takes in until when one gateway was asked, if it ends later by much than what is known
// of that gateway or, of another one, if there is room or one that has ended makes some.
func (n *notice) takeBackOff(now time.Time, from string, until time.Time, version uint64) bool {
	n.asked = slices.DeleteFunc(n.asked, func(a asked) bool { return !now.Before(a.until) })
	for i, a := range n.asked {
		if a.from != from {
			continue
		}
		if until.Sub(a.until) < longerBy {
			return false
		}
		n.asked[i] = asked{from: from, until: until, version: version}
		return true
	}
	if len(n.asked) == quorum {
		return false
	}
	n.asked = append(n.asked, asked{from: from, until: until, version: version})
	return true
}

// Left is for how much longer a target asks enough gateways for back-off; 0 for not.
func (b *Board) Left(now time.Time, life catalog.Life) time.Duration {
	n := b.notices[life]
	if n == nil {
		return 0
	}
	return n.left(now)
}

// Avoided are the targets that all gateways avoid since they asked enough of them for back-off; none
// where they are too large a share of some targets, which serve for each other. What it returns must
// not be changed.
func (b *Board) Avoided(now time.Time, targets []catalog.Target) map[catalog.Life]bool {
	asking := b.asking(now)
	if len(asking) == 0 {
		return nil // no look through all targets where none asks
	}
	count := 0
	for _, t := range targets {
		if asking[t.Life()] {
			count++
		}
	}
	if count == 0 || float64(count) > maxAvoidedShare*float64(len(targets)) {
		return nil
	}
	return asking
}

// asking are all targets that ask enough gateways for back-off. They are looked for again once the board
// has changed or the first of the back-offs has ended.
func (b *Board) asking(now time.Time) map[catalog.Life]bool {
	if c := b.lastAsking; c.version == b.log.Version() && now.Before(c.until) {
		return c.lives
	}
	found := askingTargets{version: b.log.Version(), until: now.Add(longestShared)}
	for life, n := range b.notices {
		left := n.left(now)
		if left == 0 {
			continue
		}
		if found.lives == nil {
			found.lives = map[catalog.Life]bool{}
		}
		found.lives[life] = true
		if end := now.Add(left); end.Before(found.until) {
			found.until = end
		}
	}
	b.lastAsking = found
	return found.lives
}

// Len is how many targets are remembered.
func (b *Board) Len() int { return len(b.notices) }

// Since lists what changed since a position of this board, the earliest changes first, and how far
// that comes: not all where it is much.
func (b *Board) Since(now time.Time, at changes.Position) ([]Update, changes.Position) {
	after := b.log.After(at)
	var lacking []changes.Change[Update]
	for life, n := range b.notices {
		if age := now.Sub(n.leftAt); n.leftVersion > after && age < leavingFor {
			lacking = append(lacking, changes.Change[Update]{Version: n.leftVersion, Update: Update{Life: life, Leaving: true, Age: age}})
		}
		for _, a := range n.asked {
			if left := a.until.Sub(now); a.version > after && left > 0 {
				lacking = append(lacking, changes.Change[Update]{Version: a.version, Update: Update{Life: life, From: a.from, BackOff: left}})
			}
		}
	}
	return changes.NextBatch(b.log, lacking, maxUpdates)
}

// Tick forgets what is not shared any more. It should be called some times a minute.
func (b *Board) Tick(now time.Time) {
	for life, n := range b.notices {
		n.asked = slices.DeleteFunc(n.asked, func(a asked) bool { return !now.Before(a.until) })
		if len(n.asked) == 0 && (n.leftAt.IsZero() || now.Sub(n.leftAt) >= leavingFor) {
			delete(b.notices, life)
		}
	}
}

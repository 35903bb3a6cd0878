package signal

import (
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

const (
	// quorum is the number of gateways that a target must have asked for back-off before
	// all others avoid it: a single gateway may simply be sending too much.
	quorum = 2
	// maxAvoidedShare is the maximum share of a set of targets that gateways avoid
	// because these asked for back-off. If more ask, the remaining ones can't take over
	// their load and would ask as well.
	maxAvoidedShare = 0.7
	// maxTargets bounds the targets for which gateways share signals. For further ones
	// each gateway uses only the signals that it received itself.
	maxTargets = 256
	// maxUpdates bounds the updates in one message.
	maxUpdates = 32
	// minExtension is how much longer than the shared one a back-off must be to be shared
	// again.
	minExtension = 500 * time.Millisecond
	// maxSharedBackOff bounds a back-off as it is shared: a target that asks for more
	// asks again.
	maxSharedBackOff = time.Minute
	// leavingLifetime is how long it is shared that a target is leaving: by then it has
	// ended, or its entry says so.
	leavingLifetime = time.Minute
)

// Update is a signal of one target in the form that gateways share.
type Update struct {
	Life catalog.Life
	// From is the id of the gateway that received the signal from the target.
	From string
	// BackOff is for how much longer the target asked From to send nothing; 0 if it did
	// not ask.
	BackOff time.Duration
	// Leaving says that the target is leaving, and Age how long ago that was first
	// signalled.
	Leaving bool
	Age     time.Duration
}

// isValid reports whether an update can be accepted.
func (u Update) isValid() bool {
	isLeaving := u.Leaving && u.Age >= 0 && u.Age < leavingLifetime
	return u.Life.ID != "" && u.BackOff >= 0 && u.BackOff <= maxSharedBackOff && (u.BackOff > 0 || isLeaving)
}

// backOffRequest is a target's request for back-off to one gateway.
type backOffRequest struct {
	from    string
	until   time.Time
	version uint64 // version of the board at which it was accepted
}

// targetSignals holds the signals of one target.
type targetSignals struct {
	backOffs []backOffRequest // at most quorum entries
	// leavingAt is when it was first signalled that the target is leaving, zero if never,
	// and leavingVersion the version of the board at which that was accepted.
	leavingAt      time.Time
	leavingVersion uint64
}

// remaining returns for how much longer back-off that the target requested applies at
// quorum gateways; 0 if it applies at fewer.
func (s *targetSignals) remaining(now time.Time) time.Duration {
	if len(s.backOffs) < quorum {
		return 0
	}
	first := slices.MinFunc(s.backOffs, func(r, b backOffRequest) int { return r.until.Compare(b.until) })
	return max(first.until.Sub(now), 0)
}

// Board holds the signals that gateways share: which targets are leaving, and which asked
// several gateways for back-off. It is not safe for concurrent use.
type Board struct {
	log     *changes.Log
	targets map[catalog.Life]*targetSignals
	// cachedAvoided is the latest result of askingForBackOff.
	cachedAvoided avoidedSet
}

// avoidedSet holds the targets whose back-off applies at quorum gateways, at a version of
// the board and until a time.
type avoidedSet struct {
	version uint64
	until   time.Time
	lives   map[catalog.Life]bool
}

// NewBoard returns an empty board. number is random, so that other gateways can
// distinguish the board from that of an earlier process.
func NewBoard(number uint64) *Board {
	return &Board{log: changes.NewLog(number), targets: map[catalog.Life]*targetSignals{}}
}

// Position returns the current position of the board's log of changes.
func (b *Board) Position() changes.Position { return b.log.Position() }

// Record records what a target signalled to this gateway, and reports whether it is to be
// shared.
func (b *Board) Record(now time.Time, u Update) (isNew bool) {
	u.BackOff = min(u.BackOff, maxSharedBackOff)
	return u.isValid() && b.apply(now, u)
}

// Merge applies updates of another gateway, and returns those that are new here, which
// are to be forwarded.
func (b *Board) Merge(now time.Time, updates []Update) (fresh []Update) {
	for _, u := range updates {
		if u.isValid() && b.apply(now, u) {
			fresh = append(fresh, u)
		}
	}
	return fresh
}

func (b *Board) apply(now time.Time, u Update) (isNew bool) {
	s := b.targets[u.Life]
	if s == nil {
		if len(b.targets) >= maxTargets {
			return false
		}
		s = &targetSignals{}
	}
	if u.Leaving && s.leavingAt.IsZero() {
		s.leavingAt, s.leavingVersion, isNew = now.Add(-u.Age), b.log.Next(), true
	}
	if u.BackOff > 0 && s.recordBackOff(now, u.From, now.Add(u.BackOff), b.log.Version()+1) {
		b.log.Next()
		isNew = true
	}
	if isNew {
		b.targets[u.Life] = s
	}
	return isNew
}

// recordBackOff records until when a target asked one gateway for back-off, and reports
// whether it was recorded: if it ends later by enough than the known back-off of that
// gateway or, for another gateway, if fewer than quorum unexpired entries are known.
func (s *targetSignals) recordBackOff(now time.Time, from string, until time.Time, version uint64) bool {
	s.backOffs = slices.DeleteFunc(s.backOffs, func(r backOffRequest) bool { return !now.Before(r.until) })
	for i, r := range s.backOffs {
		if r.from != from {
			continue
		}
		if until.Sub(r.until) < minExtension {
			return false
		}
		s.backOffs[i] = backOffRequest{from: from, until: until, version: version}
		return true
	}
	if len(s.backOffs) == quorum {
		return false
	}
	s.backOffs = append(s.backOffs, backOffRequest{from: from, until: until, version: version})
	return true
}

// BackOffRemaining returns for how much longer back-off that a target requested applies at
// quorum gateways; 0 if it applies at fewer.
func (b *Board) BackOffRemaining(now time.Time, life catalog.Life) time.Duration {
	s := b.targets[life]
	if s == nil {
		return 0
	}
	return s.remaining(now)
}

// Avoided returns the targets that all gateways avoid because these asked at least quorum
// gateways for back-off; nil if they are too large a share of the given targets, which
// serve in place of each other. The result must not be modified.
func (b *Board) Avoided(now time.Time, targets []catalog.Target) map[catalog.Life]bool {
	asking := b.askingForBackOff(now)
	if len(asking) == 0 {
		return nil // skips the search through all targets in the common case
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

// askingForBackOff returns all targets whose back-off applies at quorum gateways. The
// result is cached until the board changes or the first of the back-offs ends.
func (b *Board) askingForBackOff(now time.Time) map[catalog.Life]bool {
	if cached := b.cachedAvoided; cached.version == b.log.Version() && now.Before(cached.until) {
		return cached.lives
	}
	fresh := avoidedSet{version: b.log.Version(), until: now.Add(maxSharedBackOff)}
	for life, s := range b.targets {
		remaining := s.remaining(now)
		if remaining == 0 {
			continue
		}
		if fresh.lives == nil {
			fresh.lives = map[catalog.Life]bool{}
		}
		fresh.lives[life] = true
		if end := now.Add(remaining); end.Before(fresh.until) {
			fresh.until = end
		}
	}
	b.cachedAvoided = fresh
	return fresh.lives
}

// Len returns the number of targets that are remembered.
func (b *Board) Len() int { return len(b.targets) }

// Since returns what changed since a position of this board, the earliest changes first
// and at most maxUpdates of them, and the position that they lead to.
func (b *Board) Since(now time.Time, at changes.Position) ([]Update, changes.Position) {
	after := b.log.After(at)
	var missing []changes.Change[Update]
	for life, s := range b.targets {
		if age := now.Sub(s.leavingAt); s.leavingVersion > after && age < leavingLifetime {
			missing = append(missing, changes.Change[Update]{Version: s.leavingVersion, Update: Update{Life: life, Leaving: true, Age: age}})
		}
		for _, r := range s.backOffs {
			if remaining := r.until.Sub(now); r.version > after && remaining > 0 {
				missing = append(missing, changes.Change[Update]{Version: r.version, Update: Update{Life: life, From: r.from, BackOff: remaining}})
			}
		}
	}
	return changes.NextBatch(b.log, missing, maxUpdates)
}

// Tick deletes what is not shared any more. It should be called several times a minute.
func (b *Board) Tick(now time.Time) {
	for life, s := range b.targets {
		s.backOffs = slices.DeleteFunc(s.backOffs, func(r backOffRequest) bool { return !now.Before(r.until) })
		if len(s.backOffs) == 0 && (s.leavingAt.IsZero() || now.Sub(s.leavingAt) >= leavingLifetime) {
			delete(b.targets, life)
		}
	}
}

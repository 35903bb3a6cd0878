package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

// Ledger is what a gateway knows of requests under which targets ended. It is not safe
// for concurrent use.
type Ledger struct {
	log      *changes.Log
	records  map[string]*record // by content
	verdicts *Verdicts
}

// New makes a ledger that knows nothing. number is drawn at random, so that others can
// distinguish it from that of an earlier life of the gateway.
func New(number uint64) *Ledger {
	return &Ledger{log: changes.NewLog(number), records: map[string]*record{}, verdicts: &Verdicts{}}
}

// Verdicts are those by what is known now.
func (l *Ledger) Verdicts() *Verdicts { return l.verdicts }

// Size is how many requests the ledger knows of.
func (l *Ledger) Size() int { return len(l.records) }

// Position is how far the ledger has come.
func (l *Ledger) Position() changes.Position { return l.log.Position() }

// NoteEnd notes that a target ended while it had a request under way. Others should learn of
// it at once if it is not the first end under this request, else once Tick says so.
func (l *Ledger) NoteEnd(now time.Time, r Request, e End) {
	l.expire(now)
	kept := l.record(r.Print.Content, r.Service)
	kept.seen = now
	kept.ends = append(kept.ends, end{id: e.ID, target: e.Target, caller: r.Print.Caller, at: now, ran: e.Ran})
	kept.trim()
	if len(kept.ends) > 1 {
		l.touch(kept)
	}
	l.limit()
	l.judge()
}

// NoteAnswer notes that a target has run a request and lives, and says whether others
// should learn of that.
func (l *Ledger) NoteAnswer(now time.Time, r Request) bool {
	kept, ok := l.records[r.Print.Content]
	if !ok {
		return false
	}
	changed := false
	for i := range kept.ends {
		e := &kept.ends[i]
		excuse := Answered
		if e.caller == r.Print.Caller {
			excuse = Cleared
		}
		changed = e.raise(excuse) || changed
	}
	if !changed {
		return false
	}
	if kept.isHeldBack() && kept.against() == 0 {
		delete(l.records, kept.content)
		l.judge()
		return false
	}
	kept.seen = now
	kept.trim()
	l.touch(kept)
	l.judge()
	return true
}

// NoteRefused notes that a quarantined request came again, and says whether others should
// learn of that.
func (l *Ledger) NoteRefused(now time.Time, r Request) bool {
	kept, ok := l.records[r.Print.Content]
	if !ok {
		return false
	}
	kept.seen = now
	if now.Sub(kept.told) < toldAgainAfter {
		return false
	}
	l.touch(kept)
	return true
}

// Tick forgets what has lapsed, and no longer holds back what was noted some time ago. It
// says whether there is anything that others should learn of. It should be called each
// second.
func (l *Ledger) Tick(now time.Time) (isNew bool) {
	if l.expire(now) {
		l.judge()
	}
	for _, r := range l.records {
		if r.isHeldBack() && now.Sub(r.seen) >= holdBack {
			l.touch(r)
			isNew = true
		}
	}
	return isNew
}

func (l *Ledger) expire(now time.Time) bool {
	before := len(l.records)
	for content, r := range l.records {
		if now.Sub(r.seen) >= lapseAfter {
			delete(l.records, content)
		}
	}
	return len(l.records) < before
}

// Merge takes in what another gateway reported, and says whether that changes anything.
func (l *Ledger) Merge(now time.Time, updates []Update) bool {
	changed := false
	for _, w := range updates {
		if w.isSound() && w.Seen < lapseAfter {
			changed = l.merge(now, w) || changed
		}
	}
	if changed {
		l.limit()
		l.judge()
	}
	return changed
}

// isSound says whether an update can be taken in: none from the future, which would never
// lapse, and no more than a gateway reports.
func (w Update) isSound() bool {
	if w.Content == "" || w.Seen < 0 || len(w.Ends) == 0 || len(w.Ends) > maxEnds {
		return false
	}
	return !slices.ContainsFunc(w.Ends, func(e End) bool {
		return e.Target == "" || e.Ago < 0 || e.Ran < 0 || e.Excuse < None || e.Excuse > Cleared
	})
}

func (l *Ledger) merge(now time.Time, w Update) bool {
	kept := l.record(w.Content, w.Service)
	changed := false
	for _, told := range w.Ends {
		changed = kept.take(now, told) || changed
	}
	if seen := now.Add(-w.Seen); seen.After(kept.seen) {
		changed = changed || seen.Sub(kept.told) >= toldAgainAfter
		kept.seen = seen
	}
	if changed {
		l.touch(kept)
	}
	return changed
}

// Since lists what changed since a position of this ledger, the earliest changes first, and
// how far that comes: not all where it is much.
func (l *Ledger) Since(now time.Time, at changes.Position) ([]Update, changes.Position) {
	after := l.log.After(at)
	var lacking []changes.Change[Update]
	for _, r := range l.records {
		if r.version > after {
			lacking = append(lacking, changes.Change[Update]{Version: r.version, Update: r.update(now)})
		}
	}
	return changes.NextBatch(l.log, lacking, maxUpdates)
}

// Updates lists all that is known of some requests, by their contents, in a fixed order.
func (l *Ledger) Updates(now time.Time, contents map[string]bool) []Update {
	var updates []Update
	for _, content := range slices.Sorted(maps.Keys(contents)) {
		if r, ok := l.records[content]; ok {
			updates = append(updates, r.update(now))
		}
	}
	return updates
}

// record is what is known of a request; a new one where nothing is.
func (l *Ledger) record(content, service string) *record {
	r, ok := l.records[content]
	if !ok {
		r = &record{content: content, service: service}
		l.records[content] = r
	}
	return r
}

// touch has a record sent to others again.
func (l *Ledger) touch(r *record) {
	r.version = l.log.Next()
	r.told = r.seen
}

// limit forgets the requests with fewest ends, of these those that were not seen for
// longest, until few enough are left.
func (l *Ledger) limit() {
	if len(l.records) <= maxRequests {
		return
	}
	all := make([]*record, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.against(), a.against()), b.seen.Compare(a.seen), cmp.Compare(a.content, b.content))
	})
	for _, r := range all[maxRequests:] {
		delete(l.records, r.content)
	}
}

// against is how many ends speak against the request of any caller.
func (r *record) against() (n int) {
	for _, e := range r.ends {
		if e.excuse < Cleared {
			n++
		}
	}
	return n
}

// take takes in an end that another gateway reported, and says whether it is new or has a
// better excuse.
func (r *record) take(now time.Time, told End) bool {
	i := slices.IndexFunc(r.ends, func(e end) bool { return e.id == told.ID })
	if i >= 0 {
		raised := r.ends[i].raise(told.Excuse)
		r.trim()
		return raised
	}
	news := end{id: told.ID, target: told.Target, caller: told.Caller, at: now.Add(-told.Ago), ran: told.Ran, excuse: told.Excuse}
	if len(r.ends) >= maxEnds && byWorth(news, r.ends[len(r.ends)-1]) >= 0 {
		return false // it would be dropped at once
	}
	r.ends = append(r.ends, news)
	r.trim()
	return true
}

// raise gives an end a better excuse, and says whether it had none as good.
func (e *end) raise(excuse Excuse) bool {
	if excuse <= e.excuse {
		return false
	}
	e.excuse = excuse
	return true
}

// byWorth orders ends by which of them are kept: cleared ones last. Of the others any will
// do, but the same everywhere. Their times would not be: each gateway reckons them a little
// later than the one that reported it, so that gateways would go on replacing each other's.
func byWorth(a, b end) int {
	return cmp.Or(cmp.Compare(a.excuse, b.excuse), cmp.Compare(a.id, b.id))
}

// trim drops all but the ends that are most worth keeping.
func (r *record) trim() {
	slices.SortFunc(r.ends, byWorth)
	if len(r.ends) > maxEnds {
		r.ends = slices.Clone(r.ends[:maxEnds])
	}
}

// update is what others are sent of a request.
func (r *record) update(now time.Time) Update {
	w := Update{Content: r.content, Service: r.service, Seen: now.Sub(r.seen)}
	for _, e := range r.ends {
		w.Ends = append(w.Ends, End{ID: e.id, Target: e.target, Caller: e.caller, Ago: now.Sub(e.at), Ran: e.ran, Excuse: e.excuse})
	}
	return w
}

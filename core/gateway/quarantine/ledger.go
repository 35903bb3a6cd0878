package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

// Ledger holds what a gateway knows of requests under which targets ended. It is not safe
// for concurrent use.
type Ledger struct {
	log      *changes.Log
	records  map[string]*record // by content
	verdicts *Verdicts
}

// New returns an empty ledger. number is drawn at random, so that others can tell the ledger
// from that of an earlier incarnation of the gateway.
func New(number uint64) *Ledger {
	return &Ledger{log: changes.NewLog(number), records: map[string]*record{}, verdicts: &Verdicts{}}
}

// Verdicts returns the verdicts on all known requests.
func (l *Ledger) Verdicts() *Verdicts { return l.verdicts }

// Size returns the number of known requests.
func (l *Ledger) Size() int { return len(l.records) }

// Position returns the position of the ledger's latest change.
func (l *Ledger) Position() changes.Position { return l.log.Position() }

// RecordEnd records that a target ended while it had a request under way. Others should be
// sent that at once if it is not the first end under this request, else when Tick reports it.
func (l *Ledger) RecordEnd(now time.Time, request Request, e End) {
	l.expire(now)
	r := l.record(request.Fingerprint.Content, request.Service)
	r.lastSeen = now
	r.ends = append(r.ends, end{id: e.ID, target: e.Target, caller: request.Fingerprint.Caller, at: now, ran: e.Ran})
	r.trim()
	if len(r.ends) > 1 {
		l.markChanged(r)
	}
	l.limit()
	l.updateVerdicts()
}

// RecordAnswer records that a target has run a request and is still running. It reports
// whether others should be sent that.
func (l *Ledger) RecordAnswer(now time.Time, request Request) bool {
	r, ok := l.records[request.Fingerprint.Content]
	if !ok {
		return false
	}
	changed := false
	for i := range r.ends {
		e := &r.ends[i]
		excuse := Answered
		if e.caller == request.Fingerprint.Caller {
			excuse = Cleared
		}
		changed = e.raise(excuse) || changed
	}
	if !changed {
		return false
	}
	if r.isUnsent() && r.unclearedEnds() == 0 {
		delete(l.records, r.content)
		l.updateVerdicts()
		return false
	}
	r.lastSeen = now
	r.trim()
	l.markChanged(r)
	l.updateVerdicts()
	return true
}

// RecordRefusal records that a quarantined request came again. It reports whether others
// should be sent that.
func (l *Ledger) RecordRefusal(now time.Time, request Request) bool {
	r, ok := l.records[request.Fingerprint.Content]
	if !ok {
		return false
	}
	r.lastSeen = now
	if now.Sub(r.lastSent) < resendAfter {
		return false
	}
	l.markChanged(r)
	return true
}

// Tick drops expired records, and marks first ends whose delay is over as ready to be sent.
// It reports whether there is anything new to send to others. It should be called each
// second.
func (l *Ledger) Tick(now time.Time) (isNew bool) {
	if l.expire(now) {
		l.updateVerdicts()
	}
	for _, r := range l.records {
		if r.isUnsent() && now.Sub(r.lastSeen) >= firstEndDelay {
			l.markChanged(r)
			isNew = true
		}
	}
	return isNew
}

func (l *Ledger) expire(now time.Time) bool {
	before := len(l.records)
	for content, r := range l.records {
		if now.Sub(r.lastSeen) >= lapseAfter {
			delete(l.records, content)
		}
	}
	return len(l.records) < before
}

// Merge merges updates from another gateway, and reports whether they change anything.
func (l *Ledger) Merge(now time.Time, updates []Update) bool {
	changed := false
	for _, u := range updates {
		if u.isValid() && u.Seen < lapseAfter {
			changed = l.merge(now, u) || changed
		}
	}
	if changed {
		l.limit()
		l.updateVerdicts()
	}
	return changed
}

// isValid reports whether an update may be merged: it is not from the future, where it would
// never expire, and has no more ends than a gateway sends.
func (u Update) isValid() bool {
	if u.Content == "" || u.Seen < 0 || len(u.Ends) == 0 || len(u.Ends) > maxEnds {
		return false
	}
	return !slices.ContainsFunc(u.Ends, func(e End) bool {
		return e.Target == "" || e.Ago < 0 || e.Ran < 0 || e.Excuse < None || e.Excuse > Cleared
	})
}

func (l *Ledger) merge(now time.Time, u Update) bool {
	r := l.record(u.Content, u.Service)
	changed := false
	for _, received := range u.Ends {
		changed = r.mergeEnd(now, received) || changed
	}
	if seen := now.Add(-u.Seen); seen.After(r.lastSeen) {
		changed = changed || seen.Sub(r.lastSent) >= resendAfter
		r.lastSeen = seen
	}
	if changed {
		l.markChanged(r)
	}
	return changed
}

// Since returns the records that changed since a position of this ledger, the earliest
// changes first, and the position up to which they go, which is not the latest if there are
// many.
func (l *Ledger) Since(now time.Time, at changes.Position) ([]Update, changes.Position) {
	after := l.log.After(at)
	var changed []changes.Change[Update]
	for _, r := range l.records {
		if r.version > after {
			changed = append(changed, changes.Change[Update]{Version: r.version, Update: r.update(now)})
		}
	}
	return changes.NextBatch(l.log, changed, maxUpdates)
}

// Updates returns the records of some requests, by their contents, in a fixed order.
func (l *Ledger) Updates(now time.Time, contents map[string]bool) []Update {
	var updates []Update
	for _, content := range slices.Sorted(maps.Keys(contents)) {
		if r, ok := l.records[content]; ok {
			updates = append(updates, r.update(now))
		}
	}
	return updates
}

// record returns the record of a request, or a new one if there is none.
func (l *Ledger) record(content, service string) *record {
	r, ok := l.records[content]
	if !ok {
		r = &record{content: content, service: service}
		l.records[content] = r
	}
	return r
}

// markChanged marks a record to be sent to others.
func (l *Ledger) markChanged(r *record) {
	r.version = l.log.Next()
	r.lastSent = r.lastSeen
}

// limit drops records beyond maxRequests: those with the fewest ends, and among them those
// that were not seen for longest.
func (l *Ledger) limit() {
	if len(l.records) <= maxRequests {
		return
	}
	all := make([]*record, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.unclearedEnds(), a.unclearedEnds()), b.lastSeen.Compare(a.lastSeen), cmp.Compare(a.content, b.content))
	})
	for _, r := range all[maxRequests:] {
		delete(l.records, r.content)
	}
}

// unclearedEnds returns how many ends count against the request, whatever its caller.
func (r *record) unclearedEnds() (n int) {
	for _, e := range r.ends {
		if e.excuse < Cleared {
			n++
		}
	}
	return n
}

// mergeEnd merges an end that another gateway sent, and reports whether it is new or has a
// better excuse.
func (r *record) mergeEnd(now time.Time, received End) bool {
	i := slices.IndexFunc(r.ends, func(e end) bool { return e.id == received.ID })
	if i >= 0 {
		raised := r.ends[i].raise(received.Excuse)
		r.trim()
		return raised
	}
	added := end{id: received.ID, target: received.Target, caller: received.Caller, at: now.Add(-received.Ago), ran: received.Ran, excuse: received.Excuse}
	if len(r.ends) >= maxEnds && byPriority(added, r.ends[len(r.ends)-1]) >= 0 {
		return false // trim would drop it at once
	}
	r.ends = append(r.ends, added)
	r.trim()
	return true
}

// raise gives an end a better excuse, and reports whether it is better than the present one.
func (e *end) raise(excuse Excuse) bool {
	if excuse <= e.excuse {
		return false
	}
	e.excuse = excuse
	return true
}

// byPriority orders ends by which of them are kept: cleared ones come last. The order of the
// others is arbitrary but the same on all gateways. An order by time would not be: each
// gateway computes times a little later than the one that sent the end, so that gateways
// would go on replacing each other's ends.
func byPriority(a, b end) int {
	return cmp.Or(cmp.Compare(a.excuse, b.excuse), cmp.Compare(a.id, b.id))
}

// trim drops all but the maxEnds ends of highest priority.
func (r *record) trim() {
	slices.SortFunc(r.ends, byPriority)
	if len(r.ends) > maxEnds {
		r.ends = slices.Clone(r.ends[:maxEnds])
	}
}

// update returns the record as it is sent to others.
func (r *record) update(now time.Time) Update {
	u := Update{Content: r.content, Service: r.service, Seen: now.Sub(r.lastSeen)}
	for _, e := range r.ends {
		u.Ends = append(u.Ends, End{ID: e.id, Target: e.target, Caller: e.caller, Ago: now.Sub(e.at), Ran: e.ran, Excuse: e.excuse})
	}
	return u
}

package catalog

import (
	"maps"
	"slices"
)

// maxLoggedChanges bounds the log of a table's changes, which serves peers that are
// behind; a peer that is further behind is sent the whole table. It holds minutes of changes.
const maxLoggedChanges = 1024

// entryChange is the addition, update or removal of one entry at one revision of the store.
type entryChange[E comparable] struct {
	revision uint64
	id       string
	entry    E
	gone     bool
}

// table is the known state of the objects of one kind, by id.
type table[E comparable] struct {
	// known is the store's revision up to which the entries are known, 0 if never read,
	// and changed the revision at which one of them last changed.
	known   uint64
	changed uint64
	entries map[string]E
	log     []entryChange[E]
	// logStart is the oldest revision since which the log has all changes.
	logStart uint64
}

func newTable[E comparable]() table[E] { return table[E]{entries: map[string]E{}} }

// list returns the entries ordered by id.
func (t *table[E]) list() []E {
	out := make([]E, 0, len(t.entries))
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		out = append(out, t.entries[id])
	}
	return out
}

// loadStale sets the entries to those of a stale copy, unless the table has been read. The
// revisions stay, so that the table is still behind every peer that has read it.
func (t *table[E]) loadStale(entries map[string]E) (changed bool) {
	if t.known > 0 || maps.Equal(t.entries, entries) {
		return false
	}
	t.entries = entries
	return true
}

// replace sets the entries to the complete list at a revision, unless that is older than
// the known one.
func (t *table[E]) replace(revision uint64, entries map[string]E) (changed bool) {
	if revision < t.known {
		return false
	}
	if revision == t.known {
		revision = rereadRevision(revision)
	}
	for id, entry := range entries {
		if previous, ok := t.entries[id]; !ok || previous != entry {
			changed = true
			t.appendLog(entryChange[E]{revision: revision, id: id, entry: entry})
		}
	}
	for id, entry := range t.entries {
		if _, ok := entries[id]; !ok {
			changed = true
			t.appendLog(entryChange[E]{revision: revision, id: id, entry: entry, gone: true})
		}
	}
	if first := t.known == 0; first {
		t.logStart = revision
		changed = true // even if a stale copy was the same: peers lack all of it
	}
	t.entries, t.known = entries, revision
	if changed {
		t.changed = revision
	}
	t.trimLog()
	return changed
}

// advance applies the changes up to a revision. resolve maps a received entry to the entry
// to store; if it returns false, the entry is removed from the table.
func (t *table[E]) advance(revision uint64, changes []entryChange[E], resolve func(E) (E, bool)) (changed bool) {
	if revision <= t.known {
		return false
	}
	for _, c := range changes {
		if c.revision <= t.known {
			continue
		}
		if !c.gone {
			entry, ok := resolve(c.entry)
			c.entry, c.gone = entry, !ok
		}
		if c.gone {
			delete(t.entries, c.id)
		} else {
			t.entries[c.id] = c.entry
		}
		t.appendLog(c)
		t.changed = max(t.changed, c.revision)
		changed = true
	}
	t.known = revision
	t.trimLog()
	return changed
}

// catchUp advances to the revisions of a peer's table that has nothing more. A table that was
// never read lacks everything and stays as it is.
func (t *table[E]) catchUp(known, changed uint64) {
	if t.known == 0 {
		return
	}
	t.known = max(t.known, known)
	t.changed = max(t.changed, changed)
}

// isRewound reports whether a revision is from a later epoch of the store than the known one.
func (t *table[E]) isRewound(revision uint64) bool {
	return t.known > 0 && StoreLife(revision) > StoreLife(t.known)
}

// mergeOlderCopy returns the entries to use for now after the store was restored from an older
// copy. Entries that the copy lacks stay, since those that still hold are written again.
// Entries that only the copy has are left out until the list is read again.
func (t *table[E]) mergeOlderCopy(older map[string]E) map[string]E {
	out := maps.Clone(t.entries)
	for id, entry := range older {
		if _, known := out[id]; known {
			out[id] = entry
		}
	}
	return out
}

func (t *table[E]) appendLog(c entryChange[E]) { t.log = append(t.log, c) }

func (t *table[E]) trimLog() {
	if extra := len(t.log) - maxLoggedChanges; extra > 0 {
		t.logStart = t.log[extra-1].revision
		t.log = slices.Clone(t.log[extra:])
	}
}

// since returns the changes after a revision; false if the log does not reach back that far.
func (t *table[E]) since(revision uint64) ([]entryChange[E], bool) {
	if revision == 0 || revision < t.logStart {
		return nil, false
	}
	var out []entryChange[E]
	for _, c := range t.log {
		if c.revision > revision {
			out = append(out, c)
		}
	}
	return out, true
}

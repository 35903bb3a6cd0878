package catalog

import (
	"maps"
	"slices"
)

// keptChanges bounds the changes of a table that are kept for gateways that are
// behind; one that is further behind is sent all. These are minutes of changes.
const keptChanges = 1024

// entryChange is one entry of a table at one revision of the store.
type entryChange[E comparable] struct {
	revision uint64
	id       string
	entry    E
	gone     bool
}

// table is what is believed of the objects of one kind, by id.
type table[E comparable] struct {
	// known is the store's revision up to which the entries are known, 0 for never,
	// and changed that at which one of them last changed.
	known   uint64
	changed uint64
	entries map[string]E
	log     []entryChange[E]
	// keptFrom is the oldest revision of which all later changes are kept.
	keptFrom uint64
}

func newTable[E comparable]() table[E] { return table[E]{entries: map[string]E{}} }

// list gives the entries by id.
func (t *table[E]) list() []E {
	out := make([]E, 0, len(t.entries))
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		out = append(out, t.entries[id])
	}
	return out
}

// guess takes in what was there some time ago, unless something is known. The
// revisions stay, so that all that others know is still missing.
func (t *table[E]) guess(entries map[string]E) (changed bool) {
	if t.known > 0 || maps.Equal(t.entries, entries) {
		return false
	}
	t.entries = entries
	return true
}

// replace takes in all entries as they stood at a revision, if that is not older than
// what is held.
func (t *table[E]) replace(revision uint64, entries map[string]E) (changed bool) {
	if revision < t.known {
		return false
	}
	if revision == t.known {
		revision = reread(revision)
	}
	for id, entry := range entries {
		if was, ok := t.entries[id]; !ok || was != entry {
			changed = true
			t.note(entryChange[E]{revision: revision, id: id, entry: entry})
		}
	}
	for id, entry := range t.entries {
		if _, ok := entries[id]; !ok {
			changed = true
			t.note(entryChange[E]{revision: revision, id: id, entry: entry, gone: true})
		}
	}
	if first := t.known == 0; first {
		t.keptFrom = revision
		changed = true // whatever was guessed: others lack all of it
	}
	t.entries, t.known = entries, revision
	if changed {
		t.changed = revision
	}
	t.trim()
	return changed
}

// advance takes in the changes up to a revision; believed makes of an entry what is
// believed of it, and says whether there is one.
func (t *table[E]) advance(revision uint64, changes []entryChange[E], believed func(E) (E, bool)) (changed bool) {
	if revision <= t.known {
		return false
	}
	for _, c := range changes {
		if c.revision <= t.known {
			continue
		}
		if !c.gone {
			entry, ok := believed(c.entry)
			c.entry, c.gone = entry, !ok
		}
		if c.gone {
			delete(t.entries, c.id)
		} else {
			t.entries[c.id] = c.entry
		}
		t.note(c)
		t.changed = max(t.changed, c.revision)
		changed = true
	}
	t.known = revision
	t.trim()
	return changed
}

// catchUp notes that nothing is missing up to the revisions of another table. Of a table
// that was never read all is missing.
func (t *table[E]) catchUp(known, changed uint64) {
	if t.known == 0 {
		return
	}
	t.known = max(t.known, known)
	t.changed = max(t.changed, changed)
}

// rewound says whether a revision is of a later life of the store than what is known.
func (t *table[E]) rewound(revision uint64) bool {
	return t.known > 0 && StoreLife(revision) > StoreLife(t.known)
}

// reconcile makes of what a store holds that has come back from an older copy what is to be
// believed for now. What the copy lacks stays, since it is written again, if it is still true;
// what the copy has back, and is not known here, waits until all is read again.
func (t *table[E]) reconcile(copied map[string]E) map[string]E {
	out := maps.Clone(t.entries)
	for id, entry := range copied {
		if _, known := out[id]; known {
			out[id] = entry
		}
	}
	return out
}

func (t *table[E]) note(c entryChange[E]) { t.log = append(t.log, c) }

func (t *table[E]) trim() {
	if extra := len(t.log) - keptChanges; extra > 0 {
		t.keptFrom = t.log[extra-1].revision
		t.log = slices.Clone(t.log[extra:])
	}
}

// since gives the changes behind a revision; false where not all are kept.
func (t *table[E]) since(revision uint64) ([]entryChange[E], bool) {
	if revision == 0 || revision < t.keptFrom {
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

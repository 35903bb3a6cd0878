// Package platformsim is the stand-in for the platform's object API: versions,
// conditional updates, watches, lagging lists and switchable faults.
//
// # Usage
//
//	server := platformsim.New()
//	http.Serve(listener, server.Handler())
package platformsim

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/box/store"
)

// maxEvents is how many events are kept for watches.
const maxEvents = 20000

type event struct {
	object  store.Object
	deleted bool
	at      time.Time
}

// objectLog holds the objects as a log of events. It does no I/O.
type objectLog struct {
	mu       sync.Mutex
	revision uint64
	current  map[string]store.Object
	log      []event
	floor    uint64 // revision of the oldest event dropped
	changed  chan struct{}
}

func newObjectLog() *objectLog {
	return &objectLog{current: map[string]store.Object{}, changed: make(chan struct{})}
}

// put applies a conditional update; expect 0 means that there is no object.
func (s *objectLog) put(now time.Time, key string, value json.RawMessage, expect uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current[key].Version != expect {
		return 0, false
	}
	o := store.Object{Key: key, Version: s.revision + 1, Value: value}
	s.current[key] = o
	s.append(event{object: o, at: now})
	return o.Version, true
}

func (s *objectLog) remove(now time.Time, key string, expect uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.current[key]
	if !ok || o.Version != expect {
		return false
	}
	delete(s.current, key)
	s.append(event{object: store.Object{Key: key, Version: s.revision + 1}, deleted: true, at: now})
	return true
}

func (s *objectLog) append(e event) {
	s.revision++
	s.log = append(s.log, e)
	if len(s.log) > maxEvents {
		s.floor = s.log[0].object.Version
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// get reads the object as it stood at asOf, so that a read can be stale.
func (s *objectLog) get(key string, asOf time.Time) (store.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.current[key]
	if !ok && len(s.log) == 0 {
		return o, false
	}
	newest := len(s.log) - 1
	for i := newest; i >= 0 && s.log[i].at.After(asOf); i-- {
		if s.log[i].object.Key == key {
			o, ok = s.before(key, i)
		}
	}
	return o, ok
}

// before finds the object as it stood before event i.
func (s *objectLog) before(key string, i int) (store.Object, bool) {
	for j := i - 1; j >= 0; j-- {
		if s.log[j].object.Key == key {
			return s.log[j].object, !s.log[j].deleted
		}
	}
	return store.Object{}, false
}

// list reads all objects under prefix as they stood at asOf.
func (s *objectLog) list(prefix string, asOf time.Time) store.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := store.Snapshot{Objects: []store.Object{}}
	live := map[string]store.Object{}
	if len(s.log) > 0 && s.floor > 0 {
		for key, o := range s.current {
			if o.Version <= s.floor {
				live[key] = o
			}
		}
	}
	for _, e := range s.log {
		if e.at.After(asOf) {
			break
		}
		out.Revision = e.object.Version
		live[e.object.Key] = e.object
		if e.deleted {
			delete(live, e.object.Key)
		}
	}
	for key, o := range live {
		if strings.HasPrefix(key, prefix) {
			out.Objects = append(out.Objects, o)
		}
	}
	return out
}

// since gives the events under prefix after revision from, and the channel
// that closes at the next change. gone says that some are no longer kept.
func (s *objectLog) since(prefix string, from uint64) (snap store.Snapshot, changed <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap = store.Snapshot{Revision: s.revision, Objects: []store.Object{}}
	if from < s.floor {
		return snap, s.changed, true
	}
	for i := len(s.log) - 1; i >= 0 && s.log[i].object.Version > from; i-- {
		e := s.log[i]
		if !e.deleted && strings.HasPrefix(e.object.Key, prefix) {
			snap.Objects = append([]store.Object{e.object}, snap.Objects...)
		}
	}
	return snap, s.changed, false
}

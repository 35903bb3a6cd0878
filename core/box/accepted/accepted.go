// Package accepted holds the configuration that is in force on a box. The
// greatest version of each object that was ever received stays in force, whatever
// a watch, a list or a peer delivers later. A deleted object leaves a tombstone
// with a version of its own, so that an object that is deleted and created again
// cannot return to an older version.
//
// It owns the configuration in force on this box while the process runs. It relies
// on versions alone, does no I/O and reads no clock.
//
// # Usage
//
//	set := accepted.New()
//	if set.Offer(now, accepted.Entry{Key: "services/preview", Version: 7, Value: raw}) {
//		// version 7 is newly in force
//	}
package accepted

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is one object at one version.
type Entry struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
	// Since is when the box put this version in force.
	Since time.Time `json:"since"`
}

// Set holds the accepted entries of a box. It is safe for concurrent use.
type Set struct {
	mu      sync.RWMutex
	entries map[string]Entry
	digest  uint64
}

// New returns an empty set.
func New() *Set { return &Set{entries: map[string]Entry{}} }

// Offer puts e in force if its version is greater than any received for its key,
// and reports whether it did.
func (s *Set) Offer(now time.Time, e Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.entries[e.Key]
	if e.Version <= current.Version {
		return false
	}
	e.Since = now
	s.entries[e.Key] = e
	if ok {
		s.digest ^= versionHash(current)
	}
	s.digest ^= versionHash(e)
	return true
}

// versionHash hashes a key with its version; the digest is the XOR of all hashes.
func versionHash(e Entry) uint64 {
	raw := binary.BigEndian.AppendUint64([]byte(e.Key), e.Version)
	return xxhash.Sum64(raw)
}

// Digest returns a hash that is equal on boxes that hold the same versions.
func (s *Set) Digest() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.digest
}

// Get returns the entry of a key.
func (s *Set) Get(key string) (Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[key]
	return e, ok
}

// All returns the entries sorted by key.
func (s *Set) All() []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(x, y Entry) int { return cmp.Compare(x.Key, y.Key) })
	return out
}

// Versions returns the version of each key.
func (s *Set) Versions() map[string]uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[string]uint64, len(s.entries))
	for key, e := range s.entries {
		out[key] = e.Version
	}
	return out
}

// NewerThan returns the entries whose version is greater than the one given for
// their key.
func (s *Set) NewerThan(versions map[string]uint64) []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []Entry
	for key, e := range s.entries {
		if e.Version > versions[key] {
			out = append(out, e)
		}
	}
	return out
}

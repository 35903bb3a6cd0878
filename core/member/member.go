// Package member holds a box's own view of the other boxes: which ones run, which ones do
// not answer, and which one ranks first for a service. A box is whatever runs one of
// the two daemons; the gateway has a view of its own (core/gateway/peers), of the same Box.
//
// The package owns that view and the times after which boxes are suspected and forgotten.
// Its inputs are lists and what boxes report of each other; it does no I/O and reads no
// clock. There is no consensus: two boxes may hold different views, and no guarantee
// depends on their being equal. Ranks come from rendezvous hashing, so that a box that
// goes moves only what was assigned to it.
//
// Boxes send each other Box by net/rpc: its fields are exported for its codec.
//
// # Usage
//
//	view := member.New(self)
//	view.MergeList(now, boxes)
//	home := view.Home(now, "preview", "hall-a")
//	view.RecordFailure(now, home.ID) // it did not answer: the next one is home for a while
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSuspicion is how long a box that did not answer is skipped; the time doubles
	// with each failure, up to maxSuspicion.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 10 * time.Second
	// absentTTL is for how long a box that is missing in the lists is kept, since lists lag
	// by seconds.
	absentTTL = 30 * time.Second
	// forwardTTL is how long after a box was last seen it may be forwarded to others: some
	// exchanges, each 1.5 s.
	forwardTTL = 5 * time.Second
)

// Box is one box as others see it.
type Box struct {
	ID   string `json:"id"`
	Peer string `json:"peer"`
	Hall string `json:"hall"`
	// Start increases with each start of the box.
	Start   uint64 `json:"start"`
	Leaving bool   `json:"leaving"`
	// Relay is where other gateways send requests whose targets they can't reach; empty for
	// nowhere.
	Relay string `json:"relay,omitempty"`
}

type entry struct {
	Box
	lastNamed    time.Time // last named in a list or by any box
	lastSeen     time.Time // last received from the box itself
	suspectUntil time.Time
	suspectFor   time.Duration
}

// View is a box's view of all other boxes. It takes no lock.
type View struct {
	self  Box
	boxes map[string]*entry
}

// New returns a view that holds only the box itself.
func New(self Box) *View {
	return &View{self: self, boxes: map[string]*entry{}}
}

// Self returns the box whose view this is.
func (v *View) Self() Box { return v.self }

// SetLeaving records that the box itself is leaving.
func (v *View) SetLeaving() { v.self.Leaving = true }

// MergeList merges the platform's list. A box that is missing in it is removed only after a
// while, since the list lags.
func (v *View) MergeList(now time.Time, boxes []Box) {
	for _, b := range boxes {
		v.MergeBox(now, b)
	}
	v.Prune(now)
}

// Prune removes boxes that nobody has named for absentTTL.
func (v *View) Prune(now time.Time) {
	for id, e := range v.boxes {
		if now.Sub(e.lastNamed) > absentTTL {
			delete(v.boxes, id)
		}
	}
}

// Observe merges what a box reports of itself, which clears any suspicion.
func (v *View) Observe(now time.Time, b Box) {
	v.MergeBox(now, b)
	if e, ok := v.boxes[b.ID]; ok {
		e.lastSeen = now
		e.suspectUntil = time.Time{}
		e.suspectFor = 0
	}
}

// Recent lists up to n boxes that were seen lately. Only these are forwarded to others, so
// that updates about a box that is gone die out.
func (v *View) Recent(now time.Time, n int) []Box {
	var out []Box
	for _, b := range v.Boxes() {
		if len(out) < n && now.Sub(v.boxes[b.ID].lastSeen) < forwardTTL {
			out = append(out, b)
		}
	}
	return out
}

// MergeBox merges an update about one box, from the list or from a peer. An update about an
// earlier start is ignored, and a box that is leaving stays so until it restarts.
func (v *View) MergeBox(now time.Time, b Box) {
	if b.ID == v.self.ID || b.ID == "" {
		return
	}
	e, ok := v.boxes[b.ID]
	if !ok {
		v.boxes[b.ID] = &entry{Box: b, lastNamed: now}
		return
	}
	e.lastNamed = now
	switch {
	case b.Start > e.Start:
		*e = entry{Box: b, lastNamed: now, lastSeen: e.lastSeen}
	case b.Start == e.Start:
		e.Leaving = e.Leaving || b.Leaving
	}
}

// MarkLeaving records that a box has advertised that it is leaving.
func (v *View) MarkLeaving(now time.Time, id string) {
	if e, ok := v.boxes[id]; ok {
		e.Leaving = true
		e.lastNamed = now
	}
}

// RecordFailure records that a box did not answer. It is skipped for a time that grows with
// each failure.
func (v *View) RecordFailure(now time.Time, id string) {
	e, ok := v.boxes[id]
	if !ok || now.Before(e.suspectUntil) {
		return
	}
	e.suspectFor = min(max(2*e.suspectFor, minSuspicion), maxSuspicion)
	e.suspectUntil = now.Add(e.suspectFor)
}

// IsUsable reports whether a box may be called now.
func (v *View) IsUsable(now time.Time, id string) bool {
	if id == v.self.ID {
		return !v.self.Leaving
	}
	e, ok := v.boxes[id]
	return ok && !e.Leaving && !now.Before(e.suspectUntil)
}

func score(service, id string) uint64 { return xxhash.Sum64String(service + "\x00" + id) }

// Find returns another box by id.
func (v *View) Find(id string) (Box, bool) {
	e, ok := v.boxes[id]
	if !ok {
		return Box{}, false
	}
	return e.Box, true
}

// Boxes lists all other boxes, ordered by id.
func (v *View) Boxes() []Box {
	out := make([]Box, 0, len(v.boxes))
	for _, e := range v.boxes {
		out = append(out, e.Box)
	}
	slices.SortFunc(out, func(a, b Box) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

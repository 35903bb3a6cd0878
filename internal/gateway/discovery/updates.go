package discovery

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"strings"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
)

// UpdateKind are a kind of change that gateways exchange beside the catalog, as bytes, each
// change once to each neighbour. Its functions may be called while the follower is locked and
// must not call it.
type UpdateKind struct {
	// Position names how far this gateway has come (formatPosition).
	Position func() string
	// Since is what changed since a position, and how far that comes.
	Since func(at string) (body []byte, to string)
	// Merge takes in what another gateway reported, and says whether any of it is news here.
	Merge func(body []byte, from string) (isNew bool)
	// MinInterval is the least time between two changes that are passed on to other gateways, of
	// which the first goes at once; 0 to pass on each.
	MinInterval time.Duration
}

// What gateways exchange beside the catalog goes as bytes and texts, one of each for all
// kinds: the codec of net/rpc describes each type and field once on each connection, and
// the connections of gateways are many and short. With types of their own the messages of a
// calm fleet of 100 were longer by 6 in 100.

// positions is how far updates of a gateway were received, or were sent to it, by kind.
type positions struct {
	fatal changes.Position
	// updates are the positions of Options.Updates, as far as the gateway learns of these: one of an
	// earlier version learns of fewer kinds.
	updates []string
}

// positionMark separates the positions of the kinds in a message; a gateway of an earlier version
// reads the first ones alone.
const positionMark = "/"

// String is how a message names it.
func (h positions) String() string {
	return strings.Join(append([]string{formatPosition(h.fatal)}, h.updates...), positionMark)
}

// reply is how an answer names it: nothing where there is no update, which is so mostly.
func (h positions) reply() string {
	if text := h.String(); strings.Trim(text, positionMark) != "" {
		return text
	}
	return ""
}

// parsePositions reads it.
func parsePositions(text string) positions {
	texts := strings.Split(text, positionMark)
	return positions{fatal: parsePosition(texts[0]), updates: texts[1:]}
}

// withAllKinds are the positions of a gateway that is sent all kinds.
func (f *Follower) withAllKinds(at positions) positions {
	updates := make([]string, len(f.options.UpdateKinds))
	copy(updates, at.updates)
	return positions{fatal: at.fatal, updates: updates}
}

// formatPosition is how a message names a position; nothing for that of an empty list, which is all
// there is mostly.
func formatPosition(at changes.Position) string {
	if at == (changes.Position{}) {
		return ""
	}
	return fmt.Sprintf("%x.%x", at.Log, at.Version)
}

// parsePosition reads it; what is no position is that of an empty list, whose owner is sent all.
func parsePosition(text string) (at changes.Position) {
	if _, err := fmt.Sscanf(text, "%x.%x", &at.Log, &at.Version); err != nil {
		return changes.Position{}
	}
	return at
}

// covers says whether a position is as far as another one of the same log, or further.
func covers(at, position string) bool {
	if at == position {
		return true
	}
	has, wanted := parsePosition(at), parsePosition(position)
	return has.Log == wanted.Log && has.Version >= wanted.Version
}

// lacksUpdates says whether there are updates that a gateway lacks that was sent those so
// far.
func (f *Follower) lacksUpdates(at positions) bool {
	for i := range f.kindsFor(at) {
		if !covers(at.updates[i], f.announcedPosition(i)) {
			return true
		}
	}
	return f.options.Fatal.Position() != at.fatal
}

// kindsFor are the kinds of updates that a gateway is sent.
func (f *Follower) kindsFor(at positions) []UpdateKind {
	return f.options.UpdateKinds[:min(len(f.options.UpdateKinds), len(at.updates))]
}

// updatesSince is what changed since a position as a message holds it, and how far that comes.
func (f *Follower) updatesSince(at positions) ([]byte, positions) {
	updates, fatal := f.options.Fatal.Since(at.fatal)
	to := positions{fatal: fatal}
	isNew := len(updates) > 0
	var bodies [][]byte
	for i, kind := range f.kindsFor(at) {
		body, position := kind.Since(at.updates[i])
		bodies, to.updates = append(bodies, body), append(to.updates, position)
		isNew = isNew || len(body) > 0
	}
	if !isNew {
		return nil, to
	}
	return f.encodeUpdates(updates, bodies), to
}

// encodeUpdates makes a message of all kinds of updates, each behind what earlier versions read.
func (f *Follower) encodeUpdates(updates []quarantine.Update, bodies [][]byte) []byte {
	for len(bodies) > 0 && len(bodies[len(bodies)-1]) == 0 {
		bodies = bodies[:len(bodies)-1]
	}
	var message bytes.Buffer
	encoder := gob.NewEncoder(&message)
	err := encoder.Encode(updates)
	for _, body := range bodies {
		if err == nil {
			err = encoder.Encode(body)
		}
	}
	if err != nil {
		f.options.Log.Error("word for other gateways not encoded", "error", err.Error())
		return nil
	}
	return message.Bytes()
}

// decodeUpdates reads what a message of another gateway holds.
func (f *Follower) decodeUpdates(message []byte, from string) (updates []quarantine.Update, bodies [][]byte) {
	if len(message) == 0 {
		return nil, nil
	}
	in := bytes.NewReader(message)
	decoder := gob.NewDecoder(in)
	err := decoder.Decode(&updates)
	for err == nil && in.Len() > 0 && len(bodies) < len(f.options.UpdateKinds) {
		var body []byte
		err = decoder.Decode(&body)
		bodies = append(bodies, body)
	}
	if err != nil {
		f.options.Log.Warn("word of a gateway not understood", "peer", from, "error", err.Error())
	}
	return updates, bodies
}

// mergeUpdates takes in what a message of another gateway holds; the lock is held.
func (f *Follower) mergeUpdates(message []byte, from string) {
	updates, bodies := f.decodeUpdates(message, from)
	f.mergeFatal(updates, from)
	for i, body := range bodies {
		if f.options.UpdateKinds[i].Merge(body, from) {
			f.wake() // others have to learn of it
		}
	}
}

// mergeFatal takes in what another gateway knows of requests that end targets; the lock is
// held. The time that updates were on their way is not counted: what they report happened at a
// moment, which is compared with others to some ms.
func (f *Follower) mergeFatal(updates []quarantine.Update, from string) {
	if f.options.Fatal.Merge(updates, from) {
		f.wake() // others have to learn of it
	}
}

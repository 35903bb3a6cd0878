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

// UpdateKind is a kind of update that gateways exchange beside the catalog, as bytes, each
// change once to each neighbour. Its functions may be called while the Follower is locked
// and must not call it.
type UpdateKind struct {
	// Position returns this gateway's position (formatPosition).
	Position func() string
	// Since returns the changes since a position, and the position that they lead to.
	Since func(at string) (body []byte, to string)
	// Merge applies the changes of another gateway, and reports whether any was new here.
	Merge func(body []byte, from string) (isNew bool)
	// MinInterval is the least time between two changes that are announced to other
	// gateways, of which the first is announced at once; 0 to announce each.
	MinInterval time.Duration
}

// The updates beside the catalog are sent as one byte string and one text for all kinds:
// the codec of net/rpc describes each type and field once on each connection, and a gateway
// has many short connections. With types of their own, the messages of an idle fleet of 100
// were 6% longer.

// positions holds the positions, by kind of update, up to which a gateway has sent updates
// or was sent them.
type positions struct {
	fatal changes.Position
	// updates are the positions of Options.UpdateKinds, as far as the gateway knows these:
	// one of an earlier version knows fewer kinds.
	updates []string
}

// positionMark separates the positions of the kinds in a message; a gateway of an earlier
// version reads only the first ones.
const positionMark = "/"

// String formats the positions for a message.
func (h positions) String() string {
	return strings.Join(append([]string{formatPosition(h.fatal)}, h.updates...), positionMark)
}

// reply formats the positions for a reply. It returns the empty string if there are no
// updates, which is the usual case.
func (h positions) reply() string {
	if text := h.String(); strings.Trim(text, positionMark) != "" {
		return text
	}
	return ""
}

// parsePositions parses positions in a message.
func parsePositions(text string) positions {
	texts := strings.Split(text, positionMark)
	return positions{fatal: parsePosition(texts[0]), updates: texts[1:]}
}

// withAllKinds returns the positions extended to all kinds, for a gateway that is sent all
// of them.
func (f *Follower) withAllKinds(at positions) positions {
	updates := make([]string, len(f.options.UpdateKinds))
	copy(updates, at.updates)
	return positions{fatal: at.fatal, updates: updates}
}

// formatPosition formats a position for a message. It returns the empty string for the
// position of an empty list, which is the usual one.
func formatPosition(at changes.Position) string {
	if at == (changes.Position{}) {
		return ""
	}
	return fmt.Sprintf("%x.%x", at.Log, at.Version)
}

// parsePosition parses a position. Invalid text stands for the position of an empty list,
// so that its sender is sent all updates.
func parsePosition(text string) (at changes.Position) {
	if _, err := fmt.Sscanf(text, "%x.%x", &at.Log, &at.Version); err != nil {
		return changes.Position{}
	}
	return at
}

// covers reports whether at is the same as or later than position, in the same log.
func covers(at, position string) bool {
	if at == position {
		return true
	}
	has, wanted := parsePosition(at), parsePosition(position)
	return has.Log == wanted.Log && has.Version >= wanted.Version
}

// lacksUpdates reports whether there are updates that a gateway at these positions lacks.
func (f *Follower) lacksUpdates(at positions) bool {
	for i := range f.kindsFor(at) {
		if !covers(at.updates[i], f.announcedPosition(i)) {
			return true
		}
	}
	return f.options.Fatal.Position() != at.fatal
}

// kindsFor returns the kinds of updates that a gateway is sent.
func (f *Follower) kindsFor(at positions) []UpdateKind {
	return f.options.UpdateKinds[:min(len(f.options.UpdateKinds), len(at.updates))]
}

// updatesSince returns the encoded updates since some positions, and the positions that
// they lead to.
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

// encodeUpdates encodes all kinds of updates, each after those that earlier versions read.
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
		f.options.Log.Error("encoding updates for other gateways failed", "error", err.Error())
		return nil
	}
	return message.Bytes()
}

// decodeUpdates decodes the updates of another gateway.
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
		f.options.Log.Warn("decoding updates of a gateway failed", "peer", from, "error", err.Error())
	}
	return updates, bodies
}

// mergeUpdates applies the encoded updates of another gateway; the lock is held.
func (f *Follower) mergeUpdates(message []byte, from string) {
	updates, bodies := f.decodeUpdates(message, from)
	f.mergeFatal(updates, from)
	for i, body := range bodies {
		if f.options.UpdateKinds[i].Merge(body, from) {
			f.wake() // to forward it to others
		}
	}
}

// mergeFatal applies what another gateway knows of requests that terminate targets; the
// lock is held. The time that the updates were in transit is not counted: they report times
// that are compared with others with a tolerance of some ms.
func (f *Follower) mergeFatal(updates []quarantine.Update, from string) {
	if f.options.Fatal.Merge(updates, from) {
		f.wake() // to forward it to others
	}
}

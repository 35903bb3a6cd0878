package discovery

import (
	"bytes"
	"encoding/gob"
	"log/slog"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

// ChangeLog is a list of changes that gateways exchange. Its functions may be called while the
// follower is locked and must not call it.
type ChangeLog[T any] struct {
	// Name is what it holds, for log lines.
	Name string
	// Position is how far the list has come.
	Position func() changes.Position
	// Since is what changed since a position, and how far that comes.
	Since func(at changes.Position) (updates []T, to changes.Position)
	// Merge takes in changes of another gateway, and says whether any is new here.
	Merge func(updates []T) (isNew bool)
	// MinInterval is that of Updates.
	MinInterval time.Duration
	Log         *slog.Logger
}

// UpdateKind are the changes as gateways exchange them.
func (l ChangeLog[T]) UpdateKind() UpdateKind {
	return UpdateKind{Position: l.position, Since: l.since, Merge: l.merge, MinInterval: l.MinInterval}
}

func (l ChangeLog[T]) position() string { return formatPosition(l.Position()) }

func (l ChangeLog[T]) since(at string) ([]byte, string) {
	updates, position := l.Since(parsePosition(at))
	to := formatPosition(position)
	if len(updates) == 0 {
		return nil, to
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(updates); err != nil {
		l.Log.Error("updates for other gateways not encoded", "of", l.Name, "error", err.Error())
		return nil, to
	}
	return body.Bytes(), to
}

func (l ChangeLog[T]) merge(body []byte, from string) (isNew bool) {
	if len(body) == 0 {
		return false
	}
	var updates []T
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&updates); err != nil {
		l.Log.Warn("updates of a gateway not understood", "of", l.Name, "peer", from, "error", err.Error())
		return false
	}
	return l.Merge(updates)
}

package discovery

import (
	"bytes"
	"encoding/gob"
	"log/slog"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

// ChangeLog is a log of changes that gateways exchange. Its functions may be called while
// the Follower is locked and must not call it.
type ChangeLog[T any] struct {
	// Name says what it holds, for log lines.
	Name string
	// Position returns the position of the log.
	Position func() changes.Position
	// Since returns the changes since a position, and the position that they lead to.
	Since func(at changes.Position) (updates []T, to changes.Position)
	// Merge applies changes of another gateway, and reports whether any was new here.
	Merge func(updates []T) (isNew bool)
	// MinInterval is that of UpdateKind.
	MinInterval time.Duration
	Log         *slog.Logger
}

// UpdateKind returns the log as a kind of update that gateways exchange.
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
		l.Log.Error("encoding updates for other gateways failed", "of", l.Name, "error", err.Error())
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
		l.Log.Warn("decoding updates of a gateway failed", "of", l.Name, "peer", from, "error", err.Error())
		return false
	}
	return l.Merge(updates)
}

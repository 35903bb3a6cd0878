package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// announced is how far a kind of update has come here, as other gateways are notified of it, and
// when that last changed. It trails what is known by at most Updates.Every, so that updates that
// come one after the other leave together.
type announced struct {
	position string
	at       time.Time
}

// announcedPosition is how far a kind of update is announced; the lock is held.
func (f *Follower) announcedPosition(kind int) string {
	w, a := &f.options.UpdateKinds[kind], &f.announced[kind]
	position := w.Position()
	if position == a.position {
		return position
	}
	now := f.options.Clock()
	if now.Sub(a.at) < w.MinInterval {
		f.announceLater()
		return a.position
	}
	*a = announced{position: position, at: now}
	return position
}

// announceLater has the duty announce what could not be announced yet.
func (f *Follower) announceLater() {
	select {
	case f.announceRequests <- struct{}{}:
	default: // it will
	}
}

// announce is the duty of announcing updates that came soon after others.
func (f *Follower) announce(ctx context.Context) error {
	var every time.Duration
	for _, w := range f.options.UpdateKinds {
		every = max(every, w.MinInterval)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.announceRequests:
		}
		if !pause.For(ctx, every) {
			return nil
		}
		f.Wake()
	}
}

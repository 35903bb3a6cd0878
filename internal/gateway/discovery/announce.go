package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// announced is the position of a kind of update that other gateways are notified of, and
// when it last changed. It lags behind the known position by at most
// UpdateKind.MinInterval, so that updates that follow each other closely are sent together.
type announced struct {
	position string
	at       time.Time
}

// announcedPosition returns the announced position of a kind of update, which advances if
// MinInterval has passed; the lock is held.
func (f *Follower) announcedPosition(kind int) string {
	k, a := &f.options.UpdateKinds[kind], &f.announced[kind]
	position := k.Position()
	if position == a.position {
		return position
	}
	now := f.options.Clock()
	if now.Sub(a.at) < k.MinInterval {
		f.announceLater()
		return a.position
	}
	*a = announced{position: position, at: now}
	return position
}

// announceLater requests that the background task announce what could not be announced yet.
func (f *Follower) announceLater() {
	select {
	case f.announceRequests <- struct{}{}:
	default: // requested already
	}
}

// announce is the background task that announces updates that came soon after others.
func (f *Follower) announce(ctx context.Context) error {
	var every time.Duration
	for _, k := range f.options.UpdateKinds {
		every = max(every, k.MinInterval)
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

package quota

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/rpclink"
)

const (
	// homesCount is how many gateways share the work of being homes: one that goes moves a
	// fourth of the subjects, and each gateway sends four of them heartbeats.
	homesCount = 4
	// lookEvery is the pause between two looks at which these are, much less than the time for
	// which a gateway counts that fell silent.
	lookEvery = 250 * time.Millisecond
	// sizeEvery is the least time between two guesses at the fleet's size: each other guess may
	// have all homes informed.
	sizeEvery = time.Second
	// namedFor is how long a gateway that a home named is not new.
	namedFor = time.Second
	// idleEvery is that pause where there are no limits, for few wake-ups. The first request
	// that one bounds ends it.
	idleEvery = time.Second
)

// Duties are what a gateway does for quotas, each until its context ends.
func (r *Register) Duties() []func(context.Context) error {
	return []func(context.Context) error{r.keepLinks}
}

// keepLinks is the duty of knowing the homes.
func (r *Register) keepLinks(ctx context.Context) error {
	for {
		var homes []member.Box
		wait := idleEvery
		if r.hasLimits() {
			homes, wait = r.options.Homes(homesCount), lookEvery
		}
		r.link(ctx, homes)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-r.needed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// hasLimits says whether there is any limit: of a workspace, or of a target, be it one that
// only others have met.
func (r *Register) hasLimits() bool { return r.options.HasLimits() || r.LimitsFor() > 0 }

// need has the duty look at once for the homes, if none is known.
func (r *Register) need() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.needHomes()
}

// needHomes is need while the lock is held.
func (r *Register) needHomes() {
	if len(r.homes) == 0 {
		r.lookNow()
	}
}

// lookNow has the duty look at once which gateways are homes; the lock is held.
func (r *Register) lookNow() {
	select {
	case r.needed <- struct{}{}:
	default: // it will
	}
}

// link makes links to new homes and ends those to gateways that are none any more.
func (r *Register) link(ctx context.Context, homes []member.Box) {
	there := map[uint32]member.Box{}
	for _, box := range homes {
		there[quota.ID(box.ID)] = box
	}
	r.part(ctx, there)
	// Before the lock: discovery asks for LimitsFor under its own.
	size, ranked := r.options.Gateways(), r.options.Ranked(homesCount)
	if r.look(ctx, there, size, ranked) {
		r.notify()
	}
}

// look takes in how the fleet is now, and says whether other gateways should learn of a limit.
func (r *Register) look(ctx context.Context, there map[uint32]member.Box, size int, ranked []peers.Sighting) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	r.ranked, r.rankedAt = ranked, now
	r.noteSize(now, size)
	r.ledger.Tick(now)
	r.forget(now)
	r.relink(ctx, there)
	if r.isHome || len(r.homes) == 0 {
		r.ledger.Observe(now, r.standing(now))
	}
	return r.board.Tick(now)
}

// noteSize takes in about how many gateways there are; the lock is held.
func (r *Register) noteSize(now time.Time, size int) {
	if now.Sub(r.sizedAt) < sizeEvery {
		return
	}
	before := r.stands()
	r.size, r.sizedAt = size, now
	r.ledger.SetFleetSize(r.size)
	if r.stands() != before {
		r.hurry() // else homes would count it as before for a while, beside those that represent it
	}
}

// relink has links to some gateways and to no others; the lock is held.
func (r *Register) relink(ctx context.Context, there map[uint32]member.Box) {
	for id, l := range r.links {
		if !l.isTo(there) {
			r.turnAway(l)
			l.stop()
			delete(r.links, id)
		}
	}
	_, r.isHome = there[r.self]
	r.linked = len(there) > 0
	for id, box := range there {
		if id != r.self && r.links[id] == nil {
			r.links[id] = newLink(ctx, r, box)
		}
	}
	if before := r.homes; r.findHomes() && len(before) > 0 {
		r.hurry() // each home counts those that turn to it
	}
}

// findHomes notes which homes answer, and says whether these are others than before; the lock
// is held.
func (r *Register) findHomes() (changed bool) {
	homes := make([]uint32, 0, len(r.links)+1)
	if r.isHome {
		homes = append(homes, r.self)
	}
	for id, l := range r.links {
		if !l.failed {
			homes = append(homes, id)
		}
	}
	slices.Sort(homes)
	changed = !slices.Equal(homes, r.homes)
	r.homes = homes // a new one each time: questions under way hold the one before
	return changed
}

// stands is for how many gateways this one stands where parts are measured; 0 if it does not
// count. The lock is held.
func (r *Register) stands() int { return quota.SampleWeight(r.self, r.size) }

// beats says whether a home is sent a heartbeat: where it counts, and where
// the home did not answer last time.
func (r *Register) beats(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stands() > 0 || l.failed
}

// forget drops what is known of the credit of subjects that nobody uses, of targets that were not
// met for long, and of gateways that homes named; the lock is held.
func (r *Register) forget(now time.Time) {
	maps.DeleteFunc(r.borrowers, func(_ quota.Subject, b *quota.LocalCredit) bool { return b.IsIdle(now) })
	maps.DeleteFunc(r.namedAt, func(_ uint32, at time.Time) bool { return now.Sub(at) >= namedFor })
	for life, t := range r.targets {
		if t.isForgotten(now) {
			r.takeLimit(t, now, quota.Advertised{}, quota.SourceExpiry)
			delete(r.targets, life)
		}
	}
}

// question asks a home for credit for requests that wait.
func (r *Register) question(l *link, waiting map[quota.Subject][]*ask) AskArgs {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	args := AskArgs{Standing: r.standing(now)}
	if l.parting != nil {
		args.Standing.Homes = l.parting
	}
	for subject, asks := range waiting {
		latest := slices.MaxFunc(asks, func(a, b *ask) int { return int(a.version) - int(b.version) })
		args.Wants = append(args.Wants, latest.want(now, r.borrower(subject), count(asks)))
	}
	return args
}

// count is how many requests wait.
func count(asks []*ask) (n int) {
	for _, a := range asks {
		n += a.count
	}
	return n
}

// take works in what came of a question, and answers the requests that waited.
func (r *Register) take(l *link, args AskArgs, reply AskReply, err error, waiting map[quota.Subject][]*ask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	r.noteAnswered(l, err)
	if err != nil {
		for _, asks := range waiting {
			for _, a := range asks {
				a.answer <- answer{err: err}
			}
		}
		return
	}
	r.ledger.MergeFleet(now, reply.Fleet)
	l.noteParted(args.Standing)
	for i, want := range args.Wants {
		asks, grant := waiting[want.Subject()], reply.Grants[i]
		asks[0].observe(r, now, grant)
		goOn := r.borrower(want.Subject()).AddGrant(now, grant, count(asks))
		for _, a := range asks {
			a.answer <- answer{granted: a.count <= goOn}
			goOn -= min(a.count, goOn)
		}
	}
}

// turnAway notes that this gateway does not turn to a home any more, where that may go on
// counting it; the lock is held.
func (r *Register) turnAway(l *link) {
	if !l.refused && !l.hasParted() && l.observed.After(r.left) {
		r.left = l.observed
	}
}

// hurry asks all homes whether they still answer: this gateway may be cut off from more than
// one. The lock is held.
func (r *Register) hurry() {
	for _, l := range r.links {
		select {
		case l.hurry <- struct{}{}:
		default: // it is asked already
		}
	}
}

// noteAnswered notes whether a home answered; the lock is held.
func (r *Register) noteAnswered(l *link, err error) {
	failed := err != nil && !errors.Is(err, errUnsettled)
	l.refused = failed && !errors.Is(err, rpclink.ErrNoAnswer)
	if !failed {
		l.observed = r.options.Clock()
	}
	if failed {
		r.options.Metrics.QuotaAsked(resultFailed)
	} else {
		r.options.Metrics.QuotaAsked(resultAnswered)
	}
	if failed == l.failed {
		return
	}
	l.failed = failed
	r.findHomes()
	if failed {
		r.turnAway(l)
		r.options.Log.Info("quota home lost", "peer", l.box.ID, "address", l.box.Peer, "error", err.Error())
		r.hurry()
		return
	}
	r.options.Log.Info("quota home back", "peer", l.box.ID, "address", l.box.Peer)
}

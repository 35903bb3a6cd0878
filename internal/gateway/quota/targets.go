package quota

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

const (
	// targetAskWithin bounds how long one request waits for credit for one target: another
	// target is found sooner than a home that is away.
	targetAskWithin = 50 * time.Millisecond
	// noHomePause is for how long a target is passed over once its home did not answer.
	noHomePause = 100 * time.Millisecond
	// shareFor is for how long gateways go on sharing limits of targets once none is known any
	// more: it is mostly named again soon, and homes would take those that left for lost.
	shareFor = time.Minute
	// loggedChange is the least change of a limit that is logged, as a share of it.
	loggedChange = 0.2
	// forgetTargetAfter is how long a target is remembered that nobody meets: it is gone by
	// then, or met again by a probe that reports its limit.
	forgetTargetAfter = 10 * time.Minute
	// forgetLiftedAfter is the same for a target that names no limit any more, which may name
	// one again.
	forgetLiftedAfter = time.Minute
)

// target is what is known of one start of a target that names a limit, or did.
type target struct {
	life catalog.Life
	// subject is what its limit bounds: one that starts again has advertised nothing yet.
	subject quota.Subject
	named   quota.KnownLimit
	met     time.Time
	// logged is the limit that was last logged.
	logged float64
}

// logsAt says whether a limit differs so much from the one logged last that it is logged: many
// move by a little with each answer.
func (t *target) logsAt(rate float64) bool {
	return rate == 0 || t.logged == 0 || math.Abs(rate-t.logged) >= loggedChange*t.logged
}

func newTarget(life catalog.Life) *target {
	return &target{life: life, subject: quota.Subject{Target: life.ID + "@" + strconv.FormatInt(life.Born, 10)}}
}

func (t *target) isForgotten(now time.Time) bool {
	if t.named.Advertised().Rate == 0 {
		return now.Sub(t.met) > forgetLiftedAfter
	}
	return now.Sub(t.met) > forgetTargetAfter
}

// NoteLimit takes in what an answer of a target says of its limit, by the values of the header that
// names it; none say that it has no limit.
func (r *Register) NoteLimit(life catalog.Life, via quota.Source, limit []string) {
	if r == nil || len(limit) == 0 && r.limited.Load() == 0 {
		return
	}
	advertised, err := quota.ParseAdvertised(limit)
	if err != nil {
		r.options.Log.Warn("limit of a target passed over", "target", life.ID, "value", limit, "error", err.Error())
		return
	}
	if r.noteAdvertised(life, advertised, via) {
		r.notify()
	}
}

// noteAdvertised takes in what a target advertised, and says whether other gateways should learn of it.
func (r *Register) noteAdvertised(life catalog.Life, advertised quota.Advertised, via quota.Source) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[life]
	if t == nil && advertised.Rate == 0 {
		return false
	}
	if t == nil {
		t = r.addTarget(life)
	}
	r.meet(t)
	r.takeLimit(t, t.met, advertised, via)
	return r.board.Observe(t.met, life, t.named.Advertised())
}

// addTarget notes that a target names a limit, or did; the lock is held.
func (r *Register) addTarget(life catalog.Life) *target {
	t := newTarget(life)
	r.targets[life] = t
	r.needHomes()
	return t
}

// meet notes that a target is of use, so that its limit is shared for a while from now on; the
// lock is held.
func (r *Register) meet(t *target) {
	t.met = r.options.Clock()
	r.shareUntil = t.met.Add(shareFor)
}

// takeLimit takes in what was advertised of a target's limit at a moment; the lock is held.
func (r *Register) takeLimit(t *target, at time.Time, advertised quota.Advertised, via quota.Source) {
	before := t.named.Advertised()
	if !t.named.Observe(at, advertised, via) {
		return
	}
	switch {
	case before.Rate == 0:
		r.limited.Add(1)
	case advertised.Rate == 0:
		r.limited.Add(-1)
	}
	if t.logsAt(advertised.Rate) {
		level := slog.LevelInfo
		if via == quota.SourceGateway {
			level = slog.LevelDebug // those that met the target log it
		}
		r.options.Log.Log(context.Background(), level, "limit of a target", "target", t.life.ID, "rate", advertised.Rate, "before", t.logged, "by", via.String())
		t.logged = advertised.Rate
	}
	if via == quota.SourceAnswer {
		r.tellHome(t)
	}
}

// tellHome sends the home of a target another limit at once, since others may only learn of it
// from there: it lends by the one before until then. The lock is held.
func (r *Register) tellHome(t *target) {
	home, ok := quota.Home(t.subject, r.homes)
	a := newTargetAsk(t, 0)
	if ok && home == r.self {
		r.askSelf(a)
		return
	}
	l := r.links[home]
	if l == nil {
		return
	}
	a.answer = make(chan answer, 1)
	select {
	case l.asks <- a:
	default: // the next question reports it
	}
}

// LimitsFor is for how much longer gateways share limits of targets; 0 for not. Each must report
// the homes that it is there, whether it has met such a target or not: they give out the part
// of a limit that falls to those that turn to them.
func (r *Register) LimitsFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.shareUntil.Sub(r.options.Clock()), 0)
}

// ObserveLimits takes in for how much longer another gateway shares limits of targets.
func (r *Register) ObserveLimits(left time.Duration) {
	if left <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := r.options.Clock().Add(min(left, shareFor)); until.After(r.shareUntil) {
		r.shareUntil = until
		r.needHomes()
	}
}

// limitOf finds a target that names a limit; nil if it names none. The lock is held.
func (r *Register) limitOf(life catalog.Life) *target {
	t := r.targets[life]
	if t == nil || t.named.Advertised().Rate == 0 {
		return nil
	}
	return t
}

// AdmitTarget says whether a request may be sent to a target: one that names a limit takes no
// more from all gateways together. It asks the target's home unless there is credit here.
func (r *Register) AdmitTarget(ctx context.Context, life catalog.Life) (credit *Credit, ok bool) {
	if r == nil || r.limited.Load() == 0 {
		return nil, true
	}
	t, answer := r.useTarget(life)
	if t == nil {
		return nil, true
	}
	switch answer {
	case quota.Admit:
		return &Credit{register: r, subject: t.subject}, true
	case quota.Refuse:
		return nil, false
	}
	r.need()
	ctx, cancel := context.WithTimeout(ctx, targetAskWithin)
	defer cancel()
	granted, err := r.askHome(ctx, newTargetAsk(t, 1))
	if err != nil {
		r.noteNoHome(t, err)
	}
	if !granted {
		return nil, false
	}
	return &Credit{register: r, subject: t.subject}, true
}

// useTarget asks the borrower of a target; nil for one that names no limit.
func (r *Register) useTarget(life catalog.Life) (*target, quota.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.limitOf(life)
	if t == nil {
		return nil, quota.Admit
	}
	r.meet(t)
	return t, r.borrower(t.subject).Use(t.met)
}

// noteNoHome has a target passed over for a while whose home did not answer.
func (r *Register) noteNoHome(t *target, cause error) {
	wait := noHomePause
	if errors.Is(cause, errUnsettled) {
		wait = unsettledPause
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.borrower(t.subject).PauseUntil(r.options.Clock().Add(wait))
	r.options.Log.Debug("no credit for a target", "target", t.life.ID, "error", cause.Error())
}

// LimitedTargets is how many targets are known to name limits.
func (r *Register) LimitedTargets() int64 { return r.limited.Load() }

// TargetRate is the limit that a target is known to name, in requests a second; 0 for none.
func (r *Register) TargetRate(life catalog.Life) float64 {
	if r == nil || r.limited.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.limitOf(life)
	if t == nil {
		return 0
	}
	return t.named.Advertised().Rate
}

// Limited are the targets that name limits, and for how long each has no credit; 0 where there
// may be some.
func (r *Register) Limited() map[catalog.Life]time.Duration {
	if r == nil || r.limited.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	limited := map[catalog.Life]time.Duration{}
	for life, t := range r.targets {
		if t.named.Advertised().Rate == 0 {
			continue
		}
		limited[life] = 0
		if b := r.borrowers[t.subject]; b != nil {
			limited[life] = b.ExhaustedFor(now)
		}
	}
	return limited
}

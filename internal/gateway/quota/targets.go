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
	// targetAskTimeout bounds how long one request waits for credit for one target: choosing
	// another target is faster than waiting for a home that does not reply.
	targetAskTimeout = 50 * time.Millisecond
	// noHomePause is how long a target is skipped after its home did not reply.
	noHomePause = 100 * time.Millisecond
	// sharingTTL is how long gateways continue to exchange limits of targets after the last one
	// is gone. Mostly a target advertises one again soon, and homes would count gateways that
	// stopped sending heartbeats as lost.
	sharingTTL = time.Minute
	// minLoggedChange is the smallest relative change of a limit that is logged.
	minLoggedChange = 0.2
	// targetTTL is how long a target is kept after this gateway last came upon it. By then it is
	// gone, or a probe reports its limit again.
	targetTTL = 10 * time.Minute
	// liftedTTL is the same for a target whose limit was lifted, and which may advertise one
	// again.
	liftedTTL = time.Minute
)

// target is the state of one incarnation of a target that advertises a limit, or did.
type target struct {
	life catalog.Life
	// subject includes the incarnation: a target that was restarted has not advertised anything
	// yet.
	subject quota.Subject
	known   quota.KnownLimit
	// lastUsed is when this gateway last came upon the target: when it was to send it a request,
	// or received its limit from it or from another gateway.
	lastUsed time.Time
	// loggedRate is the limit that was logged last.
	loggedRate float64
}

// shouldLog reports whether a limit differs enough from the one logged last: many limits change
// a little with each answer.
func (t *target) shouldLog(rate float64) bool {
	return rate == 0 || t.loggedRate == 0 || math.Abs(rate-t.loggedRate) >= minLoggedChange*t.loggedRate
}

func newTarget(life catalog.Life) *target {
	return &target{life: life, subject: quota.Subject{Target: life.ID + "@" + strconv.FormatInt(life.Born, 10)}}
}

func (t *target) isExpired(now time.Time) bool {
	if t.known.Advertised().Rate == 0 {
		return now.Sub(t.lastUsed) > liftedTTL
	}
	return now.Sub(t.lastUsed) > targetTTL
}

// ObserveLimit records the limit in an answer of a target, given the values of the header for
// it. No values mean that the target has no limit.
func (l *Limiter) ObserveLimit(life catalog.Life, source quota.Source, values []string) {
	if l == nil || len(values) == 0 && l.limitedCount.Load() == 0 {
		return
	}
	advertised, err := quota.ParseAdvertised(values)
	if err != nil {
		l.options.Log.Warn("invalid limit header of a target ignored", "target", life.ID, "value", values, "error", err.Error())
		return
	}
	if l.observeAdvertised(life, advertised, source) {
		l.notify()
	}
}

// observeAdvertised records what a target advertised, and reports whether other gateways should
// receive it.
func (l *Limiter) observeAdvertised(life catalog.Life, advertised quota.Advertised, source quota.Source) (publish bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[life]
	if t == nil && advertised.Rate == 0 {
		return false
	}
	if t == nil {
		t = l.addTarget(life)
	}
	l.touch(t)
	l.applyLimit(t, t.lastUsed, advertised, source)
	return l.shared.Observe(t.lastUsed, life, t.known.Advertised())
}

// addTarget adds the state of a target that advertises a limit, or did. The lock is held.
func (l *Limiter) addTarget(life catalog.Life) *target {
	t := newTarget(life)
	l.targets[life] = t
	l.requireHomesLocked()
	return t
}

// touch records that this gateway came upon a target, which extends the exchange of limits. The
// lock is held.
func (l *Limiter) touch(t *target) {
	t.lastUsed = l.options.Clock()
	l.sharingUntil = t.lastUsed.Add(sharingTTL)
}

// applyLimit applies what a target advertised at a given time. The lock is held.
func (l *Limiter) applyLimit(t *target, at time.Time, advertised quota.Advertised, source quota.Source) {
	previous := t.known.Advertised()
	if !t.known.Observe(at, advertised, source) {
		return
	}
	switch {
	case previous.Rate == 0:
		l.limitedCount.Add(1)
	case advertised.Rate == 0:
		l.limitedCount.Add(-1)
	}
	if t.shouldLog(advertised.Rate) {
		level := slog.LevelInfo
		if source == quota.SourceGateway {
			level = slog.LevelDebug // logged by the gateways that received the answer
		}
		l.options.Log.Log(context.Background(), level, "limit of a target", "target", t.life.ID, "rate", advertised.Rate, "before", t.loggedRate, "by", source.String())
		t.loggedRate = advertised.Rate
	}
	if source == quota.SourceAnswer {
		l.sendLimitToHome(t)
	}
}

// sendLimitToHome sends a changed limit to the target's home at once: until then the home
// grants credit by the old limit, and other gateways may learn of the new one only from there.
// The lock is held.
func (l *Limiter) sendLimitToHome(t *target) {
	home, ok := quota.Home(t.subject, l.homes)
	a := newTargetAsk(t, 0)
	if ok && home == l.self {
		l.askOwnLedger(a)
		return
	}
	link := l.links[home]
	if link == nil {
		return
	}
	a.result = make(chan askResult, 1)
	select {
	case link.queue <- a:
	default: // the next call contains it
	}
}

// SharingLeft returns for how much longer gateways exchange limits of targets; 0 if they don't.
// Meanwhile every gateway must send heartbeats to the homes, even if it has not encountered such
// a target: a home grants the share of a limit that corresponds to the gateways that use it as
// their home, and it knows these by their heartbeats.
func (l *Limiter) SharingLeft() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.sharingUntil.Sub(l.options.Clock()), 0)
}

// ExtendSharing extends the exchange of limits to the time for which another gateway continues
// it.
func (l *Limiter) ExtendSharing(left time.Duration) {
	if left <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := l.options.Clock().Add(min(left, sharingTTL)); until.After(l.sharingUntil) {
		l.sharingUntil = until
		l.requireHomesLocked()
	}
}

// limitedTarget returns the state of a target with a limit; nil if it has none. The lock is
// held.
func (l *Limiter) limitedTarget(life catalog.Life) *target {
	t := l.targets[life]
	if t == nil || t.known.Advertised().Rate == 0 {
		return nil
	}
	return t
}

// AdmitTarget reports whether a request may be sent to a target; a limit that a target
// advertises applies to all gateways together. It asks the target's home unless there is local
// credit.
func (l *Limiter) AdmitTarget(ctx context.Context, life catalog.Life) (credit *Credit, ok bool) {
	if l == nil || l.limitedCount.Load() == 0 {
		return nil, true
	}
	t, decision := l.useTarget(life)
	if t == nil {
		return nil, true
	}
	switch decision {
	case quota.Admit:
		return &Credit{limiter: l, subject: t.subject}, true
	case quota.Refuse:
		return nil, false
	}
	l.requireHomes()
	ctx, cancel := context.WithTimeout(ctx, targetAskTimeout)
	defer cancel()
	granted, err := l.askHome(ctx, newTargetAsk(t, 1))
	if err != nil {
		l.pauseTarget(t, err)
	}
	if !granted {
		return nil, false
	}
	return &Credit{limiter: l, subject: t.subject}, true
}

// useTarget consumes local credit for a target, if there is any. It returns a nil target if the
// target has no limit.
func (l *Limiter) useTarget(life catalog.Life) (*target, quota.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.limitedTarget(life)
	if t == nil {
		return nil, quota.Admit
	}
	l.touch(t)
	return t, l.localCredit(t.subject).Use(t.lastUsed)
}

// pauseTarget makes a target be skipped for a while after its home did not reply.
func (l *Limiter) pauseTarget(t *target, cause error) {
	wait := noHomePause
	if errors.Is(cause, errFleetUnknown) {
		wait = fleetUnknownPause
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localCredit(t.subject).PauseUntil(l.options.Clock().Add(wait))
	l.options.Log.Debug("no credit obtained for a target", "target", t.life.ID, "error", cause.Error())
}

// LimitedTargets returns the number of targets with a known limit.
func (l *Limiter) LimitedTargets() int64 { return l.limitedCount.Load() }

// TargetRate returns the known limit of a target in requests per second; 0 for none.
func (l *Limiter) TargetRate(life catalog.Life) float64 {
	if l == nil || l.limitedCount.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.limitedTarget(life)
	if t == nil {
		return 0
	}
	return t.known.Advertised().Rate
}

// TargetPauses returns the targets with a limit, and how long each of them will have no credit;
// 0 if it may have some.
func (l *Limiter) TargetPauses() map[catalog.Life]time.Duration {
	if l == nil || l.limitedCount.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock()
	pauses := map[catalog.Life]time.Duration{}
	for life, t := range l.targets {
		if t.known.Advertised().Rate == 0 {
			continue
		}
		pauses[life] = 0
		if credit := l.credits[t.subject]; credit != nil {
			pauses[life] = credit.ExhaustedFor(now)
		}
	}
	return pauses
}

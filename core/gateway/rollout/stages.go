package rollout

import (
	"math"
	"time"
)

const (
	// rampStart is the part of an order's time after which the first share grows: a version
	// may turn bad some seconds after its start, and what turns bad before costs little.
	// More is left for what delays, as an unreachable store.
	rampStart = 0.55
	// firstStageBudget and middlePart are the parts of the exposure that a bad version may have
	// which the first and the middle stage use up. Weighed: with a quarter for each, a version that
	// turns bad in the last stage got more than it may where the order gives 12 s.
	firstStageBudget  = 0.1
	middleStageBudget = 0.1
	// maxFirstStageBudget bounds the first share where the rate of the service is small and more is
	// needed for a proof in time.
	maxFirstStageBudget = 0.4
	// firstStageSends is how many sends should reach the canary in the first stage: 29 good
	// answers prove it, some may be bad.
	firstStageSends = 45
	// minShare bounds the first share from below, mostShare all before the last from
	// above: targets of the baseline stay warm.
	minShare = 0.01
	maxShare  = 0.5
	// minMiddleStage is how long the middle stage lasts at least, and stagePart its part of the
	// order's time: until slow answers of its first sends are known and reported.
	minMiddleStage = 700 * time.Millisecond
	middleStageShare  = 0.05
	// lastStageDuration is how long the last stage usually takes: all gateways have learnt of it, what
	// was under way at the baseline has ended, and both are reported.
	lastStageDuration = 600 * time.Millisecond
	// defaultDrainWait is how long the last stage waits for gateways that don't report and sends
	// that don't end, where nobody says how long these may take.
	defaultDrainWait = 30 * time.Second
	// stopDelay is how long after a version turns bad the last request is sent to it: an
	// answer, a report, a write to the store, its update. stopTime is the part of it in which
	// requests are sent that are not counted yet: half the time between two reports, the
	// write, its update.
	stopDelay = 450 * time.Millisecond
	uncountedDelay   = 250 * time.Millisecond
	// exposureStopShare is the part of what a bad version may get at which it is stopped by the
	// count so far: more arrives by chance.
	exposureStopShare = 0.9
	// minDeadlineMargin is how long before the deadline a rollout has ended, and marginPart its
	// part of the order's time: a call to the store may have to be repeated.
	minDeadlineMargin = 1500 * time.Millisecond
	deadlineMarginShare  = 0.1
	// minWarmShare is which part of the targets of a stage must be warm: others may have crashed
	// and come back.
	minWarmShare = 0.9
)

// latestEndAge is the age at which a rollout must have ended.
func latestEndAge(within time.Duration) time.Duration {
	return within - max(minDeadlineMargin, fractionOf(within, deadlineMarginShare))
}

// fractionOf is a share of a time.
func fractionOf(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// middleStageDuration is how long the middle stage lasts.
func middleStageDuration(within time.Duration) time.Duration { return max(minMiddleStage, fractionOf(within, middleStageShare)) }

// firstShare is the share of the first stage, in thousandths.
func (s State) firstShare() int {
	duration := fractionOf(s.Order.Within, rampStart).Seconds()
	share := firstStageBudget * s.budget() / duration
	if rate := s.Evidence.rate(); rate > 0 {
		share = max(share, firstStageSends/(rate*duration))
	}
	share = min(share, maxFirstStageBudget*s.budget()/duration)
	return permille(share)
}

// middleShare is the share of the middle stage, in thousandths.
func (s State) middleShare() int {
	duration := middleStageDuration(s.Order.Within) + stopDelay
	return permille(middleStageBudget * s.budget() / duration.Seconds())
}

// permille rounds a share before the last stage to thousandths, within its bounds.
func permille(share float64) int {
	return int(math.Round(FullShare * min(max(share, minShare), maxShare)))
}

// budget is for how many seconds a bad version may take all requests.
func (s State) budget() float64 {
	seconds := s.Limits.Share * s.Order.Within.Seconds()
	if rate := s.Evidence.rate(); rate > 0 {
		seconds += float64(s.Limits.Slack) / rate
	}
	return seconds
}

// isExposureSpent says whether the version, even if it were stopped now, would have got about as
// much as a bad one may (exposedPart of it): it must be proved now, or stopped.
func (s State) isExposureSpent() bool {
	total, rate := s.Evidence.Total(), s.Evidence.rate()
	remaining := max(s.Order.Within-s.Age, 0).Seconds()
	allowed := s.Limits.Share*(float64(total.sends())+rate*remaining) + float64(s.Limits.Slack)
	share := float64(s.Order.Permille) / FullShare
	expected := float64(total.Canary.Sends) + float64(s.Evidence.CanaryActive) + share*rate*uncountedDelay.Seconds()
	return expected >= exposureStopShare*allowed
}

// nextShare is the share that may follow by the time that has passed, in thousandths; that
// of now if none may yet.
func (s State) nextShare() int {
	now, within := s.Order.Permille, s.Order.Within
	ramp, stage := fractionOf(within, rampStart), middleStageDuration(within)
	if s.Age < ramp {
		return s.resizedFirstShare(ramp)
	}
	if s.StageAge < stage {
		return now
	}
	next := s.middleShare()
	if next < 2*now || s.Age+stage > latestEndAge(within)-lastStageDuration {
		next = FullShare
	}
	if float64(s.Warm) < minWarmShare*float64(canarySize(next, s.Canary)) {
		return now
	}
	return next
}

// resizedFirstShare is the first share worked out anew: the rate of the service may not have been
// known when it was recorded. It stays as it is where too little time is left to gain from
// another, or where that is less than half as much again.
func (s State) resizedFirstShare(ramp time.Duration) int {
	share := s.firstShare()
	if s.Age > ramp/2 || 2*share < 3*s.Order.Permille {
		return s.Order.Permille
	}
	return share
}

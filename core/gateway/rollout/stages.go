package rollout

import (
	"math"
	"time"
)

const (
	// rampStart is the fraction of an order's time after which the canary's share of the
	// requests may grow beyond that of the first stage: a version may become bad some
	// seconds after its start, and costs little if it does so before the ramp. The rest of
	// the time, which is more than the other stages need, is a reserve for delays such as an
	// unreachable store.
	rampStart = 0.55
	// firstStageBudget and middleStageBudget are the shares of a bad version's allowed
	// exposure that the first and the middle stage use. The rest is left for a version that
	// becomes bad in the last stage: with a quarter for each, such a version exceeded its
	// exposure in simulations where the order gives 12 s.
	// TestExposureIsBoundedWheneverAVersionTurnsBad checks the total.
	firstStageBudget  = 0.1
	middleStageBudget = 0.1
	// maxFirstStageBudget bounds the first share where the rate of the service is low and a
	// proof in time needs a greater share.
	maxFirstStageBudget = 0.4
	// firstStageSends is how many sends should reach the canary in the first stage: 29 good
	// responses prove it healthy, some may be bad.
	firstStageSends = 45
	// minShare bounds the first share from below, maxShare all shares before the last from
	// above, so that the targets of the baseline stay warm.
	minShare = 0.01
	maxShare = 0.5
	// minMiddleStage is the shortest duration of the middle stage, and middleStageShare its
	// share of the order's time: until slow responses to its first sends are known and
	// reported.
	minMiddleStage   = 700 * time.Millisecond
	middleStageShare = 0.05
	// lastStageDuration is the usual duration of the last stage: until all gateways have
	// received it, the sends to the baseline have ended, and both are reported.
	lastStageDuration = 600 * time.Millisecond
	// defaultDrainWait is how long the last stage waits for gateways that don't report and
	// sends that don't end, where no Limits.DrainWait is given.
	defaultDrainWait = 30 * time.Second
	// stopDelay is the time from when a version becomes bad to the last request sent to it: a
	// response, a report, a write to the store, its update. uncountedDelay is the part of
	// it in which requests are sent that are not counted yet: half of the report interval,
	// the write, its update.
	stopDelay      = 450 * time.Millisecond
	uncountedDelay = 250 * time.Millisecond
	// exposureStopShare is the share of a bad version's allowed exposure at which the
	// version is stopped by the count so far, since the number of requests that still
	// arrive varies at random.
	exposureStopShare = 0.9
	// minDeadlineMargin is how long before the deadline a rollout must have ended, and
	// deadlineMarginShare the same as a share of the order's time: a call to the store may
	// have to be retried.
	minDeadlineMargin   = 1500 * time.Millisecond
	deadlineMarginShare = 0.1
	// minWarmShare is the share of a stage's targets that must be warm. The rest may have
	// crashed and restarted.
	minWarmShare = 0.9
)

// latestEndAge returns the age at which a rollout must have ended.
func latestEndAge(within time.Duration) time.Duration {
	return within - max(minDeadlineMargin, fractionOf(within, deadlineMarginShare))
}

// fractionOf returns a share of a duration.
func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// middleStageDuration returns how long the middle stage lasts.
func middleStageDuration(within time.Duration) time.Duration {
	return max(minMiddleStage, fractionOf(within, middleStageShare))
}

// firstShare returns the share of the first stage, in thousandths.
func (s State) firstShare() int {
	duration := fractionOf(s.Order.Within, rampStart).Seconds()
	share := firstStageBudget * s.budget() / duration
	if rate := s.Evidence.rate(); rate > 0 {
		share = max(share, firstStageSends/(rate*duration))
	}
	share = min(share, maxFirstStageBudget*s.budget()/duration)
	return permille(share)
}

// middleShare returns the share of the middle stage, in thousandths.
func (s State) middleShare() int {
	duration := middleStageDuration(s.Order.Within) + stopDelay
	return permille(middleStageBudget * s.budget() / duration.Seconds())
}

// permille rounds a share before the last stage to thousandths, within its bounds.
func permille(share float64) int {
	return int(math.Round(FullShare * min(max(share, minShare), maxShare)))
}

// budget returns for how many seconds a bad version may take all requests.
func (s State) budget() float64 {
	seconds := s.Limits.Share * s.Order.Within.Seconds()
	if rate := s.Evidence.rate(); rate > 0 {
		seconds += float64(s.Limits.Slack) / rate
	}
	return seconds
}

// isExposureSpent reports whether the version, even if it were stopped now, would have got
// about as much as a bad one may (exposureStopShare of it). It must be proved healthy now,
// or stopped.
func (s State) isExposureSpent() bool {
	total, rate := s.Evidence.Total(), s.Evidence.rate()
	remaining := max(s.Order.Within-s.Age, 0).Seconds()
	allowed := s.Limits.Share*(float64(total.sends())+rate*remaining) + float64(s.Limits.Slack)
	share := float64(s.Order.Permille) / FullShare
	expected := float64(total.Canary.Sends) + float64(s.Evidence.CanaryActive) + share*rate*uncountedDelay.Seconds()
	return expected >= exposureStopShare*allowed
}

// nextShare returns the share that may follow by the time that has passed, in thousandths;
// the present one if none may follow yet.
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

// resizedFirstShare returns the first share computed anew, since the rate of the service
// may not have been known when the share was recorded. The share stays as it is where too
// little time is left to gain from a change, or where the new one is less than half as much
// again.
func (s State) resizedFirstShare(ramp time.Duration) int {
	share := s.firstShare()
	if s.Age > ramp/2 || 2*share < 3*s.Order.Permille {
		return s.Order.Permille
	}
	return share
}

package rollout

import (
	"math"
	"time"
)

const (
	// rampAfter is the part of an order's time after which the first share grows: a version
	// may turn bad some seconds after its start, and what turns bad before costs little.
	// More is left for what delays, as an unreachable store.
	rampAfter = 0.55
	// firstPart and middlePart are the parts of the exposure that a bad version may have
	// which the first and the middle stage use up. Weighed: with a quarter for each, a version that
	// turns bad in the last stage got more than it may where the order gives 12 s.
	firstPart  = 0.1
	middlePart = 0.1
	// mostPart bounds the first share where the rate of the service is small and more is
	// needed for a proof in time.
	mostPart = 0.4
	// wantedSends is how many sends should reach the canary in the first stage: 29 good
	// answers prove it, some may be bad.
	wantedSends = 45
	// leastShare bounds the first share from below, mostShare all before the last from
	// above: targets of the baseline stay warm.
	leastShare = 0.01
	mostShare  = 0.5
	// leastStage is how long the middle stage lasts at least, and stagePart its part of the
	// order's time: until slow answers of its first sends are known and reported.
	leastStage = 700 * time.Millisecond
	stagePart  = 0.05
	// lastStage is how long the last stage usually takes: all gateways have learnt of it, what
	// was under way at the baseline has ended, and both are reported.
	lastStage = 600 * time.Millisecond
	// longestDrain is how long the last stage waits for gateways that don't report and sends
	// that don't end, where nobody says how long these may take.
	longestDrain = 30 * time.Second
	// noticeTime is how long after a version turns bad the last request is sent to it: an
	// answer, a report, a write to the store, its update. stopTime is the part of it in which
	// requests are sent that are not counted yet: half the time between two reports, the
	// write, its update.
	noticeTime = 450 * time.Millisecond
	stopTime   = 250 * time.Millisecond
	// exposedPart is the part of what a bad version may get at which it is stopped by the
	// count so far: more arrives by chance.
	exposedPart = 0.9
	// leastMargin is how long before the deadline a rollout has ended, and marginPart its
	// part of the order's time: a call to the store may have to be repeated.
	leastMargin = 1500 * time.Millisecond
	marginPart  = 0.1
	// warmPart is which part of the targets of a stage must be warm: others may have crashed
	// and come back.
	warmPart = 0.9
)

// latestEnd is the age at which a rollout must have ended.
func latestEnd(within time.Duration) time.Duration {
	return within - max(leastMargin, part(within, marginPart))
}

// part is a share of a time.
func part(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}

// middleStage is how long the middle stage lasts.
func middleStage(within time.Duration) time.Duration { return max(leastStage, part(within, stagePart)) }

// firstShare is the share of the first stage, in thousandths.
func (s State) firstShare() int {
	until := part(s.Order.Within, rampAfter).Seconds()
	share := firstPart * s.budget() / until
	if rate := s.Evidence.rate(); rate > 0 {
		share = max(share, wantedSends/(rate*until))
	}
	share = min(share, mostPart*s.budget()/until)
	return permille(share)
}

// middleShare is the share of the middle stage, in thousandths.
func (s State) middleShare() int {
	lasts := middleStage(s.Order.Within) + noticeTime
	return permille(middlePart * s.budget() / lasts.Seconds())
}

// permille rounds a share before the last stage to thousandths, within its bounds.
func permille(share float64) int {
	return int(math.Round(Whole * min(max(share, leastShare), mostShare)))
}

// budget is for how many seconds a bad version may take all requests.
func (s State) budget() float64 {
	seconds := s.Limits.Share * s.Order.Within.Seconds()
	if rate := s.Evidence.rate(); rate > 0 {
		seconds += float64(s.Limits.Slack) / rate
	}
	return seconds
}

// isExposed says whether the version, even if it were stopped now, would have got about as
// much as a bad one may (exposedPart of it): it must be proved now, or stopped.
func (s State) isExposed() bool {
	total, rate := s.Evidence.Total(), s.Evidence.rate()
	left := max(s.Order.Within-s.Age, 0).Seconds()
	may := s.Limits.Share*(float64(total.sends())+rate*left) + float64(s.Limits.Slack)
	share := float64(s.Order.Permille) / Whole
	gets := float64(total.Canary.Sends) + float64(s.Evidence.CanaryActive) + share*rate*stopTime.Seconds()
	return gets >= exposedPart*may
}

// nextShare is the share that may follow by the time that has passed, in thousandths; that
// of now if none may yet.
func (s State) nextShare() int {
	now, within := s.Order.Permille, s.Order.Within
	ramp, stage := part(within, rampAfter), middleStage(within)
	if s.Age < ramp {
		return s.resized(ramp)
	}
	if s.StageAge < stage {
		return now
	}
	next := s.middleShare()
	if next < 2*now || s.Age+stage > latestEnd(within)-lastStage {
		next = Whole
	}
	if float64(s.Warm) < warmPart*float64(chosen(next, s.Canary)) {
		return now
	}
	return next
}

// resized is the first share worked out anew: the rate of the service may not have been
// known when it was recorded. It stays as it is where too little time is left to gain from
// another, or where that is less than half as much again.
func (s State) resized(ramp time.Duration) int {
	share := s.firstShare()
	if s.Age > ramp/2 || 2*share < 3*s.Order.Permille {
		return s.Order.Permille
	}
	return share
}

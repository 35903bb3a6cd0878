package quota

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// minRate replaces any smaller advertised limit. A target must still receive an occasional
	// request, or nobody would learn that it accepts more.
	minRate = 0.2
	// maxRate is the largest limit, in requests per second, that is enforced. No gateway sends
	// that many to one target, so a higher limit counts as none.
	maxRate = 100_000
	// asksPerRequest and minAskRate determine how many credit requests per second a home
	// accepts for a target: a number for each request per second of the limit, and a minimum.
	// That is enough for all of the target's credit to be used. Each credit request follows a
	// probe, which takes processing time from the target.
	asksPerRequest = 4.0
	minAskRate     = 8.0
	// maxTargetPause bounds how long a gateway skips a target without probing it. The gateway
	// learns from others when the limit is lifted, unless that update is lost.
	maxTargetPause = 30 * time.Second
	// maxReplyDelay is the longest time that an answer is assumed to have been in transit when
	// a gateway receives it.
	maxReplyDelay = 100 * time.Millisecond
	// The token bucket of a target holds targetBurst requests plus what is earned in
	// targetBurstSeconds without credit requests.
	targetBurst        = 1.0
	targetBurstSeconds = 0.25
)

// ErrAdvertised is returned for header values that are not a valid limit.
var ErrAdvertised = errors.New("limit must be one non-negative decimal number of requests per second")

// Advertised is the limit that a target advertises in one answer.
type Advertised struct {
	// Rate is how many requests per second the target accepts from all gateways together; 0 for
	// no limit.
	Rate float64
}

// ParseAdvertised parses the values of the header in which a target advertises its limit. No
// values mean no limit; of several values the smallest applies. It fails with ErrAdvertised.
func ParseAdvertised(values []string) (Advertised, error) {
	smallest := math.Inf(1)
	for _, value := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
			return Advertised{}, ErrAdvertised
		}
		smallest = min(smallest, rate)
	}
	if smallest > maxRate {
		return Advertised{}, nil
	}
	return Advertised{Rate: max(smallest, minRate)}, nil
}

// Limit returns the limit to enforce for the target.
func (a Advertised) Limit() Limit {
	if a.Rate == 0 {
		return Limit{}
	}
	return Limit{Rate: a.Rate, Burst: targetBurst + targetBurstSeconds*a.Rate}
}

func targetAskBounds(rate float64) askBounds {
	return askBounds{rate: max(asksPerRequest*rate, minAskRate), maxPause: maxTargetPause}
}

// Source is how a gateway learned of a target's limit.
type Source int

const (
	// SourceAnswer is the target's answer to a request.
	SourceAnswer Source = iota
	// SourceProbe is the target's answer to a health probe.
	SourceProbe
	// SourceHome is a reply of the quota home, to which other gateways reported the limit.
	SourceHome
	// SourceGateway is an update from another gateway.
	SourceGateway
	// SourceExpiry means that the target was not in use for so long that its limit expired.
	SourceExpiry
)

// String returns the name used in log lines.
func (s Source) String() string { return [...]string{"answer", "probe", "home", "gateway", "lapse"}[s] }

// KnownLimit is what a gateway knows of the limit of one target. The zero value is that of a
// target of which nothing is known. It is not safe for concurrent use.
type KnownLimit struct {
	advertised Advertised
	at         time.Time
	// toggledAt is when the target last went from no limit to a limit or back.
	toggledAt time.Time
	// reportedByProbes is set once an answer to a probe carried a limit, so that one without a
	// limit means that there is none.
	reportedByProbes bool
}

// Advertised returns the known limit.
func (k *KnownLimit) Advertised() Advertised { return k.advertised }

// Age returns the time since the limit was advertised.
func (k *KnownLimit) Age(now time.Time) time.Duration { return now.Sub(k.at) }

// Observe records what was advertised at a given time, unless more recent information is known.
// It reports whether the limit changed.
func (k *KnownLimit) Observe(at time.Time, advertised Advertised, source Source) (changed bool) {
	if k.isStale(at, advertised, source) {
		return false
	}
	if k.toggles(advertised) {
		k.toggledAt = at
	}
	k.reportedByProbes = k.reportedByProbes || source == SourceProbe && advertised.Rate > 0
	changed = advertised != k.advertised
	k.advertised = advertised
	if at.After(k.at) {
		k.at = at
	}
	return changed
}

// toggles reports whether advertised introduces a limit where there was none, or lifts the
// known one.
func (k *KnownLimit) toggles(advertised Advertised) bool {
	return (advertised.Rate > 0) != (k.advertised.Rate > 0)
}

// isStale reports whether an advertised limit must be ignored. Answers are in transit for a
// while: one that was produced before the target first advertised a limit, or lifted it, may
// arrive after the update about that change, or shortly before it.
func (k *KnownLimit) isStale(at time.Time, advertised Advertised, source Source) bool {
	switch {
	case k.toggles(advertised) && at.Sub(k.toggledAt) < maxReplyDelay:
		return true
	case advertised.Rate > 0:
		return at.Before(k.at)
	case source == SourceProbe && !k.reportedByProbes:
		return true // probes of this target don't carry limits
	default:
		return at.Add(maxReplyDelay).Before(k.at)
	}
}

package quota

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// minRate represents a smaller limit that a target names: somebody must still meet it
	// now and then, to learn that it takes more.
	minRate = 0.2
	// maxRate is a limit, in requests a second, beyond which none is held: no gateway sends
	// one target as many.
	maxRate = 100_000
	// asksPerRequest and leastAsks are how many questions a second a home wants for a target,
	// for each request a second that it takes and at least: enough that none of its credit is
	// left over. Each comes behind a probe, which takes time from the target's work.
	asksPerRequest = 4.0
	minAskRate     = 8.0
	// maxTargetPause bounds for how long a gateway passes a target over without a probe. It
	// learns of others that there is no limit any more, unless an update is lost.
	maxTargetPause = 30 * time.Second
	// maxReplyDelay is for how long an answer may have been on its way that a gateway gets.
	maxReplyDelay = 100 * time.Millisecond
	// targetBurst and targetBurstSeconds are what the bucket of a target holds: a request, and
	// what is earned in so long while nobody asks.
	targetBurst        = 1.0
	targetBurstSeconds = 0.25
)

// ErrAdvertised says that what should name a target's limit does not.
var ErrAdvertised = errors.New("a limit is one decimal number of requests a second, not below 0")

// Advertised is what one answer of a target says of the limit that it names.
type Advertised struct {
	// Rate is how many requests a second it takes from all gateways together; 0 for any
	// number.
	Rate float64
}

// ParseAdvertised reads the values of the header by which a target names its limit; none means that
// it names no limit, and of several the smallest holds. It fails with ErrAdvertised.
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

// Limit is the limit that holds for the target.
func (a Advertised) Limit() Limit {
	if a.Rate == 0 {
		return Limit{}
	}
	return Limit{Rate: a.Rate, Burst: targetBurst + targetBurstSeconds*a.Rate}
}

func targetAsking(rate float64) askBounds {
	return askBounds{rate: max(asksPerRequest*rate, minAskRate), maxPause: maxTargetPause}
}

// Source is the kind of answer by which a target reports its limit.
type Source int

// The kinds of answers.
const (
	// SourceAnswer is the answer to a request.
	SourceAnswer Source = iota
	// SourceProbe is the answer to a health probe.
	SourceProbe
	// SourceHome is an answer of the home, which other gateways reported it to.
	SourceHome
	// SourceGateway is an update from another gateway.
	SourceGateway
	// SourceExpiry is no update: the target was not met for long.
	SourceExpiry
)

// String is how log lines name it.
func (s Source) String() string { return [...]string{"answer", "probe", "home", "gateway", "lapse"}[s] }

// KnownLimit is the limit that one target names, as a gateway knows it. The zero KnownLimit is that of
// a target of which nothing was learnt. It is not safe for concurrent use.
type KnownLimit struct {
	advertised Advertised
	at         time.Time
	// toggledAt is when a limit was first named, or lifted, last.
	toggledAt time.Time
	// reportedByProbes says that its answers to probes name limits, so that one without any says
	// that there is none.
	reportedByProbes bool
}

// Advertised is the limit.
func (k *KnownLimit) Advertised() Advertised { return k.advertised }

// Age is how long ago the limit was advertised.
func (k *KnownLimit) Age(now time.Time) time.Duration { return now.Sub(k.at) }

// Observe takes in what was advertised at a moment, unless what is known is younger. It says whether
// the limit is another one now.
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

// toggles says whether a limit is named where there was none, or none any more.
func (k *KnownLimit) toggles(advertised Advertised) bool {
	return (advertised.Rate > 0) != (k.advertised.Rate > 0)
}

// isStale says whether what was advertised changes nothing of what is known. Answers take their
// time: one that was made before a target first named a limit, or lifted it, may come after
// the update on that, or just before.
func (k *KnownLimit) isStale(at time.Time, advertised Advertised, source Source) bool {
	switch {
	case k.toggles(advertised) && at.Sub(k.toggledAt) < maxReplyDelay:
		return true
	case advertised.Rate > 0:
		return at.Before(k.at)
	case source == SourceProbe && !k.reportedByProbes:
		return true // they never reported limits
	default:
		return at.Add(maxReplyDelay).Before(k.at)
	}
}

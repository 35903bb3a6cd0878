package quota

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// leastRate represents a smaller limit that a target names: somebody must still meet it
	// now and then, to learn that it takes more.
	leastRate = 0.2
	// mostRate is a limit, in requests a second, beyond which none is held: no gateway sends
	// one target as many.
	mostRate = 100_000
	// asksPerRequest and leastAsks are how many questions a second a home wants for a target,
	// for each request a second that it takes and at least: enough that none of its credit is
	// left over. Each comes behind a probe, which takes time from the target's work.
	asksPerRequest = 4.0
	leastAsks      = 8.0
	// maxTargetPause bounds for how long a gateway passes a target over without a probe. It
	// learns of others that there is no limit any more, unless an update is lost.
	maxTargetPause = 30 * time.Second
	// onTheWay is for how long an answer may have been on its way that a gateway gets.
	onTheWay = 100 * time.Millisecond
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
	if smallest > mostRate {
		return Advertised{}, nil
	}
	return Advertised{Rate: max(smallest, leastRate)}, nil
}

// Limit is the limit that holds for the target.
func (t Advertised) Limit() Limit {
	if t.Rate == 0 {
		return Limit{}
	}
	return Limit{Rate: t.Rate, Burst: targetBurst + targetBurstSeconds*t.Rate}
}

func targetAsking(rate float64) asking {
	return asking{rate: max(asksPerRequest*rate, leastAsks), maxPause: maxTargetPause}
}

// Via is the kind of answer by which a target reports its limit.
type Via int

// The kinds of answers.
const (
	// ViaAnswer is the answer to a request.
	ViaAnswer Via = iota
	// ViaProbe is the answer to a health probe.
	ViaProbe
	// ViaHome is an answer of the home, which other gateways reported it to.
	ViaHome
	// ViaGateway is an update from another gateway.
	ViaGateway
	// ViaLapse is no update: the target was not met for long.
	ViaLapse
)

// String is how log lines name it.
func (v Via) String() string { return [...]string{"answer", "probe", "home", "gateway", "lapse"}[v] }

// Named is the limit that one target names, as a gateway knows it. The zero Named is that of
// a target of which nothing was learnt. It is not safe for concurrent use.
type Named struct {
	advertised Advertised
	at         time.Time
	// turned is when a limit was first named, or lifted, last.
	turned time.Time
	// inProbes says that its answers to probes name limits, so that one without any says
	// that there is none.
	inProbes bool
}

// Advertised is the limit.
func (n *Named) Advertised() Advertised { return n.advertised }

// Age is how long ago the limit was advertised.
func (n *Named) Age(now time.Time) time.Duration { return now.Sub(n.at) }

// Note takes in what was advertised at a moment, unless what is known is younger. It says whether
// the limit is another one now.
func (n *Named) Note(at time.Time, advertised Advertised, via Via) (changed bool) {
	if n.ignores(at, advertised, via) {
		return false
	}
	if n.turns(advertised) {
		n.turned = at
	}
	n.inProbes = n.inProbes || via == ViaProbe && advertised.Rate > 0
	changed = advertised != n.advertised
	n.advertised = advertised
	if at.After(n.at) {
		n.at = at
	}
	return changed
}

// turns says whether a limit is named where there was none, or none any more.
func (n *Named) turns(advertised Advertised) bool {
	return (advertised.Rate > 0) != (n.advertised.Rate > 0)
}

// ignores says whether what was advertised changes nothing of what is known. Answers take their
// time: one that was made before a target first named a limit, or lifted it, may come after
// the update on that, or just before.
func (n *Named) ignores(at time.Time, advertised Advertised, via Via) bool {
	switch {
	case n.turns(advertised) && at.Sub(n.turned) < onTheWay:
		return true
	case advertised.Rate > 0:
		return at.Before(n.at)
	case via == ViaProbe && !n.inProbes:
		return true // they never reported limits
	default:
		return at.Add(onTheWay).Before(n.at)
	}
}

package estimate

import "github.com/sprucecrank/sprucecrank/core/gateway/load"

const (
	// levelCount is the number of levels of fullness. Targets with up to 12 slots, whose
	// number divides 12, have one level for each slot; with more slots, several share a
	// level.
	levelCount = 12
	// costSamples is the number of answers that a cost is averaged over, and
	// costPriorWeight the weight, in answers, of the initial assumption that a level
	// costs nothing. Single answers vary by a third, so that 24 of them determine a cost
	// to within some hundredths.
	costSamples     = 24
	costPriorWeight = 1
	// maxCostGrowth bounds the ratio that one answer counts with, as a multiple of the
	// current cost: a target that hangs says nothing about its level.
	maxCostGrowth = 3
	// maxCost bounds the cost of a level, far above the measured cost of last slots and
	// full targets (docs/DESIGN.md, "Which target").
	maxCost = 8
	// noCost is the cost of a level that slows nothing down, and negligibleCost the
	// greatest cost that is treated as none: the mean of a few answers varies by that
	// much.
	noCost         = 1
	negligibleCost = 1.35
	// initialLastSlotCost is the assumed cost of the last slot before any request used
	// one. 1.25 gave worse results (docs/DESIGN.md, "Which target").
	initialLastSlotCost = 1.15
	// initialColdCost is the factor by which requests are assumed to take longer at a cold
	// target before any was answered by one. The users' cold targets take twice as long.
	initialColdCost = 2
	// minLimitGain is by which factor a target must do more work when it is limited to
	// fewer requests than its slots, for some slots to be left free. Below it, neither
	// choice is better.
	minLimitGain = 1.0
)

// cost estimates the factor by which requests that start at one level of fullness take
// longer.
type cost struct {
	factor  float64
	samples int
}

// update moves the factor one step towards the ratio of a request's time to the usual
// time.
func (c *cost) update(ratio float64) {
	c.samples++
	ratio = min(ratio, maxCostGrowth*c.factor, maxCost)
	c.factor += (ratio - c.factor) / float64(min(c.samples+costPriorWeight, costSamples))
}

// levels holds the costs of a service's targets by how full they are, including the
// request itself.
type levels [levelCount]cost

func newLevels() levels {
	var l levels
	for i := range l {
		l[i].factor = noCost
	}
	return l
}

// levelOf returns the level of a target with the given number of active requests and
// slots.
func levelOf(active, slots int) int {
	active = min(max(active, 1), slots)
	return (active*levelCount+slots-1)/slots - 1
}

// update records the ratio of a request's time to the usual time, for a request that
// started at a target with the given load.
func (l *levels) update(r load.Report, ratio float64) {
	l[levelOf(r.Running()+1, r.Slots())].update(ratio)
}

// factor returns how much longer a request would take at a target with the given load. An
// idle target has no cost, whatever its number of slots.
func (l *levels) factor(r load.Report) float64 {
	if r.Running()+r.Waiting() == 0 {
		return noCost
	}
	return l.cost(levelOf(r.Running()+r.Waiting()+1, r.Slots()))
}

// cost returns the estimated cost of a level. Fuller targets are not faster, so that a
// level costs no more than any fuller one with samples. A level without samples costs as
// much as the nearest level below it.
func (l *levels) cost(level int) float64 {
	nearest := level
	for nearest >= 0 && l[nearest].samples == 0 {
		nearest--
	}
	if nearest < 0 {
		return initialCost(level)
	}
	least := l[nearest].factor
	for _, fuller := range l[nearest+1:] {
		if fuller.samples > 0 {
			least = min(least, fuller.factor)
		}
	}
	if least <= negligibleCost {
		return max(noCost, initialCost(level))
	}
	return least
}

// initialCost returns the assumed cost of a level without samples.
func initialCost(level int) float64 {
	if level == levelCount-1 {
		return initialLastSlotCost
	}
	return noCost
}

// limit returns the number of concurrent requests with which a target with the given
// number of slots does the most work a second: all of its slots, unless fewer gain
// noticeably. Of a level only the fullest target is considered, since it does the most
// work, so that the time does not grow with the slots.
func (l *levels) limit(slots int) int {
	bestLimit, bestRate := slots, minLimitGain*l.rate(slots, slots)
	for level := range levelCount {
		active := (level + 1) * slots / levelCount
		if active < 1 || active >= slots {
			continue
		}
		if rate := l.rate(active, slots); rate > bestRate {
			bestLimit, bestRate = active, rate
		}
	}
	return bestLimit
}

// rate returns the work a second that a target does with the given number of active
// requests, relative to that of a single request.
func (l *levels) rate(active, slots int) float64 {
	if active == 1 {
		return 1
	}
	return float64(active) / l.cost(levelOf(active, slots))
}

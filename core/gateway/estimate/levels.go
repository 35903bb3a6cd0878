package estimate

import "github.com/sprucecrank/sprucecrank/core/gateway/load"

const (
	// levelCount is how many levels of fullness are distinguished. Targets of up to 12
	// slots with a divisor of it have a level for each slot; with more slots some
	// share one.
	levelCount = 12
	// costMemory is how many answers a cost goes by, and costDoubt how many answers it
	// takes to outweigh the belief that a level costs nothing. Single answers
	// vary by a third, so that 24 of them give a cost to some hundredths.
	costMemory = 24
	costDoubt  = 1
	// longestPull bounds what one answer counts for, as a multiple of the cost
	// believed: a target that hangs says nothing of its level.
	longestPull = 3
	// maxCost bounds what is believed of a level, far above what last slots and full targets cost
	// (docs/DESIGN.md, "Which target").
	maxCost = 8
	// noCost is a level that costs nothing, and mattersFrom the greatest cost that is
	// taken for none: a few answers vary by that much.
	noCost      = 1
	mattersFrom = 1.35
	// firstLastCost is believed of the last slot before any request took one. 1.25 in
	// its place was measured and lost (docs/DESIGN.md, "Which target").
	firstLastCost = 1.15
	// firstColdCost is how much longer requests are believed to take at a cold target
	// before any was answered by one. The users' take twice as long.
	firstColdCost = 2
	// limitGain is by how much more work a target must do when it is held below all
	// of its slots, for some to be left free. Below it either is as good.
	limitGain = 1.0
)

// cost follows how much longer requests take that begin at one level of fullness.
type cost struct {
	factor float64
	seen   int
}

// learn moves the factor by one step towards what one request took over the usual
// time.
func (c *cost) learn(ratio float64) {
	c.seen++
	ratio = min(ratio, longestPull*c.factor, maxCost)
	c.factor += (ratio - c.factor) / float64(min(c.seen+costDoubt, costMemory))
}

// levels are the costs of a service's targets by how full they are, with the request
// itself counted in.
type levels [levelCount]cost

func newLevels() levels {
	var l levels
	for i := range l {
		l[i].factor = noCost
	}
	return l
}

// levelOf is the level at which a target with so many slots is with running requests.
func levelOf(running, slots int) int {
	running = min(max(running, 1), slots)
	return (running*levelCount+slots-1)/slots - 1
}

// learn takes in what a request took, over the usual time, that began at a target
// with a load.
func (l *levels) learn(r load.Report, ratio float64) {
	l[levelOf(r.Running()+1, r.Slots())].learn(ratio)
}

// factor is how much longer a request would take at a target with a load. An idle
// target costs nothing, whatever its slots.
func (l *levels) factor(r load.Report) float64 {
	if r.Running()+r.Waiting() == 0 {
		return noCost
	}
	return l.cost(levelOf(r.Running()+r.Waiting()+1, r.Slots()))
}

// cost is what is believed of a level. Fuller targets are not quicker: a level
// costs no more than any fuller one that is known. One that is not known costs as
// much as the one below it.
func (l *levels) cost(level int) float64 {
	known := level
	for known >= 0 && l[known].seen == 0 {
		known--
	}
	if known < 0 {
		return unknownCost(level)
	}
	least := l[known].factor
	for _, fuller := range l[known+1:] {
		if fuller.seen > 0 {
			least = min(least, fuller.factor)
		}
	}
	if least <= mattersFrom {
		return max(noCost, unknownCost(level))
	}
	return least
}

// unknownCost is what is believed of a level whose cost was never observed.
func unknownCost(level int) float64 {
	if level == levelCount-1 {
		return firstLastCost
	}
	return noCost
}

// limit is the number of requests with which a target with so many slots does most
// work a second: all of its slots, unless fewer gain noticeably.
func (l *levels) limit(slots int) int {
	best, most := slots, limitGain*l.rate(slots, slots)
	for running := 1; running < slots; running++ {
		if rate := l.rate(running, slots); rate > most {
			best, most = running, rate
		}
	}
	return best
}

// rate is the work a second that a target does with running requests, over that of
// one request alone.
func (l *levels) rate(running, slots int) float64 {
	if running == 1 {
		return 1
	}
	return float64(running) / l.cost(levelOf(running, slots))
}

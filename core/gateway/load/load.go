// Package load reads the load that a target reports of itself and predicts from
// it how long the target would take for one more request.
//
// It owns the meaning of a load report and the constants of the prediction. It
// relies on nothing else: it does no I/O and reads no clock. What a prediction
// is used for stands in core/gateway/placement.
//
// A report counts at the start of the work only. Of 2,918 sends while targets
// were mostly idle none that began on one of usual speed took more than 2.5 times the
// usual time, but for last slots (docs/DESIGN.md, "Which target").
//
// # Usage
//
//	report, err := load.Parse("1,0,3,100", now)
//	took := report.Predict(90*time.Millisecond, 1.15)
package load

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Report is a target's load as it reported it. The zero Report is that of a
// target without slots.
type Report struct {
	running  int
	waiting  int
	slots    int
	slowness float64
	at       time.Time
}

// New makes a report of running and waiting requests at a target with slots,
// taken at a moment. slowness is how long work takes over how long it usually
// does: 1 is the usual speed, 2 half of it.
func New(running, waiting, slots int, slowness float64, at time.Time) Report {
	return Report{running: running, waiting: waiting, slots: slots, slowness: slowness, at: at}
}

// Running is how many requests the target works on.
func (r Report) Running() int { return r.running }

// Waiting is how many requests wait at the target.
func (r Report) Waiting() int { return r.waiting }

// Slots is how many requests the target works on at once.
func (r Report) Slots() int { return r.slots }

// Slowness is how long work takes over how long it usually does.
func (r Report) Slowness() float64 { return r.slowness }

// At is when the report was received.
func (r Report) At() time.Time { return r.at }

// ErrReport says that the text is no load report.
var ErrReport = errors.New("a load is three or four whole numbers with commas between: running, waiting, slots, percent")

// Indexes of the numbers of a report on the wire, and how many there may be.
const (
	runningField = iota
	waitingField
	slotsField
	slownessField
	maxFields
)

const (
	// usualPercent is the last number of a target at its usual speed, and what
	// stands for that number where it is left out.
	usualPercent = 100
	// minSlowness keeps a target that reports 0 percent from being predicted to
	// take no time at all.
	minSlowness = 0.01
)

// Parse reads a report as it stands on the wire, received at a moment. It fails
// with ErrReport.
func Parse(text string, at time.Time) (Report, error) {
	fields := strings.Split(text, ",")
	if len(fields) <= slotsField || len(fields) > maxFields {
		return Report{}, ErrReport
	}
	var numbers [maxFields]int
	numbers[slownessField] = usualPercent
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return Report{}, ErrReport
		}
		numbers[i] = n
	}
	slowness := float64(numbers[slownessField]) / usualPercent
	return Report{
		running: numbers[runningField], waiting: numbers[waitingField], slots: max(numbers[slotsField], 1),
		slowness: math.Max(slowness, minSlowness), at: at,
	}, nil
}

// Free is how many more requests the target can begin at once.
func (r Report) Free() int { return max(r.slots-r.running-r.waiting, 0) }

// LastSlot says whether a request that is sent now would take the target's last
// slot, or wait. A target with one slot has no other.
func (r Report) LastSlot() bool { return r.slots > 1 && r.Free() <= 1 }

// fullnessWeight is by how much a full target's work is predicted to take longer
// than an empty one's, so that among equals the emptier is taken. It is small
// beside by how much the times of targets with free slots differ.
const fullnessWeight = 0.1

// Predict is the time until a request would end, were it sent now. usual is how
// long it takes on an idle target, and cost how much longer on one that is as full
// as this one would be: some targets slow down when they are nearly full.
func (r Report) Predict(usual time.Duration, cost float64) time.Duration {
	work := float64(usual) * r.slowness * cost
	if r.slots > 1 {
		work *= 1 + fullnessWeight*float64(r.running)/float64(r.slots)
	}
	if r.Free() > 0 {
		return time.Duration(work)
	}
	ahead := float64(r.waiting+1) / float64(r.slots)
	return time.Duration(work * (1 + ahead))
}

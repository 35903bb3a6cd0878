// Package load parses the load report of a target and predicts from it how long the
// target would take for one more request.
//
// It owns the meaning of a load report and the constants of the prediction. It has no
// dependencies: it does no I/O and reads no clock. core/gateway/placement decides by the
// predictions.
//
// The load of a target when a request starts determines how long the request takes, not
// what happens at the target later. Of 2,918 sends while targets were mostly idle, none
// that started on a target of usual speed took more than 2.5 times the usual time, except
// for sends to last slots (docs/DESIGN.md, "Which target").
//
// # Usage
//
//	report, err := load.Parse("1,0,3,100", now)
//	took := report.Predict(90*time.Millisecond, 1.15)
package load

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxCount is the highest number that a report may have in any of its fields. No target
// works on so many requests at once; a higher number is an error of the target.
const MaxCount = 1 << 20

// maxPredicted bounds the predicted time of a request.
const maxPredicted = 24 * time.Hour

// Report is the load that a target reported. The zero Report is that of a target without
// slots.
type Report struct {
	running    int
	waiting    int
	slots      int
	slowness   float64
	receivedAt time.Time
}

// New returns a report of running and waiting requests at a target with the given slots,
// received at the given time. slowness is the ratio of the current time of work to its
// usual time: 1 is the usual speed, 2 half of it. Slots beyond MaxCount count as MaxCount.
func New(running, waiting, slots int, slowness float64, receivedAt time.Time) Report {
	return Report{running: running, waiting: waiting, slots: min(slots, MaxCount), slowness: slowness, receivedAt: receivedAt}
}

// Running returns how many requests the target works on.
func (r Report) Running() int { return r.running }

// Waiting returns how many requests wait at the target.
func (r Report) Waiting() int { return r.waiting }

// Slots returns how many requests the target works on at once.
func (r Report) Slots() int { return r.slots }

// Slowness returns the ratio of the current time of work to its usual time.
func (r Report) Slowness() float64 { return r.slowness }

// At returns when the report was received.
func (r Report) At() time.Time { return r.receivedAt }

// ErrReport is returned for text that is not a load report.
var ErrReport = fmt.Errorf("a load report must have three or four comma-separated whole numbers of up to %d: running, waiting, slots, percent", MaxCount)

// Indexes of the numbers of a report on the wire, and the maximum count.
const (
	runningField = iota
	waitingField
	slotsField
	slownessField
	maxFields
)

const (
	// usualPercent is the last number of a report from a target at its usual speed, and
	// the default where that number is left out.
	usualPercent = 100
	// minSlowness keeps a target that reports 0 percent from being predicted to take no
	// time at all.
	minSlowness = 0.01
)

// Parse parses a report in wire format, received at the given time. It fails with
// ErrReport.
func Parse(text string, receivedAt time.Time) (Report, error) {
	fields := strings.Split(text, ",")
	if len(fields) <= slotsField || len(fields) > maxFields {
		return Report{}, ErrReport
	}
	var numbers [maxFields]int
	numbers[slownessField] = usualPercent
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 || n > MaxCount {
			return Report{}, ErrReport
		}
		numbers[i] = n
	}
	slowness := float64(numbers[slownessField]) / usualPercent
	return Report{
		running: numbers[runningField], waiting: numbers[waitingField], slots: max(numbers[slotsField], 1),
		slowness: math.Max(slowness, minSlowness), receivedAt: receivedAt,
	}, nil
}

// Free returns how many more requests the target can start at once.
func (r Report) Free() int { return max(r.slots-r.running-r.waiting, 0) }

// LastSlot reports whether a request sent now would use the target's last free slot, or
// wait. It is false for a target with one slot.
func (r Report) LastSlot() bool { return r.slots > 1 && r.Free() <= 1 }

// fullnessWeight is the share by which a full target's work is predicted to take longer than
// an empty one's, so that the emptier of equal targets is chosen. It is small compared
// with the differences in time between targets with free slots.
const fullnessWeight = 0.1

// Predict returns the time until a request would end if it were sent now. usual is how
// long it takes on an idle target, and cost how much longer on a target that is as full
// as this one would be: some targets slow down when they are nearly full.
func (r Report) Predict(usual time.Duration, cost float64) time.Duration {
	work := float64(usual) * r.slowness * cost
	if r.slots > 1 {
		work *= 1 + fullnessWeight*float64(r.running)/float64(r.slots)
	}
	if r.Free() == 0 {
		work *= 1 + float64(r.waiting+1)/float64(r.slots)
	}
	return time.Duration(min(work, float64(maxPredicted)))
}

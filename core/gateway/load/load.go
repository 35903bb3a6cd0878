// Package load predicts how long a target will take for a request, from a
// reading of its load, and picks the target that should take it. It does no
// I/O and reads no clock.
//
// # Usage
//
//	reading, err := choice.Parse("3,0,3,500", now)
//	took := reading.Predict(90 * time.Millisecond)
package load

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Report is a target's load as it told it itself.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes over how long it usually does.
	Slowness float64
	At       time.Time
}

// ErrReport says that a load header is not one.
var ErrReport = errors.New("a load is three or four whole numbers with commas between: running, waiting, slots, percent")

// Indexes of the figures of a load header, and how many there may be.
const (
	runningField = iota
	waitingField
	slotsField
	slownessField
	mostFields
)

// Parse reads a load header that was taken at a moment.
func Parse(text string, at time.Time) (Report, error) {
	fields := strings.Split(text, ",")
	if len(fields) <= slotsField || len(fields) > mostFields {
		return Report{}, ErrReport
	}
	var figures [mostFields]int
	figures[slownessField] = 100
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return Report{}, ErrReport
		}
		figures[i] = n
	}
	return Report{
		Running: figures[runningField], Waiting: figures[waitingField], Slots: max(figures[slotsField], 1),
		Slowness: math.Max(float64(figures[slownessField])/100, 0.01), At: at,
	}, nil
}

// Free is how many more requests the target can begin at once.
func (r Report) Free() int { return max(r.Slots-r.Running-r.Waiting, 0) }

// LastSlot says whether a request that is sent now would take the target's last
// slot, or wait. A target with one slot has no other.
func (r Report) LastSlot() bool { return r.Slots > 1 && r.Free() <= 1 }

// Predict is the time until a request would end, were it sent now. usual is how
// long it takes on an easy target, and crowding how much longer on the last
// slot of one: some targets slow down when they are nearly full.
func (r Report) Predict(usual time.Duration, crowding float64) time.Duration {
	work := float64(usual) * r.Slowness
	if r.Slots > 1 {
		// Of two easy targets the emptier one is better by a little.
		work *= 1 + emptier*float64(r.Running)/float64(r.Slots)
	}
	if !r.LastSlot() && r.Free() > 0 {
		return time.Duration(work)
	}
	work *= crowding
	if r.Free() > 0 {
		return time.Duration(work)
	}
	ahead := float64(r.Waiting+1) / float64(r.Slots)
	return time.Duration(work * (1 + ahead))
}

// emptier is what a full target's work counts for more than an empty one's, so
// that among equals the emptier is chosen.
const emptier = 0.1

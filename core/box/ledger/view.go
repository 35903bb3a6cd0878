package ledger

import "time"

// TargetView is the known state of a target, for status output and probing.
type TargetView struct {
	Address  string        `json:"address"`
	Hall     string        `json:"hall"`
	Slots    int           `json:"slots"`
	Limit    int           `json:"limit"`
	InFlight int           `json:"in_flight"`
	State    string        `json:"state"`
	Start    uint64        `json:"start"`
	Ratio    float64       `json:"ratio"`
	Idle     time.Duration `json:"-"`
	// BacksOff is whether a back-off that the target advertised is in effect, whether
	// the target is leaving or not.
	BacksOff bool `json:"-"`
}

// The states of a target. If several hold, the first of them is reported.
const (
	StateLeaving    = "leaving"
	StateBackingOff = "backing-off" // an advertised back-off is in effect
	StateEjected    = "ejected"
	StateSuspect    = "suspect"
	StateLive       = "live"
)

// View lists the targets in the order of the service definition.
func (l *Ledger) View(now time.Time) []TargetView {
	policy := l.healthPolicy(now)
	out := make([]TargetView, 0, len(l.order))
	for _, address := range l.order {
		t := l.targets[address]
		out = append(out, TargetView{
			Address: address, Hall: t.Hall, Slots: t.Slots,
			Limit: t.limit(now, policy), InFlight: len(t.grants),
			State: t.state(now), Start: t.start, Ratio: t.tracker.Ratio(),
			Idle: now.Sub(t.lastContact), BacksOff: t.tracker.BacksOff(now),
		})
	}
	return out
}

func (t *target) state(now time.Time) string {
	switch {
	case t.leaving:
		return StateLeaving
	case t.tracker.BacksOff(now):
		return StateBackingOff
	case t.tracker.Ejected(now):
		return StateEjected
	case t.tracker.Suspect(now), t.overdue(now):
		return StateSuspect
	default:
		return StateLive
	}
}

// LeavingTargets maps each leaving target to the start number that is leaving.
func (l *Ledger) LeavingTargets() map[string]uint64 {
	out := map[string]uint64{}
	for address, t := range l.targets {
		if t.leaving {
			out[address] = t.leavingStart
		}
	}
	return out
}

// LeavingStart returns the start number of a leaving target; ok is false if the
// target is not leaving.
func (l *Ledger) LeavingStart(address string) (start uint64, ok bool) {
	t, known := l.targets[address]
	if !known || !t.leaving {
		return 0, false
	}
	return t.leavingStart, true
}

// QueueLen is how many requests are queued.
func (l *Ledger) QueueLen() int { return l.queue.len() }

// InFlight is how many grants are outstanding.
func (l *Ledger) InFlight() int { return len(l.grants) }

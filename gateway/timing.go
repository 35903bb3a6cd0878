package gateway

import (
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// Shares of the time within which an update must be in force (inForceWithin)
// that the ways of hearing it may take, so that two that fail one after the other
// still fit: a question to another gateway (0.27 with its slack), then the own
// reading of a standby (0.5) or of any other, one after the other from 0.55 on and all
// by 0.8.
const (
	pollShare      = 0.15
	pollSlackShare = 0.12
	silentShare    = 0.5
	aloneShare     = 0.55
	lastShare      = 0.8
	// pingShare is the pause between two pings of the store: a tenth of a call
	// each, five a second at the users' setting (docs/DESIGN.md, "Costs").
	pingShare = 0.1
	// batchShare is the pause after an update in which more may gather, and
	// aloneBatchShare that pause where nobody has to learn of it.
	batchShare      = 0.15
	aloneBatchShare = 0.4
)

const (
	// watchShare is the share of the time for which a silent watch may be trusted
	// (watch_trust_s) that it waits. With one of 4.5 s two days broke the
	// rule on configurations (docs/INCIDENTS.md).
	watchShare = 0.8
	// restoreShare is the share of that time after an outage of the store by whose end
	// targets are read again, however late entries may come back: from its end on, what
	// the store says must be kept to. The rest is for the reading itself.
	restoreShare = 0.8
	// watchSlack is how much later than it waits the answer of a watch may come.
	// The store answers in milliseconds.
	watchSlack = 200 * time.Millisecond
)

// inForceWithin is the time within which whatever is read must be in force, in seconds:
// all is confirmed together, so that the shortest bound holds for all.
func inForceWithin(s Settings) float64 {
	if s.EvacuateWithin > 0 {
		return min(s.ApplyWithin, s.EvacuateWithin)
	}
	return s.ApplyWithin
}

// timing derives the times of the discovery from the settings.
func timing(s Settings) discovery.Timing {
	within := inForceWithin(s)
	return discovery.Timing{
		PollWait:       seconds(pollShare * within),
		PollSlack:      seconds(pollSlackShare * within),
		StaleAfter:     seconds(silentShare * within),
		MayReadAfter:   seconds(aloneShare * within),
		MustReadAfter:  seconds(lastShare * within),
		PingInterval:   seconds(pingShare * within),
		BatchDelay:     seconds(batchShare * within),
		SoloBatchDelay: seconds(aloneBatchShare * within),
		WatchWait:      seconds(watchShare*s.WatchTrust) - watchSlack,
		WatchSlack:     watchSlack,
		OutageAfter:    seconds(s.WatchTrust),
		RestoreWithin:  min(seconds(s.RestoreWithin), seconds(restoreShare*s.WatchTrust)),
	}
}

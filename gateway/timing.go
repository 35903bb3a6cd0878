package gateway

import (
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// Shares of the time within which an update must be in force (inForceWithin).
// They are chosen so that the update still arrives in time if two ways of
// receiving it fail one after the other: a poll of another gateway (0.27 with its slack)
// comes first, then a standby reads the store itself (at 0.5), then any other
// gateway does, one after the other from 0.55 on and all by 0.8.
const (
	pollShare           = 0.15
	pollSlackShare      = 0.12
	standbyReadShare    = 0.5
	otherReadsFromShare = 0.55
	otherReadsByShare   = 0.8
	// pingShare is the interval between two pings of the store. A ping costs a tenth of
	// a call; at the users' setting there are five a second (docs/DESIGN.md, "Costs").
	pingShare = 0.1
	// batchShare is the delay after an update during which further updates are
	// batched, and noPeersBatchShare is that delay where no peer waits for updates.
	batchShare        = 0.15
	noPeersBatchShare = 0.4
)

const (
	// watchShare is how long a watch waits for changes, as a share of the time for which
	// a watch without a response may be trusted (watch_trust_s). With a wait of 4.5 s, a
	// watch waited through a loss of the store's history, and the rule on configurations
	// was broken on two days (docs/INCIDENTS.md).
	watchShare = 0.8
	// restoreShare is the share of watch_trust_s after an outage of the store by whose end
	// targets are read again, however late entries may reappear: once watch_trust_s is
	// over, the gateway must follow the store. The rest is for the read itself.
	restoreShare = 0.8
	// watchSlack is how long after the end of its wait the response of a watch may arrive.
	// The store responds within milliseconds.
	watchSlack = 200 * time.Millisecond
)

// inForceWithin returns the time within which all data that is read must be in force, in
// seconds: all of it is confirmed together, so that the shortest bound applies to all.
func inForceWithin(s Settings) float64 {
	if s.EvacuateWithin > 0 {
		return min(s.ApplyWithin, s.EvacuateWithin)
	}
	return s.ApplyWithin
}

// timing derives the intervals and timeouts of the discovery from the settings.
func timing(s Settings) discovery.Timing {
	within := inForceWithin(s)
	return discovery.Timing{
		PollWait:       seconds(pollShare * within),
		PollSlack:      seconds(pollSlackShare * within),
		StaleAfter:     seconds(standbyReadShare * within),
		MayReadAfter:   seconds(otherReadsFromShare * within),
		MustReadAfter:  seconds(otherReadsByShare * within),
		PingInterval:   seconds(pingShare * within),
		BatchDelay:     seconds(batchShare * within),
		SoloBatchDelay: seconds(noPeersBatchShare * within),
		WatchWait:      seconds(watchShare*s.WatchTrust) - watchSlack,
		WatchSlack:     watchSlack,
		OutageAfter:    seconds(s.WatchTrust),
		RestoreWithin:  min(seconds(s.RestoreWithin), seconds(restoreShare*s.WatchTrust)),
	}
}

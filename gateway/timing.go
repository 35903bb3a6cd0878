package gateway

import (
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// Shares of the time within which an update must be in force (apply_within_s)
// that the ways of hearing it may take, so that two that fail one after the other
// still fit: a question to another gateway (0.27 with its slack), then the own
// reading of a standby (0.5) or of any other, one after the other from 0.55 on and all
// by 0.8. Chosen on paper.
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
	// aloneBatchShare that pause where nobody has to hear of it.
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
	// the store says must be kept to. Chosen: the rest is for the reading itself.
	restoreShare = 0.8
	// watchSlack is how much later than it waits the answer of a watch may come.
	// Chosen: the store answers in milliseconds.
	watchSlack = 200 * time.Millisecond
)

// timing derives the times of the discovery from the settings.
func timing(s Settings) discovery.Timing {
	return discovery.Timing{
		Poll:        seconds(pollShare * s.ApplyWithin),
		PollSlack:   seconds(pollSlackShare * s.ApplyWithin),
		SilentAfter: seconds(silentShare * s.ApplyWithin),
		AloneAfter:  seconds(aloneShare * s.ApplyWithin),
		LastAfter:   seconds(lastShare * s.ApplyWithin),
		Ping:        seconds(pingShare * s.ApplyWithin),
		Batch:       seconds(batchShare * s.ApplyWithin),
		AloneBatch:  seconds(aloneBatchShare * s.ApplyWithin),
		Watch:       seconds(watchShare*s.WatchTrust) - watchSlack,
		WatchSlack:  watchSlack,
		OutageAfter: seconds(s.WatchTrust),
		Restore:     min(seconds(s.RestoreWithin), seconds(restoreShare*s.WatchTrust)),
	}
}

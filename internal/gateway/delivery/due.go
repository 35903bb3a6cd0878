package delivery

import (
	"reflect"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
)

const (
	// reportInterval is the shortest time between two reports of a gateway on a rollout. It
	// is a small part of the seconds within which a bad version must be stopped.
	reportInterval = 250 * time.Millisecond
	// maxReportsPerSecond bounds the reports that the decider receives: in a large fleet,
	// the interval exceeds reportInterval. Each report costs the decider some tens of
	// microseconds.
	maxReportsPerSecond = 800
	// urgentSpeedup divides the interval for a report of a bad response, or of a new stage.
	urgentSpeedup = 5
	// keepaliveInterval is how often a gateway reports without anything new, so that it
	// counts as running, and learns whether the decider is.
	keepaliveInterval = time.Second
	// maxMissedReports is how many reports of a gateway may be missing before it no longer
	// counts as running.
	maxMissedReports = 3
)

// intervalFor returns the shortest time between two reports of a gateway. It depends on the
// number of gateways that report. The decider sends the interval to the others, since these
// know the size of a large fleet only roughly.
func intervalFor(reporting int) time.Duration {
	return max(reportInterval, time.Duration(reporting)*time.Second/maxReportsPerSecond)
}

// reachableWindow returns how long a gateway counts as running after its latest report. It
// depends on the number of gateways that report.
func reachableWindow(reporting int) time.Duration {
	return maxMissedReports * max(keepaliveInterval, intervalFor(reporting))
}

// sent is the latest report on a rollout.
type sent struct {
	to     decider
	at     time.Time
	report rollout.Report
}

// isDue reports whether a report must be sent to a gateway now.
func (s sent) isDue(now time.Time, to decider, r rollout.Report, interval time.Duration) bool {
	since := now.Sub(s.at)
	switch {
	case s.to != to || s.report.Version != r.Version:
		return true
	case s.isUrgent(r):
		return since >= interval/urgentSpeedup
	case !reflect.DeepEqual(s.report, r):
		return since >= interval
	default:
		return since >= max(keepaliveInterval, interval)
	}
}

// isUrgent reports whether a report contains something that the decider waits for: a bad
// response, a stage, or that no send to the baseline is in flight any more.
func (s sent) isUrgent(r rollout.Report) bool {
	emptied := r.BaselineActive == 0 && s.report.BaselineActive > 0 && r.Permille == rollout.FullShare
	return emptied || s.report.Permille != r.Permille || badResponses(r) > badResponses(s.report)
}

// badResponses counts the bad responses of the version on trial.
func badResponses(r rollout.Report) (sum uint64) {
	for _, c := range r.Counts {
		if c.Canary {
			sum += c.Counts.Failed + c.Counts.Slow
		}
	}
	return sum
}

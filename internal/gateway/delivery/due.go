package delivery

import (
	"reflect"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
)

const (
	// reportEvery is the least time between two reports of a gateway on a rollout.
	// A small part of the seconds within which a bad version must be stopped.
	reportEvery = 250 * time.Millisecond
	// reportsASecond bounds what the gateway that decides is sent: where the fleet is
	// large, reportEvery grows. Each costs it some tens of microseconds.
	reportsASecond = 800
	// urgentPart is how many times sooner a report of a bad answer, or of a stage, is sent.
	urgentPart = 5
	// aliveEvery is how often a gateway reports though there is nothing new: so that it
	// counts as being there, and learns whether the one that decides is.
	aliveEvery = time.Second
	// silentReports is how many reports of a gateway may be missing before it no longer
	// counts as being there.
	silentReports = 3
)

// interval is the least time between two reports of a gateway, by how many gateways report.
// The one that decides says it: others know the size of a large fleet only roughly.
func interval(reporting int) time.Duration {
	return max(reportEvery, time.Duration(reporting)*time.Second/reportsASecond)
}

// inTouchFor is how long after its latest report a gateway counts as being there, by how
// many gateways report.
func inTouchFor(reporting int) time.Duration {
	return silentReports * max(aliveEvery, interval(reporting))
}

// sent is what was last reported of a rollout.
type sent struct {
	to     decider
	at     time.Time
	report rollout.Report
}

// isDue says whether a report is to be sent to a gateway now.
func (s sent) isDue(now time.Time, to decider, r rollout.Report, interval time.Duration) bool {
	since := now.Sub(s.at)
	switch {
	case s.to != to || s.report.Version != r.Version:
		return true
	case s.isUrgent(r):
		return since >= interval/urgentPart
	case !reflect.DeepEqual(s.report, r):
		return since >= interval
	default:
		return since >= max(aliveEvery, interval)
	}
}

// isUrgent says whether a report says something that is waited for: a bad answer, a stage,
// or that nothing is under way to the baseline any more.
func (s sent) isUrgent(r rollout.Report) bool {
	emptied := r.BaselineActive == 0 && s.report.BaselineActive > 0 && r.Permille == rollout.FullShare
	return emptied || s.report.Permille != r.Permille || bad(r) > bad(s.report)
}

// bad counts the bad answers of the version on trial.
func bad(r rollout.Report) (sum uint64) {
	for _, c := range r.Counts {
		if c.Canary {
			sum += c.Counts.Failed + c.Counts.Slow
		}
	}
	return sum
}

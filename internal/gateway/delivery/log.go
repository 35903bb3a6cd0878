package delivery

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// logDeleted logs that a rollout no longer exists, because its order was deleted.
func (d *Delivery) logDeleted(c *trackedRollout) {
	d.options.Log.Info("rollout gone", "service", c.order.Service, "version", c.order.Version, "state", c.order.State.String())
}

// logWrite logs how the write of a rollout's state ended, and the evidence for the decision
// that it records.
func (d *Delivery) logWrite(w write, record discovery.RecordResult, err error) {
	r := w.rollout
	common := []any{"service", r.Service, "version", r.Version, "state", r.State.String(), "permille", r.Permille, "age_s", r.Elapsed.Seconds()}
	switch {
	case record.Outcome != discovery.RecordDone:
		// The write may still be done, in which case the evidence must be in the log.
		end := append(common, "end", endName(record.Outcome), "revision", r.Revision, "error", errorText(err))
		d.options.Log.Info("rollout not recorded", append(end, evidenceAttrs(w.decision)...)...)
	case w.isTakeover():
		d.options.Log.Info("rollout taken over", append(common, "from", w.before.Decider)...)
	default:
		d.options.Log.Info("rollout recorded", append(common, evidenceAttrs(w.decision)...)...)
	}
}

// evidenceAttrs returns the log attributes of the evidence for a decision.
func evidenceAttrs(d rollout.Decision) []any {
	return []any{
		"reason", d.Reason.String(), "route", d.Route, "statistic", d.Statistic, "threshold", d.Threshold,
		"canary", counts(d.Pair.Canary), "baseline", counts(d.Pair.Baseline),
	}
}

// counted are counts as they appear in a log line.
type counted struct {
	Sends  uint64 `json:"sends"`
	Failed uint64 `json:"failed"`
	Slow   uint64 `json:"slow"`
}

func counts(c rollout.Counts) counted {
	return counted{Sends: c.Sends, Failed: c.Failed, Slow: c.Slow}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

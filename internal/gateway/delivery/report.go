package delivery

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/internal/gateway/rpclink"
)

// Directions of reports and their results, as metrics name them.
const (
	directionSent     = "sent"
	directionReceived = "received"
	resultAnswered    = "answered"
	resultFailed      = "failed"
)

// reporter is the state of the reporting loop.
type reporter struct {
	sent map[string]sent // by service
	// interval is the shortest time between two reports, as received from the decider.
	interval time.Duration
	// address is that of the gateway that last did not answer, failed counts its failures
	// in a row, and retryAt is when it is tried again.
	address string
	failed  int
	retryAt time.Time
}

// decider is the gateway that a rollout names to decide on it.
type decider struct{ id, address string }

// report is the loop that reports to the deciders.
func (d *Delivery) report(ctx context.Context) error {
	defer d.peer.Close()
	r := &reporter{sent: map[string]sent{}}
	for {
		changed := d.options.Changed()
		running := d.running()
		if len(running) == 0 {
			d.peer.Close()
			clear(r.sent)
		}
		for to, reports := range d.due(r, running) {
			d.sendReports(ctx, r, to, reports)
		}
		if !d.wait(ctx, len(running) > 0, changed) {
			return nil
		}
	}
}

// running lists the rollouts for which reports are expected.
func (d *Delivery) running() []catalog.Rollout {
	var out []catalog.Rollout
	for _, r := range d.options.Rollouts() {
		if r.State == catalog.RolloutRunning && r.Peer != "" {
			out = append(out, r)
		}
	}
	return out
}

// due returns the reports that must be sent now, by the gateway that receives them, and
// marks them as sent.
func (d *Delivery) due(r *reporter, running []catalog.Rollout) map[decider][]rollout.Report {
	now := d.options.Clock()
	interval := max(r.interval, reportInterval)
	deciders := map[string]decider{}
	for _, o := range running {
		deciders[o.Service] = decider{id: o.Decider, address: o.Peer}
	}
	out := map[decider][]rollout.Report{}
	for _, report := range d.options.Reports(running) {
		to, last := deciders[report.Service], r.sent[report.Service]
		if r.isBackingOff(now, to.address) || !last.isDue(now, to, report, interval) {
			continue
		}
		r.sent[report.Service] = sent{to: to, at: now, report: report}
		report.Gateway, report.Start = d.options.Self.ID, d.options.Self.Start
		out[to] = append(out[to], report)
	}
	return out
}

// isBackingOff reports whether an address did not answer and is not tried again yet.
func (r *reporter) isBackingOff(now time.Time, address string) bool {
	return r.address == address && now.Before(r.retryAt)
}

// sendReports sends reports and records whether the gateway that receives them decides.
func (d *Delivery) sendReports(ctx context.Context, r *reporter, to decider, reports []rollout.Report) {
	reply, err := d.callDecider(ctx, to, ReportArgs{Decider: to.id, Reports: reports})
	now := d.options.Clock()
	if err != nil {
		r.recordFailure(now, to.address, reports)
		d.options.Metrics.RolloutReport(directionSent, resultFailed)
		d.recordReply(to, reports, statusOf(err))
		d.options.Log.Info("rollout not reported", "peer", to.id, "address", to.address, "failed", r.failed, "error", err.Error())
		return
	}
	r.failed, r.interval = 0, reply.Every
	d.options.Metrics.RolloutReport(directionSent, resultAnswered)
	if reply.Decides {
		d.recordReply(to, reports, deciding)
	} else {
		d.recordReply(to, reports, notDeciding)
	}
}

// callDecider sends reports; those to this gateway itself are handled without a connection.
func (d *Delivery) callDecider(ctx context.Context, to decider, args ReportArgs) (ReportReply, error) {
	if to.address == d.options.Self.Peer {
		return d.handleReports(args), nil
	}
	return rpclink.Call[ReportReply](ctx, d.peer, to.address, methodReport, args)
}

// recordFailure records that an address did not answer: the delay grows with each failure,
// and the reports are sent again.
func (r *reporter) recordFailure(now time.Time, address string, reports []rollout.Report) {
	if r.address != address {
		r.failed = 0
	}
	r.address, r.interval = address, 0
	r.failed++
	r.retryAt = now.Add(retryDelay(r.failed))
	for _, report := range reports {
		delete(r.sent, report.Service)
	}
}

// statusOf derives from an error whether a gateway decides: one of an earlier
// version accepts no reports.
func statusOf(err error) deciderStatus {
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		return notDeciding
	}
	return unreachable
}

// recordReply records whether a gateway decides, by its reply: for the rollouts that were
// reported, though this process may not have seen yet that the gateway is named for them,
// and for the others for which it is named.
func (d *Delivery) recordReply(from decider, reports []rollout.Report, status deciderStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, c := range d.tracked {
		isReported := slices.ContainsFunc(reports, func(r rollout.Report) bool { return r.Service == service })
		if isReported || c.decider() == from {
			c.lastReply = deciderReply{from: from, status: status}
		}
	}
}

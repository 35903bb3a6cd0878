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
	waySent        = "sent"
	wayReceived    = "received"
	resultAnswered = "answered"
	resultFailed   = "failed"
)

// reporter holds what was reported.
type reporter struct {
	sent map[string]sent // by service
	// every is the least time between two reports, as the gateway that decides said.
	every time.Duration
	// address is that of the gateway that last did not answer, failed counts how often in a
	// row it did not, and next is when it is tried again.
	address string
	failed  int
	next    time.Time
}

// decider is the gateway that is named to decide on a rollout.
type decider struct{ id, address string }

// report is the duty of reporting to the gateway that decides.
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
			d.tell(ctx, r, to, reports)
		}
		if !d.wait(ctx, len(running) > 0, changed) {
			return nil
		}
	}
}

// running lists the rollouts of which reports are wanted.
func (d *Delivery) running() []catalog.Rollout {
	var out []catalog.Rollout
	for _, r := range d.options.Rollouts() {
		if r.State == catalog.RolloutRunning && r.Peer != "" {
			out = append(out, r)
		}
	}
	return out
}

// due gives the reports that are to be sent now, by the gateway that they are for, and
// notes them as sent.
func (d *Delivery) due(r *reporter, running []catalog.Rollout) map[decider][]rollout.Report {
	now := d.options.Clock()
	every := max(r.every, reportEvery)
	deciders := map[string]decider{}
	for _, o := range running {
		deciders[o.Service] = decider{id: o.Decider, address: o.Peer}
	}
	out := map[decider][]rollout.Report{}
	for _, report := range d.options.Reports(running) {
		to, last := deciders[report.Service], r.sent[report.Service]
		if r.isResting(now, to.address) || !last.isDue(now, to, report, every) {
			continue
		}
		r.sent[report.Service] = sent{to: to, at: now, report: report}
		report.Gateway, report.Start = d.options.Self.ID, d.options.Self.Start
		out[to] = append(out[to], report)
	}
	return out
}

// isResting says whether an address did not answer and is not tried again yet.
func (r *reporter) isResting(now time.Time, address string) bool {
	return r.address == address && now.Before(r.next)
}

// tell sends reports and notes what the gateway that they are for says of itself.
func (d *Delivery) tell(ctx context.Context, r *reporter, to decider, reports []rollout.Report) {
	reply, err := d.ask(ctx, to, ReportArgs{Decider: to.id, Reports: reports})
	now := d.options.Clock()
	if err != nil {
		r.noteFailed(now, to.address, reports)
		d.options.Metrics.RolloutReport(waySent, resultFailed)
		d.heard(to, reports, stanceOf(err))
		d.options.Log.Info("rollout not reported", "peer", to.id, "address", to.address, "failed", r.failed, "error", err.Error())
		return
	}
	r.failed, r.every = 0, reply.Every
	d.options.Metrics.RolloutReport(waySent, resultAnswered)
	if reply.Decides {
		d.heard(to, reports, affirms)
	} else {
		d.heard(to, reports, declines)
	}
}

// ask sends reports; those to this gateway itself are taken without a connection.
func (d *Delivery) ask(ctx context.Context, to decider, args ReportArgs) (ReportReply, error) {
	if to.address == d.options.Self.Peer {
		return d.answer(args), nil
	}
	return rpclink.Call[ReportReply](ctx, d.peer, to.address, methodReport, args)
}

// noteFailed notes that an address did not answer: the pause grows with each time, and the
// reports are sent again.
func (r *reporter) noteFailed(now time.Time, address string, reports []rollout.Report) {
	if r.address != address {
		r.failed = 0
	}
	r.address, r.every = address, 0
	r.failed++
	r.next = now.Add(retryPause(r.failed))
	for _, report := range reports {
		delete(r.sent, report.Service)
	}
}

// stanceOf is what an error says of whether a gateway decides: one of an earlier version
// takes no reports.
func stanceOf(err error) stance {
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		return declines
	}
	return silent
}

// heard notes what a gateway said of whether it decides: for the rollouts that were
// reported, though this process may not have seen yet that it is named for them, and for
// the others for which it is named.
func (d *Delivery) heard(from decider, reports []rollout.Report, s stance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, c := range d.courses {
		asked := slices.ContainsFunc(reports, func(r rollout.Report) bool { return r.Service == service })
		if asked || c.decider() == from {
			c.told = answer{from: from, stance: s}
		}
	}
}

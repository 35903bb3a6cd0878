package delivery

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// methods are the remote methods for other gateways.
type methods struct{ delivery *Delivery }

// Report receives a gateway's reports.
func (m *methods) Report(args ReportArgs, reply *ReportReply) error {
	m.delivery.options.Metrics.RolloutReport(directionReceived, resultAnswered)
	*reply = m.delivery.handleReports(args)
	return nil
}

// Service returns the net/rpc service for other gateways, to be served beside the one of
// discovery.
func (d *Delivery) Service() discovery.Service {
	return discovery.Service{Name: serviceName, Methods: &methods{delivery: d}}
}

// handleReports records reports and replies whether this gateway is the decider that they
// are for.
func (d *Delivery) handleReports(args ReportArgs) ReportReply {
	reporting := d.addReports(args.Reports)
	return ReportReply{Decides: args.Decider == d.options.Self.ID && d.isDecider(), Every: intervalFor(reporting)}
}

// addReports records reports and returns the number of gateways that report on these
// rollouts. Reports on an order that is not known here are dropped: each later report
// contains all counts again.
func (d *Delivery) addReports(reports []rollout.Report) (reporting int) {
	now := d.options.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range reports {
		if c, ok := d.tracked[r.Service]; ok && c.order.Version == r.Version {
			c.addReport(now, r)
			reporting = max(reporting, len(c.reported))
		}
	}
	return reporting
}

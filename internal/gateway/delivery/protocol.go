package delivery

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
)

// Gateways call each other by net/rpc. The names of the service, its method and the fields
// of its messages must not change, since processes of two versions talk to each other
// during an upgrade; one of an earlier version answers that it has no such service.
const (
	serviceName  = "Delivery"
	methodReport = serviceName + ".Report"
)

// ReportArgs are a gateway's reports to the decider.
type ReportArgs struct {
	// Decider is the id of the decider: another gateway may have its address by now.
	Decider string
	Reports []rollout.Report
}

// ReportReply is the reply to reports.
type ReportReply struct {
	// Decides is true if the replying gateway is the named decider, and decides.
	Decides bool
	// Every is the shortest time between two reports, by the number of gateways that
	// report.
	Every time.Duration
}

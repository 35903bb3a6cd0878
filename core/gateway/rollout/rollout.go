// Package rollout makes all decisions about rollouts that need no I/O: which target of a
// service may take a request while a version is on trial (Versions, Assignment), what the
// gateways' reports add up to (ReportLog), how old the orders are (Ages), and whether a
// rollout goes on, is completed or is rolled back (Decide).
//
// The ordered version is the canary while it is on trial; the version in service, with
// which it is compared, is the baseline.
//
// The package owns these rules and their constants. It depends on the known state of
// rollouts and targets (core/gateway/catalog). It does no I/O, reads no clock, takes no
// lock and draws no random numbers.
//
// # Usage
//
// A gateway that sends requests:
//
//	admitted := versions.Admit("api", known, order, ordered, position)
//	a := rollout.Assign(order, admitted, versions.OnTrial("api", order.Version))
//	if a.TakesCanary(rand.Float64()) {
//		// one of a.Canary(), else one of a.Baseline()
//	}
//
// The gateway that decides:
//
//	ages.Observe(now, order, confirmed)
//	reports.Add(now, report)
//	d := rollout.Decide(rollout.State{Order: order, Age: ages.Age(now, "api"), ...})
package rollout

package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/standin/faultproxy"
)

// soakDrainTimeout is how long after a gateway passed on an answer by which its target leaves the
// users' bound begins to hold.
const soakDrainTimeout = 2 * time.Second

// span is a time, since the soak began, in which something was disturbed from outside.
type span struct {
	from, to time.Duration
	gateways []string // whose sends it disturbed; nil for all
	target   string   // sends to which it disturbed; empty for all
}

// spans are those of one kind of fault.
type spans struct {
	mu  sync.Mutex
	all []span
}

// add records a span, and what was under way for a moment beyond it.
func (s *spans) add(disturbed span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	disturbed.to += backOffGrace
	s.all = append(s.all, disturbed)
}

// overlap reports whether sends of a gateway to a target were disturbed at any time between two.
func (s *spans) overlap(from, to time.Duration, gateway, target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.all, func(disturbed span) bool {
		return disturbed.from <= to && from <= disturbed.to &&
			(disturbed.gateways == nil || slices.Contains(disturbed.gateways, gateway)) &&
			(disturbed.target == "" || disturbed.target == target)
	})
}

// askForBackOff has a target turn requests away and ask for back-off, of another length each time.
func (w *world) askForBackOff(random *rand.Rand, lasts time.Duration) {
	b := w.pickTarget(random)
	if b == nil || !b.backOff.CompareAndSwap(0, int64(time.Second+time.Duration(random.Int64N(int64(longestFault))))) {
		return
	}
	time.Sleep(lasts)
	b.backOff.Store(0)
}

// turnAway answers that the target did not run a request, and asks for back-off if it does.
func (b *soakTarget) turnAway(w http.ResponseWriter, backOff time.Duration) {
	w.Header().Set("Not-Executed", "1")
	if backOff > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(backOff.Seconds()))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// delivery is a request as it went from a gateway to a target.
type delivery struct {
	arrival
	outcome
	id string
}

// deliveries are those to each target from each gateway process that sent some.
func (r *records) deliveries() map[string]map[faultproxy.Origin][]delivery {
	all := map[string]map[faultproxy.Origin][]delivery{}
	for id, arrivals := range r.arrivals {
		for _, a := range arrivals {
			if all[a.target] == nil {
				all[a.target] = map[faultproxy.Origin][]delivery{}
			}
			all[a.target][a.sender] = append(all[a.target][a.sender], delivery{arrival: a, outcome: r.outcomes[id], id: id})
		}
	}
	return all
}

// checkSignals looks at what targets got that asked for back-off or said that they leave.
func (w *world) checkSignals() {
	for target, bySender := range w.records.deliveries() {
		for from, all := range bySender {
			if from.Name == "" {
				w.t.Errorf("SENDER %s got %s and %d requests more, and it is not known from which gateway", target, all[0].id, len(all)-1)
				continue
			}
			for _, said := range all {
				w.checkBackOff(target, from, said, all)
				w.checkLeaving(target, from, said, all)
			}
		}
	}
}

// checkBackOff looks at an answer that the gateway read unless the way was disturbed, since the
// request was not given up.
func (w *world) checkBackOff(target string, from faultproxy.Origin, asked delivery, all []delivery) {
	begins, ends := asked.at+backOffGrace, asked.at+asked.backOff
	if asked.backOff == 0 || asked.cut || w.isDisturbed(asked.at, ends, from, target) {
		return
	}
	got := 0
	for _, d := range all {
		if d.at > begins && d.at < ends {
			got++
		}
	}
	if got > backOffExtra {
		w.t.Errorf("BUDGET %s asked %s for %v of back-off in its answer to %s at %v, and got %d requests of it in that time", target, from.Name, asked.backOff, asked.id, asked.at, got)
	}
}

// isDisturbed reports whether a gateway stood still or its way to a target was harmed.
func (w *world) isDisturbed(from, to time.Duration, gateway faultproxy.Origin, target string) bool {
	return w.frozen.overlap(from, to, gateway.Name, target) || w.harmed.overlap(from, to, gateway.Name, target)
}

// checkLeaving looks at an answer that was surely passed on: the request was sent nowhere else.
func (w *world) checkLeaving(target string, from faultproxy.Origin, said delivery, all []delivery) {
	if !said.saidLeaving || said.status != http.StatusOK || len(w.records.arrivals[said.id]) > 1 {
		return
	}
	for _, d := range all {
		if d.began > said.ended+soakDrainTimeout && !w.frozen.overlap(said.ended, d.at, from.Name, target) {
			w.t.Errorf("DRAIN %s said to %s that it leaves, in its answer to %s at %v, and got %s, which was sent at %v", target, from.Name, said.id, said.ended, d.id, d.began)
		}
	}
}

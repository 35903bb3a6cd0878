package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// soakDrainTimeout is how long after a gateway passed on an answer by which its target leaves the
// users' bound begins to hold.
const soakDrainTimeout = 2 * time.Second

// spans are times, since the soak began, in which something was disturbed from outside.
type spans struct {
	mu  sync.Mutex
	all [][2]time.Duration
}

// add notes one, and what was on its way for a moment beyond it.
func (s *spans) add(from, to time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, [2]time.Duration{from, to + backOffGrace})
}

func (s *spans) overlap(from, to time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, span := range s.all {
		if span[0] <= to && from <= span[1] {
			return true
		}
	}
	return false
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

// sender is one life of a gateway.
type sender struct {
	gateway string
	life    int32
}

// delivery is a request as it went from one life of a gateway to a target.
type delivery struct {
	arrival
	outcome
	id string
}

// deliveries are those to each target from each life of a gateway. Requests whose gateway stopped
// meanwhile belong to none.
func (r *records) deliveries() map[string]map[sender][]delivery {
	all := map[string]map[sender][]delivery{}
	for id, arrivals := range r.arrivals {
		o := r.outcomes[id]
		if o.life == 0 {
			continue
		}
		from := sender{gateway: o.gateway, life: o.life}
		for _, a := range arrivals {
			if all[a.target] == nil {
				all[a.target] = map[sender][]delivery{}
			}
			all[a.target][from] = append(all[a.target][from], delivery{arrival: a, outcome: o, id: id})
		}
	}
	return all
}

// checkSignals looks at what targets got that asked for back-off or said that they leave.
func (w *world) checkSignals() {
	for target, bySender := range w.records.deliveries() {
		for from, all := range bySender {
			for _, said := range all {
				w.checkBackOff(target, from, said, all)
				w.checkLeaving(target, from, said, all)
			}
		}
	}
}

func (w *world) checkBackOff(target string, from sender, asked delivery, all []delivery) {
	begins, ends := asked.at+backOffGrace, asked.at+asked.backOff
	if asked.backOff == 0 || w.frozen.overlap(asked.at, ends) || w.harmed.overlap(asked.at, ends) {
		return
	}
	got := 0
	for _, d := range all {
		if d.at > begins && d.at < ends {
			got++
		}
	}
	if got > backOffExtra {
		w.t.Errorf("BUDGET %s asked %s for %v of back-off in its answer to %s at %v, and got %d requests in that time", target, from.gateway, asked.backOff, asked.id, asked.at, got)
	}
}

// checkLeaving looks at an answer that was surely passed on: the request was sent nowhere else.
func (w *world) checkLeaving(target string, from sender, said delivery, all []delivery) {
	if !said.saidLeaving || said.status != http.StatusOK || len(w.records.arrivals[said.id]) > 1 {
		return
	}
	for _, d := range all {
		if d.began > said.ended+soakDrainTimeout && !w.frozen.overlap(said.ended, d.at) {
			w.t.Errorf("DRAIN %s said to %s that it leaves, in its answer to %s at %v, and got %s, which was sent at %v", target, from.gateway, said.id, said.ended, d.id, d.began)
		}
	}
}

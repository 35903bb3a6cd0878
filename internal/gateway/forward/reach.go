package forward

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
)

// reachMemory is for how long no request of a service may have gone to another region
// before the use of other regions counts as ended, so that a few ejections don't make two
// log lines each.
const reachMemory = time.Second

// reach is what was logged of whether a service's requests go to other regions.
type reach struct {
	far  bool
	last time.Time // when other regions were last used
}

// reached notes whether other regions are used for a request, and logs where that begins
// and ends.
func (s *service) reached(now time.Time, r placement.Reach) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r != placement.OwnRegionOnly:
		s.reach.last = now
		if !s.reach.far {
			s.reach.far = true
			s.log.Warn("other regions are used", "service", s.name, "why", r.String())
		}
	case s.reach.far && now.Sub(s.reach.last) >= reachMemory:
		s.reach.far = false
		s.log.Info("own region is used alone", "service", s.name)
	}
}

// isFar says whether requests of the service go to other regions.
func (s *service) isFar(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reach.far && now.Sub(s.reach.last) < reachMemory
}

// FarServices is how many services have requests that go to other regions now.
func (h *Handler) FarServices() (n int) {
	now := h.options.Clock()
	for _, svc := range h.balancer.services.all() {
		if svc.isFar(now) {
			n++
		}
	}
	return n
}

// Trips are the times there and back to each region, as they were measured.
func (h *Handler) Trips() map[string]time.Duration { return h.balancer.places.all() }

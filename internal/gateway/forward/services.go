package forward

import (
	"log/slog"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/budget"
)

const (
	firstAside   = 200 * time.Millisecond
	longestAside = 3 * time.Second
	// misdirectedAside is how long a target is left alone whose address now
	// belongs to another one.
	misdirectedAside = 10 * time.Second
	// yieldFor is how long a request that found no free target is remembered.
	yieldFor = 500 * time.Millisecond
	// allowance is the second sends of a process beyond the ratio.
	allowance = 1
)

// services holds what is known of each service.
type services struct {
	options Options
	mu      sync.Mutex
	byName  map[string]*service
}

func newServices(o Options) *services {
	return &services{options: o, byName: map[string]*service{}}
}

func (s *services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName[name] == nil {
		retry := s.options.Retry
		s.byName[name] = &service{
			budget:  budget.New(retry.Window, retry.Ratio, allowance),
			medians: map[string]median{}, sizes: map[string]float64{}, targets: map[string]*targetState{},
			crowding: firstCrowding, waited: map[int]time.Time{},
			name: name, log: s.options.Log,
		}
	}
	return s.byName[name]
}

// service is what is known of one service and its targets.
type service struct {
	name    string
	log     *slog.Logger
	mu      sync.Mutex
	budget  *budget.Window
	spent   bool               // the latest retry that was asked for found no budget
	medians map[string]median  // usual time by route
	sizes   map[string]float64 // usual length of an answer by route, in bytes
	targets map[string]*targetState
	// easyShare is the share of the targets asked that were easy.
	easyShare float64
	// crowding is how much longer requests take on the last slot of a target.
	crowding float64
	crowded  int // requests that taught crowding
	// waited is when a request last found no free target, by its priority.
	waited map[int]time.Time
	silent int  // checks in a row without a load
	told   bool // some check held a load
}

// targetState is what is known of one target.
type targetState struct {
	active     int
	asideUntil time.Time
	asideFor   time.Duration
}

func (s *service) target(id string) *targetState {
	if s.targets[id] == nil {
		s.targets[id] = &targetState{}
	}
	return s.targets[id]
}

func (s *service) countRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Request(now)
}

// spend takes a second send from the budget.
func (s *service) spend(now time.Time, part float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.budget.Spend(now, part)
	if spent := !granted && part == 1; spent != s.spent {
		s.spent = spent
		s.log.Info("second sends", "service", s.name, "spent", spent, "used", s.budget.Used(), "allowed", s.budget.Allowed())
	}
	return granted
}

// canSpend says whether spend would succeed.
func (s *service) canSpend(now time.Time, part float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.budget.Used()+1) <= part*s.budget.Allowed()
}

func (s *service) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target(id).active++
}

func (s *service) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target(id).active--
}

// load is how full a target is by own counts, in thousandths.
func (s *service) load(id string, slots int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target(id).active * 1000 / max(slots, 1)
}

func (s *service) isAside(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.targets[id]
	return ok && now.Before(state.asideUntil)
}

func (s *service) failed(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.target(id)
	state.asideFor = min(max(2*state.asideFor, firstAside), longestAside)
	state.asideUntil = now.Add(state.asideFor)
}

func (s *service) refused(now time.Time, id string, misdirected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := firstAside / 4
	if misdirected {
		pause = misdirectedAside
	}
	s.target(id).asideUntil = now.Add(pause)
}

// waits notes that a request found no free target.
func (s *service) waits(now time.Time, priority int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waited[priority] = now
}

// yields says whether a request should leave the last slot of a target to more
// urgent ones, since such have lately found none.
func (s *service) yields(now time.Time, priority int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, at := range s.waited {
		if other < priority && now.Sub(at) < yieldFor {
			return true
		}
	}
	return false
}

// pressed says whether any request has lately found no free target.
func (s *service) pressed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.waited {
		if now.Sub(at) < yieldFor {
			return true
		}
	}
	return false
}

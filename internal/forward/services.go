package forward

import (
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/budget"
	"github.com/sprucecrank/sprucecrank/core/choice"
	"github.com/sprucecrank/sprucecrank/core/routing"
	"github.com/sprucecrank/sprucecrank/internal/upstream"
)

const (
	firstAside   = 200 * time.Millisecond
	longestAside = 3 * time.Second
	// failuresAside is how many failures in a row set a server aside.
	failuresAside = 1
	// misdirectedAside is how long a server is left alone whose address now
	// belongs to another one.
	misdirectedAside = 10 * time.Second
	// medianStep is how far one duration moves the median.
	medianStep = 0.06
	// firstMedianStep is how far the first duration moves it; the steps fall
	// from there, as the number of durations grows.
	firstMedianStep = 0.5
	// easeStep is how far one check moves the share of easy servers, and above
	// mostEase they are asked one by one.
	easeStep = 0.05
	mostEase = 0.5
	// sizeStep is how far one answer moves the usual size.
	sizeStep = 0.1
	// firstUsual is the usual time before any was measured, as a part of the
	// route's objective.
	firstUsual = 0.35
	// silentChecks is how many checks without a load show that a service does
	// not tell it.
	silentChecks = 8
	// firstCrowding is believed before any request took a last slot; one more
	// moves it by crowdingStep.
	firstCrowding = 1.15
	crowdingStep  = 0.05
	// firstCrowdingStep is how far the first such request moves it.
	firstCrowdingStep = 0.3
	mostCrowding      = 4
	// easyCrowding is the most that counts as no crowding.
	easyCrowding = 1.2
	// yieldFor is how long a request that found no free server is remembered.
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
			budget:  budget.NewWindow(retry.Window, retry.Ratio, allowance),
			medians: map[string]median{}, sizes: map[string]float64{}, servers: map[string]*serverState{},
			crowding: firstCrowding, waited: map[int]time.Time{},
		}
	}
	return s.byName[name]
}

// service is what is known of one service and its servers.
type service struct {
	mu      sync.Mutex
	budget  *budget.Window
	medians map[string]median  // usual time by route
	sizes   map[string]float64 // usual length of an answer by route, in bytes
	servers map[string]*serverState
	// ease is the share of the servers asked that were easy.
	ease float64
	// crowding is how much longer requests take on the last slot of a server.
	crowding float64
	crowded  int // requests that taught crowding
	// waited is when a request last found no free server, by its priority.
	waited map[int]time.Time
	silent int  // checks in a row without a load
	told   bool // some check held a load
}

// serverState is what is known of one server.
type serverState struct {
	active     int
	failures   int
	asideUntil time.Time
	asideFor   time.Duration
}

func (s *service) server(id string) *serverState {
	if s.servers[id] == nil {
		s.servers[id] = &serverState{}
	}
	return s.servers[id]
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
	return s.budget.Spend(now, part)
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
	s.server(id).active++
}

func (s *service) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server(id).active--
}

// load is how full a server is by own counts, in thousandths.
func (s *service) load(id string, slots int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server(id).active * 1000 / max(slots, 1)
}

func (s *service) isAside(now time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.servers[id]
	return ok && now.Before(state.asideUntil)
}

func (s *service) failed(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.server(id)
	state.failures++
	if state.failures < failuresAside {
		return
	}
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
	s.server(id).asideUntil = now.Add(pause)
}

// succeeded learns the usual time and the size of answers of a route.
func (s *service) succeeded(id string, route *routing.Route, took time.Duration, size int, reading choice.Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[route.Name] += sizeStep * (float64(size) - s.sizes[route.Name])
	state := s.server(id)
	state.failures, state.asideFor = 0, 0
	switch {
	case reading.Slowness > easySlowness || reading.Waiting > 0:
	case reading.LastSlot():
		s.learnCrowding(float64(took) / float64(max(s.medianOf(route), time.Millisecond)))
	default:
		m := s.medians[route.Name]
		m.learn(s.medianOf(route), took)
		s.medians[route.Name] = m
	}
}

func (s *service) learnEase(easy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := 0.0
	if easy {
		found = 1
	}
	s.ease += easeStep * (found - s.ease)
}

// mostlyEasy says whether the first server that is asked will mostly do.
func (s *service) mostlyEasy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ease > mostEase
}

// farDelay is how long a request waits for a server of its own zone before it
// goes to another zone.
func (s *service) farDelay(route *routing.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := time.Duration(s.sizes[route.Name] / 1024 * float64(farDelayPerKB))
	return min(delay, time.Duration(farDelayPart*float64(route.Objective)))
}

func (s *service) learnCrowding(ratio float64) {
	step := max(crowdingStep, firstCrowdingStep/float64(s.crowded+1))
	s.crowded++
	if ratio < s.crowding {
		step = -step
	}
	s.crowding = min(max(s.crowding+step, 1), mostCrowding)
}

// predict is the time that a server of the service would take for a request,
// and whether that is longer for want of room.
func (s *service) predict(route *routing.Route, reading choice.Reading) (took time.Duration, crowded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crowded = reading.Free() == 0 || reading.LastSlot() && s.crowding > easyCrowding
	return reading.Predict(s.medianOf(route), s.crowding), crowded
}

// waits notes that a request found no free server.
func (s *service) waits(now time.Time, priority int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waited[priority] = now
}

// yields says whether a request should leave the last slot of a server to more
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

// pressed says whether any request has lately found no free server.
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

// median follows the median of durations, by large steps at first.
type median struct {
	value time.Duration
	seen  int
}

// learn moves the median, which was before, towards a duration by one step.
func (m *median) learn(before, took time.Duration) {
	part := max(medianStep, firstMedianStep/float64(m.seen+1))
	m.seen++
	step := time.Duration(part * float64(before))
	if took > before {
		m.value = before + min(step, took-before)
		return
	}
	m.value = before - min(step, before-took)
}

func (s *service) medianOf(route *routing.Route) time.Duration {
	if m, ok := s.medians[route.Name]; ok {
		return m.value
	}
	return time.Duration(firstUsual * float64(route.Objective))
}

// usual is how long a request of a route usually takes.
func (s *service) usual(route *routing.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.medianOf(route)
}

func (s *service) learnTells(h upstream.Health) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.HasLoad {
		s.told, s.silent = true, 0
		return
	}
	s.silent++
}

// tellsLoad says whether asking servers for their load is of use.
func (s *service) tellsLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told || s.silent < silentChecks
}

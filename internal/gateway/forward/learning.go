package forward

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
)

const (
	// medianStep is how far one duration moves the median.
	medianStep = 0.06
	// firstMedianStep is how far the first duration moves it; the steps fall
	// from there, as the number of durations grows.
	firstMedianStep = 0.5
	// easeStep is how far one check moves the share of easy targets, and above
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
)

// succeeded learns the usual time and the size of answers of a route.
func (s *service) succeeded(id string, route *routing.Route, took time.Duration, size int, reading load.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[route.Name] += sizeStep * (float64(size) - s.sizes[route.Name])
	s.target(id).asideFor = 0
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

func (s *service) learnEasy(easy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := 0.0
	if easy {
		found = 1
	}
	s.easyShare += easeStep * (found - s.easyShare)
}

// mostlyEasy says whether the first target that is asked will mostly do.
func (s *service) mostlyEasy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.easyShare > mostEase
}

// farDelay is how long a request waits for a target of its own hall before it
// goes to another hall.
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

// predict is the time that a target of the service would take for a request,
// and whether that is longer for want of room.
func (s *service) predict(route *routing.Route, reading load.Report) (took time.Duration, crowded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crowded = reading.Free() == 0 || reading.LastSlot() && s.crowding > easyCrowding
	return reading.Predict(s.medianOf(route), s.crowding), crowded
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

// tellsLoad says whether asking targets for their load is of use.
func (s *service) tellsLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told || s.silent < silentChecks
}

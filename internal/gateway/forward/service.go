package forward

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/budget"
	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/ejection"
	"github.com/sprucecrank/sprucecrank/core/gateway/estimate"
	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/outcome"
	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
	"github.com/sprucecrank/sprucecrank/core/gateway/refusal"
	"github.com/sprucecrank/sprucecrank/core/gateway/relay"
	"github.com/sprucecrank/sprucecrank/core/gateway/retry"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/warmup"
)

// registry holds the services that requests have named.
type registry struct {
	retry  Retry
	log    *slog.Logger
	mu     sync.Mutex
	byName map[string]*service
}

func newRegistry(r Retry, log *slog.Logger) *registry {
	return &registry{retry: r, log: log, byName: map[string]*service{}}
}

func (r *registry) get(name string) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc, ok := r.byName[name]
	if !ok {
		svc = newService(name, r.retry, r.log)
		r.byName[name] = svc
	}
	return svc
}

// find returns a service that requests have named.
func (r *registry) find(name string) (*service, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc, ok := r.byName[name]
	return svc, ok
}

// all are the services, in no order.
func (r *registry) all() []*service {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.byName))
}

// dropEvidence drops the evidence of all services but those that are kept.
func (r *registry) dropEvidence(kept map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, svc := range r.byName {
		if !kept[name] {
			svc.evidence.drop()
		}
	}
}

// service holds what the decisions on one service go by, under one lock. Its
// methods hand the lock's content to the rules of core/gateway and decide nothing.
type service struct {
	name string
	log  *slog.Logger

	mu         sync.Mutex
	budget     *budget.Budget
	cutOff     bool // as logged
	exhausted  bool // the latest retry that was asked for found no budget
	estimate   *estimate.Service
	ejections  *ejection.Tracker
	contention *placement.Contention
	turns      *warmup.Limiter
	active     map[catalog.Life]int // sends under way
	evidence   *evidence            // guarded by its own lock
	paths      *relay.Paths
	reach      reach
}

func newService(name string, r Retry, log *slog.Logger) *service {
	return &service{
		name: name, log: log, evidence: newEvidence(),
		budget:   budget.New(r.Ratio, retry.HedgeBudgetShare, r.Saved),
		estimate: estimate.New(), ejections: ejection.New(), contention: placement.NewContention(),
		turns:  warmup.New(rand.Float64()),
		active: map[catalog.Life]int{}, paths: relay.NewPaths(),
	}
}

func (s *service) countRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordRequest()
}

// spendRetry takes a retry from the budget of second sends.
func (s *service) spendRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.budget.SpendRetry()
	s.noteBudget(!granted)
	return granted
}

// spendHedge takes a hedge from the budget of second sends. That none is left
// for hedges does not mean that the budget is exhausted.
func (s *service) spendHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.budget.SpendHedge()
	if granted {
		s.noteBudget(false)
	}
	return granted
}

// canSpendHedge says whether the budget has room for a hedge.
func (s *service) canSpendHedge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.CanSpendHedge()
}

// noteBudget logs when the budget of second sends is exhausted, and when it no
// longer is; the lock is held.
func (s *service) noteBudget(exhausted bool) {
	if exhausted == s.exhausted {
		return
	}
	s.exhausted = exhausted
	s.log.Info("second sends", "service", s.name, "spent", exhausted, "used", s.budget.Used(), "allowed", s.budget.Allowed())
}

// beginSend notes that a send to a target has begun.
func (s *service) beginSend(t catalog.Target) {
	s.evidence.begin(t.Version)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[t.Life()]++
}

// endSend notes how a send to a target ended.
func (s *service) endSend(now time.Time, t catalog.Target, o outcome.Outcome) {
	s.evidence.end(t.Version)
	s.mu.Lock()
	defer s.mu.Unlock()
	life := t.Life()
	if s.active[life]--; s.active[life] == 0 {
		delete(s.active, life)
	}
	s.ejections.RecordOutcome(now, life, o)
	if o.IsAnswer() {
		s.paths.RecordAnswer(life)
	}
	if o != outcome.Abandoned {
		s.estimate.RecordSend(o == outcome.Shed)
	}
}

// answered learns from a request that was served, and whose caller had the answer after some time.
func (s *service) answered(route *routing.Route, a estimate.Answer, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimate.RecordDuration(route.Name, after)
	s.estimate.RecordAnswer(route, a)
}

func (s *service) longest(route *routing.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate.Longest(route.Name)
}

// probeFailed notes that a target could not be connected to or did not answer.
func (s *service) probeFailed(now time.Time, life catalog.Life) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejections.RecordProbeFailure(now, life)
	s.paths.RecordFailure(now, life)
}

// probeAnswered learns whether a target that answered reported its load.
func (s *service) probeAnswered(life catalog.Life, hasReport bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimate.RecordLoadReport(hasReport)
	s.paths.RecordAnswer(life)
}

// isCutOff says whether no target of the service answers this gateway, of a number that is
// known, and notes when that changes.
func (s *service) isCutOff(now time.Time, targets int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	cut := s.paths.AreCut(now, targets)
	if cut != s.cutOff {
		s.cutOff = cut
		s.log.Warn("paths to targets", "service", s.name, "cut", cut, "targets", targets)
	}
	return cut
}

// failedLately says whether a target failed a moment ago.
func (s *service) failedLately(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.FailedLately(now)
}

// connected notes whether a new connection to a target could be made.
func (s *service) connected(life catalog.Life, made bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths.RecordConnection(life, made)
}

// noneConnects says whether no connection to any target can be made, of a number that is known.
func (s *service) noneConnects(now time.Time, targets int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.NoneConnects(now, targets)
}

// reachesFew says whether other gateways may have room at targets, of a number that is known,
// which do not answer this one.
func (s *service) reachesFew(now time.Time, targets int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.FewAreLeft(now, targets)
}

// overflowed notes whether another gateway had room for a request.
func (s *service) overflowed(now time.Time, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths.RecordOverflow(now, served)
}

// triesNow says whether a request looks for a target although none answers.
func (s *service) triesNow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.TryNow(now)
}

// probed learns whether a target that was probed was idle.
func (s *service) probed(idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimate.RecordProbe(idle)
}

// waited notes that a request found no target.
func (s *service) waited(now time.Time, priority int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contention.RecordUnplaced(now, priority)
}

func (s *service) reportsLoad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate.ReportsLoad()
}

func (s *service) mostlyIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate.MostlyIdle()
}

func (s *service) usual(route *routing.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate.Usual(route)
}

func (s *service) usualBytes(route *routing.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate.UsualBytes(route)
}

func (s *service) predict(route *routing.Route, report load.Report) estimate.Prediction {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate.Predict(route, report)
}

func (s *service) isEjected(now time.Time, life catalog.Life) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ejections.Ejected(now, life)
}

func (s *service) isContended(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contention.Contended(now)
}

// room is what is known of the service when one of its requests is refused.
func (s *service) room(now time.Time) refusal.ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return refusal.ServiceLoad{Contended: s.contention.Contended(now), ShedShare: s.estimate.ShedShare()}
}

func (s *service) yields(now time.Time, priority int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contention.ShouldYield(now, priority)
}

func (s *service) activeAt(life catalog.Life) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[life]
}

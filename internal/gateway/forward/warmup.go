package forward

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/warmup"
)

// coldShare is what this gateway's share of what cold targets like one of them bear is
// worked out from.
func (b *balancer) coldShare(now time.Time, req *request, svc *service, like catalog.Target) warmup.Share {
	cold := svc.countCold(now, b.besides(req.service, like))
	return warmup.Share{PerSecond: req.coldRate, Cold: cold, Gateways: b.options.Gateways()}
}

// warmUp notes that a candidate is cold, and whether it may take the request.
func (b *balancer) warmUp(req *request, svc *service, c *candidate) {
	now := b.options.Clock()
	c.Cold = true
	c.Predicted = svc.predictCold(req.route, c.Report) + c.RoundTrip
	c.ColdAllowed = svc.hasTurn(now, b.coldShare(now, req, svc, c.target))
}

// takeTurn takes a turn at a cold target.
func (b *balancer) takeTurn(req *request, svc *service, t catalog.Target) bool {
	now := b.options.Clock()
	return svc.takeTurn(now, b.coldShare(now, req, svc, t))
}

// isCold says whether a target is cold, by its own answers or by its entry.
func (s *service) isCold(now time.Time, t catalog.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns.IsCold(now, t.Life(), t.Cold)
}

// countCold is how many of the targets are cold.
func (s *service) countCold(now time.Time, targets []catalog.Target) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range targets {
		if s.turns.IsCold(now, t.Life(), t.Cold) {
			n++
		}
	}
	return n
}

// toldWarmup notes for how much longer a target says that it is cold, and says whether
// it is.
func (s *service) toldWarmup(now time.Time, t catalog.Target, remaining time.Duration) (cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns.Observe(now, t.Life(), remaining)
	return s.turns.IsCold(now, t.Life(), t.Cold)
}

func (s *service) hasTurn(now time.Time, share warmup.Share) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns.Has(now, share)
}

func (s *service) takeTurn(now time.Time, share warmup.Share) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns.Take(now, share)
}

func (s *service) predictCold(route *routing.Route, report load.Report) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate.PredictCold(route, report)
}

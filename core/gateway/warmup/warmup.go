// Package warmup decides when a cold target gets a request: a target that has just
// started, or whose hall was returned to service after an evacuation, is slow and can
// handle only few requests a second from all gateways together. The package owns what is
// known of one service's cold targets and this gateway's share of their capacity.
//
// Gateways do not coordinate and each sees the same idle target at the same moment, so
// that two rules limit what a cold target gets. Each covers the weakness of the other:
//
//   - Reports: a target gets a request only if it reports no other requests
//     (Idle). However many gateways probe it, the first request sent keeps the others
//     away, except for gateways that probed within the milliseconds until it arrived.
//   - Shares: the requests a second that all cold targets of the service can handle,
//     divided by the number of gateways, are this gateway's to send (Limiter.Take). This
//     does not depend on reports, and the number of gateways need only be known roughly.
//
// Simulated with this code (warmup_test.go): 40 targets that become cold at the same
// moment, each of which may get 11 requests in a second, 1 to 2,072 gateways, up to 3,000
// probes a second of each target. The most requests that one target got in a second: with
// reports alone 9, 19 and 61 at 30, 300 and 3,000 probes, with shares alone 11, with both
// 6, and with both 9 if only half of the gateways are known.
//
// It depends only on core/gateway/catalog for naming targets, does no I/O, and reads no
// clock.
//
// # Usage
//
//	limiter := warmup.New(rand.Float64())
//	limiter.Observe(now, "i-1", 3*time.Second)
//	if limiter.Take(now, warmup.Share{PerSecond: 2.5, Cold: 40, Gateways: 95}) {
//		// one request may go to an idle cold target
//	}
package warmup

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	// maxAccrual bounds the time between two calls for which the share accrues: a share
	// that accrued for long, in all gateways alike, would be used by all at once. It is
	// the span over which the requests to a cold target are counted.
	maxAccrual = time.Second
	// reportLifetime is how long the report of a target is kept, and maxReports how many
	// are kept before expired ones are deleted.
	reportLifetime = time.Minute
	maxReports     = 512
)

// Share holds the figures from which this gateway's share is computed.
type Share struct {
	// PerSecond is how many requests a second one cold target can handle; 0 if not
	// configured, so that only the targets' reports limit the requests to cold targets.
	PerSecond float64
	// Cold is the number of cold targets of the service, and Gateways the number of
	// gateways.
	Cold     int
	Gateways int
}

// rate returns how many requests a second this gateway may send to cold targets.
func (s Share) rate() float64 { return s.PerSecond * float64(s.Cold) / float64(max(s.Gateways, 1)) }

// report is what a target reported of itself at a time.
type report struct {
	updated time.Time
	warmAt  time.Time // when it stops being cold
}

// Limiter holds one service's cold targets and this gateway's tokens for sending to them.
// It is not safe for concurrent use.
type Limiter struct {
	reports map[catalog.Life]report
	// tokens is the number of tokens left, and updated the time when it last grew.
	tokens  float64
	updated time.Time
}

// New returns a limiter without cold targets. initial is a random number in [0, 1), the
// part of a token that a gateway starts with, so that the tokens of different gateways
// don't arrive at the same moment.
func New(initial float64) *Limiter {
	return &Limiter{reports: map[catalog.Life]report{}, tokens: initial}
}

// Observe records for how much longer a target reports that it is cold; 0 if it does not.
func (t *Limiter) Observe(now time.Time, life catalog.Life, remaining time.Duration) {
	if _, known := t.reports[life]; !known && remaining <= 0 {
		return // the common case
	}
	t.reports[life] = report{updated: now, warmAt: now.Add(remaining)}
	if len(t.reports) > maxReports {
		t.deleteExpired(now)
	}
}

func (t *Limiter) deleteExpired(now time.Time) {
	for life, r := range t.reports {
		if now.Sub(r.updated) > reportLifetime {
			delete(t.reports, life)
		}
	}
}

// IsCold reports whether a target is cold: by its own report, or by its entry in the
// store (listed) if it has not reported.
func (t *Limiter) IsCold(now time.Time, life catalog.Life, listed bool) bool {
	if r, reported := t.reports[life]; reported {
		return now.Before(r.warmAt)
	}
	return listed
}

// Idle reports whether a cold target has no requests according to its report.
func Idle(running, waiting int) bool { return running == 0 && waiting == 0 }

// HasToken reports whether a token is available.
func (t *Limiter) HasToken(now time.Time, s Share) bool {
	t.refill(now, s)
	return s.PerSecond == 0 || t.tokens >= 1
}

// Take takes a token and reports whether one was available.
func (t *Limiter) Take(now time.Time, s Share) bool {
	if !t.HasToken(now, s) {
		return false
	}
	t.tokens = max(t.tokens-1, 0)
	return true
}

// refill adds the tokens that have accrued since the last call, up to one token and for
// at most maxAccrual.
func (t *Limiter) refill(now time.Time, s Share) {
	elapsed := min(now.Sub(t.updated), maxAccrual)
	if t.updated.IsZero() {
		elapsed = 0
	}
	t.updated = now
	t.tokens = min(t.tokens+s.rate()*elapsed.Seconds(), 1)
}

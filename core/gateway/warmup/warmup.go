// Package warmup decides when a cold target takes a request: one that has just started,
// or stands in a hall that was taken back, is slow and bears few requests a second from
// all gateways together. It owns what is known of one service's cold targets and this
// gateway's share of what they bear.
//
// Gateways agree on nothing and each sees the same idle target at the same moment, so
// that two things bound what a cold target gets, each where the other is weak:
//
//   - By its own report it has nothing to do (Turns.Idle). However many gateways look,
//     what the first of them sends keeps the others away, but for those that looked
//     within the milliseconds until it came.
//   - By share: what all cold targets of the service bear in a second, divided by the
//     gateways that there are, is this gateway's to send (Turns.Take). It does not depend
//     on reports, and how many gateways there are need only be known roughly.
//
// Simulated with this code (warmup_test.go): 40 targets that turn cold in one moment, of
// which each may get 11 in a second, 1 to 2,072 gateways, up to 3,000 looks a second at
// each target. The most that one got in a second: by reports alone 9, 19 and 61 with 30,
// 300 and 3,000 looks, by shares alone 11, by both 6, and 9 where only half of the
// gateways are known to be there.
//
// It relies on nothing else, does no I/O, and reads no clock.
//
// # Usage
//
//	turns := warmup.New(rand.Float64())
//	turns.Observe(now, "i-1", 3*time.Second)
//	if turns.Take(now, warmup.Share{PerSecond: 2.5, Cold: 40, Gateways: 95}) {
//		// one request may go to a cold target that has nothing to do
//	}
package warmup

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

const (
	// longestPause bounds the time between two looks for which a share grows: one that
	// grew for long, in all gateways alike, would be spent by all at once. The
	// span over which what a cold target gets is counted.
	longestPause = time.Second
	// forgetAfter is how long what a target said is remembered, and keptTargets how many
	// are before any are forgotten.
	forgetAfter = time.Minute
	keptTargets = 512
)

// Share is what this gateway's share is worked out from.
type Share struct {
	// PerSecond is how many requests a second one cold target bears; 0 where nobody
	// says, so that reports alone decide.
	PerSecond float64
	// Cold is how many targets of the service are cold, and Gateways how many gateways
	// there are.
	Cold     int
	Gateways int
}

// rate is how many requests a second this gateway may send to cold targets.
func (s Share) rate() float64 { return s.PerSecond * float64(s.Cold) / float64(max(s.Gateways, 1)) }

// report is what a target said of itself at a moment.
type report struct {
	at   time.Time
	warm time.Time // when it is warm again
}

// Turns holds one service's cold targets and this gateway's turns at them. It is not safe
// for concurrent use.
type Turns struct {
	reports map[catalog.Life]report
	// credit is how many turns are left, and at when it last grew.
	credit float64
	at     time.Time
}

// New makes one that knows of no cold target. draw is a random number in [0, 1), the
// part of a turn that a gateway begins with: theirs don't come at the same moment.
func New(draw float64) *Turns { return &Turns{reports: map[catalog.Life]report{}, credit: draw} }

// Observe takes in for how much longer a target says that it is cold; 0 for not.
func (t *Turns) Observe(now time.Time, life catalog.Life, remaining time.Duration) {
	if _, known := t.reports[life]; !known && remaining <= 0 {
		return // most targets, most of the time
	}
	t.reports[life] = report{at: now, warm: now.Add(remaining)}
	if len(t.reports) > keptTargets {
		t.forget(now)
	}
}

func (t *Turns) forget(now time.Time) {
	for life, r := range t.reports {
		if now.Sub(r.at) > forgetAfter {
			delete(t.reports, life)
		}
	}
}

// IsCold says whether a target is cold: by what it says itself, or by what its entry says
// (listed) where it has said nothing.
func (t *Turns) IsCold(now time.Time, life catalog.Life, listed bool) bool {
	if r, said := t.reports[life]; said {
		return now.Before(r.warm)
	}
	return listed
}

// Idle says whether a cold target has nothing to do by its report.
func Idle(running, waiting int) bool { return running == 0 && waiting == 0 }

// Has says whether there is a turn.
func (t *Turns) Has(now time.Time, s Share) bool {
	t.grow(now, s)
	return s.PerSecond == 0 || t.credit >= 1
}

// Take takes a turn, if there is one.
func (t *Turns) Take(now time.Time, s Share) bool {
	if !t.Has(now, s) {
		return false
	}
	t.credit = max(t.credit-1, 0)
	return true
}

// grow adds what has come to this gateway since the last look, up to one turn or what
// comes in the time of a look.
func (t *Turns) grow(now time.Time, s Share) {
	since := min(now.Sub(t.at), longestPause)
	if t.at.IsZero() {
		since = 0
	}
	t.at = now
	t.credit = min(t.credit+s.rate()*since.Seconds(), 1)
}

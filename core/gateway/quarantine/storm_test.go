package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
)

// storm simulates a service that receives fatal requests: targets of three slots that end
// within a request's time after they began to run a fatal one and restart some seconds later;
// harmless requests at a given rate, each with its own content, retried by the gateway and
// repeated by their callers as in production.
type storm struct {
	random  *rand.Rand
	ledger  *quarantine.Ledger
	targets []stormTarget
	ids     uint64
	now     time.Duration
	queue   []stormEvent
	// ended counts the targets that ended, refused the harmless attempts that were refused
	// because of a quarantine.
	ended, refused int
}

type stormTarget struct {
	starts  int // how often it has started
	upAt    time.Duration
	running []*stormRequest
}

type stormRequest struct {
	quarantine.Request
	fatal           bool
	sends, attempts int
	began           time.Duration // the time of the latest send
}

type stormEvent struct {
	at time.Duration
	do func()
}

const (
	stormWorkTime = 90 * time.Millisecond
	stormDownTime = 3 * time.Second
	stormTargets  = 10
)

func (s *storm) schedule(d time.Duration, do func()) {
	s.queue = append(s.queue, stormEvent{at: s.now + d, do: do})
}

func (s *storm) clock() time.Time { return start.Add(s.now) }

// send sends a request to a target that is up and has a free slot, or leaves it to its caller
// to repeat.
func (s *storm) send(r *stormRequest) {
	if s.ledger.Verdicts().For(r.Fingerprint).IsQuarantined() {
		if !r.fatal {
			s.refused++
		}
		return
	}
	for _, i := range s.random.Perm(len(s.targets)) {
		t := &s.targets[i]
		if s.now < t.upAt || len(t.running) == 3 {
			continue
		}
		r.sends++
		r.began = s.now
		t.running = append(t.running, r)
		incarnation := t.starts
		s.schedule(time.Duration((0.5+s.random.Float64())*float64(stormWorkTime)), func() { s.end(i, incarnation, r) })
		return
	}
	s.repeat(r)
}

// end ends a run, with an answer or with the end of its target.
func (s *storm) end(i, incarnation int, r *stormRequest) {
	t := &s.targets[i]
	if t.starts != incarnation {
		return
	}
	if !r.fatal {
		t.running = slices.DeleteFunc(t.running, func(other *stormRequest) bool { return other == r })
		s.ledger.RecordAnswer(s.clock(), r.Request)
		return
	}
	lost := t.running
	*t = stormTarget{starts: incarnation + 1, upAt: s.now + stormDownTime}
	s.ended++
	for _, other := range lost {
		s.ids++
		s.ledger.RecordEnd(s.clock(), other.Request, quarantine.End{ID: s.ids, Target: fmt.Sprint("i-", i), Ran: s.now - other.began})
	}
	for _, other := range lost {
		if other.sends < 2 && !s.ledger.Verdicts().For(other.Fingerprint).IsSuspect() {
			s.send(other)
			continue
		}
		s.repeat(other)
	}
}

// repeat makes the caller of an harmless request send it again, twice at most; fatal requests
// arrive independently.
func (s *storm) repeat(r *stormRequest) {
	if r.fatal || r.attempts == 2 {
		return
	}
	r.attempts++
	r.sends = 0
	s.schedule(50*time.Millisecond, func() { s.send(r) })
}

// arrive generates requests at a rate for as long as the storm lasts.
func (s *storm) arrive(rate float64, make func(n int) *stormRequest) {
	n := 0
	var next func()
	next = func() {
		n++
		s.send(make(n))
		s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.schedule(0, next)
}

func (s *storm) run(length time.Duration) {
	for {
		next := slices.MinFunc(s.queue, func(a, b stormEvent) int { return int(a.at - b.at) })
		if next.at > length {
			return
		}
		i := slices.IndexFunc(s.queue, func(e stormEvent) bool { return e.at == next.at })
		s.queue = slices.Delete(s.queue, i, i+1)
		s.now = next.at
		next.do()
	}
}

// simulateStorm simulates some fatal requests, each coming several times a second, beside 73
// harmless ones a second, for ten seconds.
func simulateStorm(seed uint64, fatal int) *storm {
	s := &storm{random: rand.New(rand.NewPCG(seed, uint64(fatal))), ledger: quarantine.New(seed + 1), targets: make([]stormTarget, stormTargets)}
	s.arrive(73, func(n int) *stormRequest {
		return &stormRequest{Request: request(fmt.Sprint("harmless-", n), fmt.Sprint("c", n%70))}
	})
	for i := range fatal {
		s.arrive(5, func(int) *stormRequest {
			return &stormRequest{Request: request(fmt.Sprint("fatal-", i), "c1"), fatal: true}
		})
	}
	s.run(10 * time.Second)
	return s
}

// Hardly any of the 730 harmless requests beside fatal ones is refused. Measured with one, two
// and four fatal requests at once, in 200 storms each: .000, .010 and .120 refused per storm,
// 3.9, 7.4 and 13.9 targets ended. If simultaneous ends count separately: .000, .005 and .110,
// with 3.5, 6.6 and 11.8. If, besides, ends that a worse request was part of count as well:
// .000, .040 and .235; if two ends are enough: .015, .085 and .495, with 2.7, 5.3 and 9.4
// targets ended.
func TestFewHarmlessRequestsAreQuarantinedInAStorm(t *testing.T) {
	for fatal, most := range map[int]float64{1: 0.01, 2: 0.03, 4: 0.15} {
		t.Run(fmt.Sprint(fatal, " fatal"), func(t *testing.T) {
			refused, ended := 0, 0
			const seeds = 200
			for seed := range uint64(seeds) {
				s := simulateStorm(seed, fatal)
				refused += s.refused
				ended += s.ended
			}
			t.Logf("%.3f harmless attempts refused per storm, %.1f targets ended", float64(refused)/seeds, float64(ended)/seeds)
			g := NewWithT(t)
			g.Expect(float64(refused) / seeds).To(BeNumerically("<", most))
			g.Expect(ended).To(BeNumerically("<", 4*fatal*seeds))
		})
	}
}

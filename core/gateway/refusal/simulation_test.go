package refusal_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/backoff"
	"github.com/sprucecrank/sprucecrank/core/gateway/refusal"
)

// A simulated service whose targets all shed everything for a while and ask for back-off,
// with clients that retry when they are asked to, as long as they can still be served in
// time.
const (
	simGateways   = 18
	simTargets    = 10
	simMaxRunning = 6    // concurrent requests from which on a target sheds
	simRate       = 80.0 // requests per second
	simWork       = 90 * time.Millisecond
	simBackOff    = 3 * time.Second
	overloadStart = 4 * time.Second
	overloadEnd   = 8 * time.Second
	simDuration   = 24 * time.Second
)

// retryPolicy returns when a client should retry that was refused because no target is
// available for some time.
type retryPolicy func(availableIn, left time.Duration, draw float64) time.Duration

// event is the arrival of a client, or the end of its request at a target.
type event struct {
	at, until, arrivedAt time.Duration // until is when the client stops waiting
	endsAt               int           // the target of a request that ends; below 0 for a client
}

type eventQueue []event

func (c eventQueue) Len() int           { return len(c) }
func (c eventQueue) Less(i, j int) bool { return c[i].at < c[j].at }
func (c eventQueue) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *eventQueue) Push(x any)        { *c = append(*c, x.(event)) }
func (c *eventQueue) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simulation is the state of such a service and its clients.
type simulation struct {
	retryPolicy retryPolicy
	random      *rand.Rand
	next        eventQueue
	running     [simTargets]int
	windows     [simGateways][simTargets]backoff.Window

	clients, unserved, shed int
	waited                  time.Duration
	// busiest is the most requests that all targets got in a tenth of a second after the
	// overload.
	busiest       int
	sendsPerTenth map[int]int
}

func simulate(seed uint64, clientTimeout time.Duration, p retryPolicy) *simulation {
	o := &simulation{retryPolicy: p, random: rand.New(rand.NewPCG(seed, 5)), sendsPerTenth: map[int]int{}}
	for at := time.Duration(0); at < simDuration-8*time.Second; at += time.Duration(o.random.ExpFloat64() / simRate * float64(time.Second)) {
		o.clients++
		heap.Push(&o.next, event{at: at, arrivedAt: at, until: at + clientTimeout, endsAt: -1})
	}
	for len(o.next) > 0 {
		c := heap.Pop(&o.next).(event)
		if c.endsAt >= 0 {
			o.running[c.endsAt]--
			continue
		}
		o.serve(c)
	}
	for index, count := range o.sendsPerTenth {
		if index >= int(overloadEnd/(100*time.Millisecond)) {
			o.busiest = max(o.busiest, count)
		}
	}
	return o
}

// serve sends a client's request at most twice, as long as there is a target that did not
// ask for back-off.
func (o *simulation) serve(c event) {
	gateway := o.random.IntN(simGateways)
	now := time.Unix(0, 0).Add(c.at)
	availableIn := simBackOff
	for range 2 {
		target := -1
		for _, i := range o.random.Perm(simTargets) {
			left := o.windows[gateway][i].Remaining(now)
			availableIn = min(availableIn, left)
			if left == 0 && (target < 0 || o.running[i] < o.running[target]) {
				target = i
			}
		}
		if target < 0 {
			break
		}
		o.sendsPerTenth[int(c.at/(100*time.Millisecond))]++
		if !(c.at >= overloadStart && c.at < overloadEnd) && o.running[target] < simMaxRunning {
			o.running[target]++
			o.waited += c.at - c.arrivedAt
			heap.Push(&o.next, event{at: c.at + simWork, endsAt: target})
			return
		}
		o.shed++
		o.windows[gateway][target].Extend(now, simBackOff)
	}
	retryAt := c.at + o.retryPolicy(availableIn, c.until-c.at, o.random.Float64())
	if retryAt+simWork > c.until {
		o.unserved++
		return
	}
	heap.Push(&o.next, event{at: retryAt, arrivedAt: c.arrivedAt, until: c.until, endsAt: -1})
}

// result is what clients experienced on average, over all clients.
type result struct {
	unserved, shed float64
	// busiest is the most requests that targets got in a tenth of a second, relative to
	// the usual rate.
	busiest float64
	waited  time.Duration
}

func simulateSeeds(clientTimeout time.Duration, policy retryPolicy) (r result) {
	const seeds = 20
	for seed := range uint64(seeds) {
		o := simulate(seed, clientTimeout, policy)
		all := float64(o.clients) * seeds
		r.unserved += float64(o.unserved) / all
		r.shed += float64(o.shed) / all
		r.busiest += float64(o.busiest) / (simRate / 10) / seeds
		r.waited += time.Duration(float64(o.waited) / all)
	}
	return r
}

// Clients that are refused while all targets are in back-off must not all retry at the
// moment when it ends.
func TestRetriesAreSpreadOnceTargetsAreAvailable(t *testing.T) {
	policies := map[string]retryPolicy{
		"the remainder of a third": func(availableIn, left time.Duration, draw float64) time.Duration {
			return availableIn + time.Duration(draw*float64(max(left/3-availableIn, 150*time.Millisecond)))
		},
		"another third": func(availableIn, left time.Duration, draw float64) time.Duration {
			return availableIn + time.Duration(draw*float64(max(min(left/3, (left-availableIn)/2), 150*time.Millisecond)))
		},
		"80% of the remaining time": func(availableIn, left time.Duration, draw float64) time.Duration {
			return availableIn + time.Duration(draw*0.8*float64(max(left-availableIn, 150*time.Millisecond)))
		},
		"as long as the remaining back-off": func(availableIn, left time.Duration, draw float64) time.Duration {
			return availableIn + time.Duration(draw*float64(max(min(availableIn, (left-availableIn)/2), 150*time.Millisecond)))
		},
	}
	for clientTimeout, most := range map[time.Duration]result{
		2 * time.Second:  {unserved: 0.265, shed: 0.275, busiest: 4, waited: 200 * time.Millisecond},
		6 * time.Second:  {unserved: 0.017, shed: 0.26, busiest: 5, waited: 1200 * time.Millisecond},
		10 * time.Second: {unserved: 0, shed: 0.25, busiest: 4, waited: 1400 * time.Millisecond},
		30 * time.Second: {unserved: 0, shed: 0.23, busiest: 3, waited: 2600 * time.Millisecond},
	} {
		t.Run(clientTimeout.String(), func(t *testing.T) {
			g := NewWithT(t)
			for name, policy := range policies {
				t.Logf("%-36s %+v", name, simulateSeeds(clientTimeout, policy))
			}
			got := simulateSeeds(clientTimeout, refusal.RetryAfterUnavailable)
			t.Logf("%-36s %+v", "half of the remaining time", got)
			g.Expect(got.unserved).To(BeNumerically("<=", most.unserved))
			g.Expect(got.shed).To(BeNumerically("<=", most.shed))
			g.Expect(got.busiest).To(BeNumerically("<=", most.busiest))
			g.Expect(got.waited).To(BeNumerically("<=", most.waited))
		})
	}
}

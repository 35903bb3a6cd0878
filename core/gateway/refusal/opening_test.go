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

// A service all of whose targets turn everything away for a while and ask for back-off, before clients
// that come back when they are asked to, as long as they can still be served in time.
const (
	openGateways = 18
	openTargets  = 10
	openRoom     = 6    // requests at once from which on a target sheds
	openRate     = 80.0 // requests a second
	openWork     = 90 * time.Millisecond
	openAsk      = 3 * time.Second
	needBegins   = 4 * time.Second
	needEnds     = 8 * time.Second
	openFor      = 24 * time.Second
)

// comeBack is when a client should come back that was refused since nothing opens for some time.
type comeBack func(opensIn, left time.Duration, draw float64) time.Duration

// coming is a client that comes, or the end of its request at a target.
type coming struct {
	at, until, began time.Duration // until when the client waits
	ends             int           // the target of a request that ends; below 0 for a client
}

type comings []coming

func (c comings) Len() int           { return len(c) }
func (c comings) Less(i, j int) bool { return c[i].at < c[j].at }
func (c comings) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *comings) Push(x any)        { *c = append(*c, x.(coming)) }
func (c *comings) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// opening is what such a service and its clients do.
type opening struct {
	comeBack comeBack
	random   *rand.Rand
	next     comings
	running  [openTargets]int
	windows  [openGateways][openTargets]backoff.Window

	clients, unserved, shed int
	waited                  time.Duration
	// busiest is the most requests that all targets got in a tenth of a second once the need was over.
	busiest int
	tenths  map[int]int
}

func playOpening(seed uint64, patience time.Duration, p comeBack) *opening {
	o := &opening{comeBack: p, random: rand.New(rand.NewPCG(seed, 5)), tenths: map[int]int{}}
	for at := time.Duration(0); at < openFor-8*time.Second; at += time.Duration(o.random.ExpFloat64() / openRate * float64(time.Second)) {
		o.clients++
		heap.Push(&o.next, coming{at: at, began: at, until: at + patience, ends: -1})
	}
	for len(o.next) > 0 {
		c := heap.Pop(&o.next).(coming)
		if c.ends >= 0 {
			o.running[c.ends]--
			continue
		}
		o.serve(c)
	}
	for tenth, count := range o.tenths {
		if tenth >= int(needEnds/(100*time.Millisecond)) {
			o.busiest = max(o.busiest, count)
		}
	}
	return o
}

// serve sends a client's request twice at most, as long as there is a target that did not ask for back-off.
func (o *opening) serve(c coming) {
	gateway := o.random.IntN(openGateways)
	now := time.Unix(0, 0).Add(c.at)
	opensIn := openAsk
	for range 2 {
		target := -1
		for _, i := range o.random.Perm(openTargets) {
			left := o.windows[gateway][i].Left(now)
			opensIn = min(opensIn, left)
			if left == 0 && (target < 0 || o.running[i] < o.running[target]) {
				target = i
			}
		}
		if target < 0 {
			break
		}
		o.tenths[int(c.at/(100*time.Millisecond))]++
		if !(c.at >= needBegins && c.at < needEnds) && o.running[target] < openRoom {
			o.running[target]++
			o.waited += c.at - c.began
			heap.Push(&o.next, coming{at: c.at + openWork, ends: target})
			return
		}
		o.shed++
		o.windows[gateway][target].Ask(now, openAsk)
	}
	back := c.at + o.comeBack(opensIn, c.until-c.at, o.random.Float64())
	if back+openWork > c.until {
		o.unserved++
		return
	}
	heap.Push(&o.next, coming{at: back, began: c.began, until: c.until, ends: -1})
}

// returns are what clients met on average, of all clients.
type returns struct {
	unserved, shed float64
	// busiest is the most that targets got in a tenth of a second, of the usual.
	busiest float64
	waited  time.Duration
}

func playReturns(patience time.Duration, way comeBack) (r returns) {
	const seeds = 20
	for seed := range uint64(seeds) {
		o := playOpening(seed, patience, way)
		all := float64(o.clients) * seeds
		r.unserved += float64(o.unserved) / all
		r.shed += float64(o.shed) / all
		r.busiest += float64(o.busiest) / (openRate / 10) / seeds
		r.waited += time.Duration(float64(o.waited) / all)
	}
	return r
}

// Clients that are refused while all targets are in back-off don't come at one moment when it ends.
func TestClientsComeBackSpreadOnceTargetsOpen(t *testing.T) {
	ways := map[string]comeBack{
		"what is left of a third": func(opensIn, left time.Duration, draw float64) time.Duration {
			return opensIn + time.Duration(draw*float64(max(left/3-opensIn, 150*time.Millisecond)))
		},
		"a third more": func(opensIn, left time.Duration, draw float64) time.Duration {
			return opensIn + time.Duration(draw*float64(max(min(left/3, (left-opensIn)/2), 150*time.Millisecond)))
		},
		"most of the rest": func(opensIn, left time.Duration, draw float64) time.Duration {
			return opensIn + time.Duration(draw*0.8*float64(max(left-opensIn, 150*time.Millisecond)))
		},
		"as long as the rest of the back-off": func(opensIn, left time.Duration, draw float64) time.Duration {
			return opensIn + time.Duration(draw*float64(max(min(opensIn, (left-opensIn)/2), 150*time.Millisecond)))
		},
	}
	for patience, most := range map[time.Duration]returns{
		2 * time.Second:  {unserved: 0.265, shed: 0.275, busiest: 4, waited: 200 * time.Millisecond},
		6 * time.Second:  {unserved: 0.017, shed: 0.26, busiest: 5, waited: 1200 * time.Millisecond},
		10 * time.Second: {unserved: 0, shed: 0.25, busiest: 4, waited: 1400 * time.Millisecond},
		30 * time.Second: {unserved: 0, shed: 0.23, busiest: 3, waited: 2600 * time.Millisecond},
	} {
		t.Run(patience.String(), func(t *testing.T) {
			g := NewWithT(t)
			for name, way := range ways {
				t.Logf("%-36s %+v", name, playReturns(patience, way))
			}
			got := playReturns(patience, refusal.AfterOpening)
			t.Logf("%-36s %+v", "half of the rest", got)
			g.Expect(got.unserved).To(BeNumerically("<=", most.unserved))
			g.Expect(got.shed).To(BeNumerically("<=", most.shed))
			g.Expect(got.busiest).To(BeNumerically("<=", most.busiest))
			g.Expect(got.waited).To(BeNumerically("<=", most.waited))
		})
	}
}

package gateway_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

// exposureShare and exposureSlack bound what a bad version may get.
const (
	exposureShare = 0.1
	exposureSlack = 50
)

// rollout is a deployment whose service gets a new version.
type rollout struct {
	*deployment
	next []*targetServer // of the new version
}

// rolloutWork is how long targets of both versions take.
const rolloutWork = 2 * time.Millisecond

// newRollout starts gateways, then orders the new version.
func newRollout(t *testing.T, gateways int, fails bool) *rollout {
	t.Helper()
	r := newBeforeRollout(t, gateways)
	r.order(t, fails)
	return r
}

// newBeforeRollout starts gateways without an order.
func newBeforeRollout(t *testing.T, gateways int) *rollout {
	t.Helper()
	return &rollout{deployment: newDeploymentWith(t, gateways, rolloutWork, storetest.Object{"rollout": storetest.Object{
		"exposure_share": exposureShare, "exposure_slack": exposureSlack, "rollback_within_s": 5,
	}})}
}

// order orders the new version and starts targets of it.
func (r *rollout) order(t *testing.T, fails bool) {
	t.Helper()
	r.store.Put(storetest.Rollouts, "shop", storetest.Object{"service": "shop", "targetVersion": "v2", "durationS": 10})
	for i := range 3 {
		b := newTargetServer(t, fmt.Sprint("i-next-", i), &r.runs, rolloutWork)
		b.fails.Store(fails)
		r.next = append(r.next, b)
		entry := storetest.ServerEntry("shop", b.address(), "ready")
		entry["information"].(storetest.Object)["version"] = "v2"
		r.store.Put(storetest.Servers, b.id, entry)
	}
}

// state is what the store holds of the rollout.
func (r *rollout) state() string {
	status, _ := r.store.Status(storetest.Rollouts, "shop").(map[string]any)
	state, _ := status["state"].(string)
	return state
}

// killDecider kills the gateway that decides as soon as the rollout runs, and starts it
// again.
func (r *rollout) killDecider(g *WithT) {
	g.Eventually(r.state, eventual).Should(Equal("running"))
	decider := r.readerOf(g)
	decider.signal(syscall.SIGKILL)
	_ = decider.wait() // it ends as it was killed
	decider.start()
}

// arrivals are those at some targets, active what they work on.
func arrivals(targets []*targetServer) (sum int64) {
	for _, b := range targets {
		sum += b.arrivals.Load()
	}
	return sum
}

func active(targets []*targetServer) (sum int64) {
	for _, b := range targets {
		sum += b.active.Load()
	}
	return sum
}

func TestAGoodVersionTakesOverThroughTheDeathOfTheDecider(t *testing.T) {
	g := NewWithT(t)
	r := newRollout(t, 3, false)
	tr := r.traffic(6)
	r.killDecider(g)
	g.Eventually(r.state, eventual, time.Millisecond).Should(Equal("completed"))
	g.Expect(active(r.targets)).To(BeZero(), "the targets of the version before may be stopped at once")
	before := arrivals(r.targets)
	tr.progress(g)
	g.Expect(arrivals(r.targets)).To(Equal(before))
	g.Expect(arrivals(r.next)).To(BeNumerically(">", 0))
	tr.end(t)
}

func TestABadVersionIsRolledBackThroughTheDeathOfTheDecider(t *testing.T) {
	g := NewWithT(t)
	r := newRollout(t, 3, true)
	tr := r.traffic(6)
	r.killDecider(g)
	g.Eventually(r.state, eventual).Should(Equal("rolled_back"))
	g.Eventually(func() bool {
		before := arrivals(r.next)
		tr.progress(g)
		return arrivals(r.next) == before
	}, eventual).Should(BeTrue())
	exposed, all := arrivals(r.next), arrivals(r.next)+arrivals(r.targets)
	g.Expect(float64(exposed)).To(BeNumerically("<=", exposureShare*float64(all)+exposureSlack))
	tr.end(t)
}

// Guards against a roll-back that no gateway can read, because the order's age was not known.
func TestAnOrderFromBeforeAllGatewaysStartedIsRolledBackForGood(t *testing.T) {
	g := NewWithT(t)
	r := newBeforeRollout(t, 3)
	killAll(r.gateways)
	r.order(t, false)
	startAll(g, r.gateways)
	g.Eventually(r.state, eventual).Should(Equal("rolled_back"))
	killAll(r.gateways)
	startAll(g, r.gateways)
	tr := r.traffic(6)
	tr.progress(g)
	tr.end(t)
	g.Expect(arrivals(r.next)).To(BeZero())
}

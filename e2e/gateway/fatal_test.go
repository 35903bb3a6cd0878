package gateway_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

// fatalPath is the path of the request that ends its targets.
const fatalPath = "/read/fatal"

// makeFragile puts more targets into service, and has all end when they run the fatal
// request.
func (d *deployment) makeFragile(t *testing.T, more int) {
	t.Helper()
	for i := range more {
		b := newTargetServer(t, fmt.Sprint("i-more-", i), &d.runs, 0)
		d.targets = append(d.targets, b)
		d.store.Put(storetest.Servers, b.id, storetest.ServerEntry("shop", b.address(), "ready"))
	}
	for _, b := range d.targets {
		b.fatal = func(r *http.Request) bool { return r.URL.Path == fatalPath+"x" }
	}
}

// ended counts the targets that have ended.
func (d *deployment) ended() (n int) {
	for _, b := range d.targets {
		if b.ended.Load() {
			n++
		}
	}
	return n
}

// logged is all that a gateway has logged.
func (p *process) logged() (string, error) {
	raw, err := os.ReadFile(p.log)
	return string(raw), err
}

// sendFatal sends the fatal request a number of times, each time to another gateway, and
// returns the last status.
func (d *deployment) sendFatal(t *testing.T, times int) (last int) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	for i := range times {
		status, _, err := d.call(client, d.gateways[i%len(d.gateways)], http.MethodGet, fatalPath, fmt.Sprint("fatal-", d.attempts.Add(1)))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		last = status
	}
	return last
}

// After three targets have ended under one request it reaches three more at most,
// whichever gateways its caller repeats it at: here each at another one, and each as soon
// as the one before was answered, so that word of a target that ended has some
// milliseconds. forward's tests tell the story.
func TestARequestThatEndsItsTargetsReachesFewMoreFromAllGatewaysTogether(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, 4, 0)
	d.makeFragile(t, 20)
	for _, p := range d.gateways {
		g.Eventually(p.logged, eventual).Should(ContainSubstring("i-more-19"))
	}
	client := &http.Client{Transport: &http.Transport{}}
	last := d.sendFatal(t, 24)
	g.Expect(d.ended()).To(BeNumerically("<=", 3+3))
	g.Expect(last).To(Equal(http.StatusServiceUnavailable))
	for i, p := range d.gateways {
		status, _, err := d.call(client, p, http.MethodGet, "/read/", fmt.Sprint("innocent-", i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
	}
}

// A fleet that loses all of its processes at once knows a quarantined request again, by the
// store, and one that starts while the store is away by the others.
func TestAQuarantineOutlivesAllGatewaysAndReachesOnesThatStart(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, 3, 0)
	d.makeFragile(t, 6)
	for _, p := range d.gateways {
		g.Eventually(p.logged, eventual).Should(ContainSubstring("i-more-5"))
	}
	g.Expect(d.sendFatal(t, 6)).To(Equal(http.StatusServiceUnavailable))
	ended := d.ended()
	g.Eventually(func() bool { return d.store.Has(storetest.Saved, "quarantine") }, eventual).Should(BeTrue())

	d.restart(t, d.gateways...)
	g.Expect(d.sendFatal(t, 6)).To(Equal(http.StatusServiceUnavailable))
	g.Expect(d.ended()).To(Equal(ended))

	d.store.Fail(http.StatusServiceUnavailable)
	d.restart(t, d.gateways[0])
	g.Expect(d.sendFatal(t, 6)).To(Equal(http.StatusServiceUnavailable))
	g.Expect(d.ended()).To(Equal(ended))
}

// restart kills some gateways at the same moment, and starts them again. It returns once
// they are ready and have heard of what is quarantined.
func (d *deployment) restart(t *testing.T, gateways ...*process) {
	t.Helper()
	g := NewWithT(t)
	killAll(gateways)
	for _, p := range gateways {
		g.Expect(os.Truncate(p.log, 0)).To(Succeed())
	}
	startAll(g, gateways)
	for _, p := range gateways {
		g.Eventually(p.logged, eventual).Should(ContainSubstring("request quarantined"))
	}
}

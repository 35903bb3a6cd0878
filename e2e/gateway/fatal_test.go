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

// After three targets have ended under one request it reaches three more at most,
// whichever gateways its caller repeats it at: here each at another one, and each as soon
// as the one before was answered, so that word of a target that ended has some
// milliseconds. forward's tests tell the story.
func TestARequestThatEndsItsTargetsReachesFewMoreFromAllGatewaysTogether(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, 4, 0)
	d.makeFragile(t, 20)
	for _, p := range d.gateways {
		g.Eventually(func() (string, error) {
			raw, err := os.ReadFile(p.log)
			return string(raw), err
		}, eventual).Should(ContainSubstring("i-more-19"))
	}
	client := &http.Client{Transport: &http.Transport{}}
	var last int
	for i := range 24 {
		status, _, err := d.call(client, d.gateways[i%len(d.gateways)], http.MethodGet, fatalPath, fmt.Sprint("fatal-", i))
		g.Expect(err).NotTo(HaveOccurred())
		last = status
	}
	g.Expect(d.ended()).To(BeNumerically("<=", 3+3))
	g.Expect(last).To(Equal(http.StatusServiceUnavailable))
	for i, p := range d.gateways {
		status, _, err := d.call(client, p, http.MethodGet, "/read/", fmt.Sprint("innocent-", i))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
	}
}

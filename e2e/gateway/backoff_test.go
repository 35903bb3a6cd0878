package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// backOffGrace is how long after a target asked a gateway for back-off the users' bound
	// begins to hold, and backOffExtra how many requests may come until its end.
	backOffGrace = 500 * time.Millisecond
	backOffExtra = 2
)

// refusing is a target that turns every request away and asks for back-off.
type refusing struct {
	lasts time.Duration

	mu sync.Mutex
	// asked is when the one gateway was last asked, got what came since, and most the most that
	// came while one back-off lasted.
	asked time.Time
	got   int
	most  int
}

// turnAway counts a request and returns the Retry-After of its answer.
func (r *refusing) turnAway(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch since := now.Sub(r.asked); {
	case since > r.lasts:
		r.asked, r.got = now, 0
	case since > backOffGrace:
		r.got++
		r.most = max(r.most, r.got)
	}
	return fmt.Sprint(r.lasts.Seconds())
}

func (r *refusing) mostInBackOff() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.most
}

// A target that turned a gateway away with 503 and Retry-After got 14 requests of it in that time.
func TestATargetThatAsksForBackOffGetsNoRequestsMeanwhile(t *testing.T) {
	g := NewWithT(t)
	d := newDeployment(t, 1, 0)
	r := &refusing{lasts: 3 * time.Second}
	d.targets[0].refusing.Store(r)
	client := &http.Client{Transport: &http.Transport{}}
	for end := time.Now().Add(2 * r.lasts); time.Now().Before(end); {
		status, _, err := d.call(client, d.gateways[0], http.MethodGet, "/read/", fmt.Sprint("back-off-", d.attempts.Add(1)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect(r.mostInBackOff()).To(BeNumerically("<=", backOffExtra))
}

// A target said in its answers that it leaves, its entry did not, and it got requests on and on.
func TestATargetThatSaysThatItLeavesGetsNoMoreRequests(t *testing.T) {
	const (
		drainTimeout = 2 * time.Second
		after        = 2 * time.Second
	)
	g := NewWithT(t)
	d := newDeployment(t, 1, 0)
	client := &http.Client{Transport: &http.Transport{}}
	leaving := d.targets[0]
	send := func() {
		status, _, err := d.call(client, d.gateways[0], http.MethodGet, "/read/", fmt.Sprint("leaving-", d.attempts.Add(1)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(http.StatusOK))
	}
	leaving.leaving.Store(true)
	for leaving.sentLeaving.Load() == 0 {
		send()
	}
	time.Sleep(drainTimeout)
	before := leaving.arrivals.Load()
	for end := time.Now().Add(after); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		send()
	}
	g.Expect(leaving.arrivals.Load()).To(Equal(before))
}

package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/faultproxy"
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
	// sender returns the gateway that sends from an address; nil for one gateway alone.
	sender func(address string) faultproxy.Origin

	mu     sync.Mutex
	asking map[faultproxy.Origin]*asking
	most   int // requests of one gateway that came while one back-off lasted
	// relayed counts the requests that did not come from the gateway that their id begins with.
	relayed int
}

// asking is a back-off that a gateway was asked for, and what came of it since.
type asking struct {
	at  time.Time
	got int
}

// turnAway counts a request and returns the Retry-After of its answer.
func (r *refusing) turnAway(now time.Time, address, id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var from faultproxy.Origin
	if r.sender != nil {
		from = r.sender(address)
	}
	if !strings.HasPrefix(id, from.Name) {
		r.relayed++
	}
	if r.asking == nil {
		r.asking = map[faultproxy.Origin]*asking{}
	}
	asked, ok := r.asking[from]
	switch {
	case !ok || now.Sub(asked.at) > r.lasts:
		r.asking[from] = &asking{at: now}
	case now.Sub(asked.at) > backOffGrace:
		asked.got++
		r.most = max(r.most, asked.got)
	}
	return fmt.Sprint(r.lasts.Seconds())
}

func (r *refusing) countRelayed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relayed
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

// A target in back-off got requests that were relayed to a gateway that it had asked.
func TestTargetInBackOffGetsNoRelayedRequestsMeanwhile(t *testing.T) {
	const clients = 4 // of each gateway
	g := NewWithT(t)
	d := newDeployment(t, 3, time.Millisecond)
	ways := d.behindProxies(t)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	send := func(p *process) int {
		status, _, err := d.call(client, p, http.MethodGet, "/read/", fmt.Sprint(p.id, "-", d.attempts.Add(1)))
		g.Expect(err).NotTo(HaveOccurred())
		return status
	}
	cutOff := faultproxy.Fault{HoldRequests: true, HoldAnswers: true, Origins: []string{d.gateways[0].id}}
	for _, way := range ways {
		way.Set(cutOff)
	}
	g.Eventually(func() int { return send(d.gateways[0]) }, eventual).Should(Equal(http.StatusOK))
	r := &refusing{lasts: 3 * time.Second, sender: ways[0].OriginOf}
	for _, b := range d.targets[1:] { // the one in back-off looks better
		b.full.Store(true)
	}
	d.targets[0].refusing.Store(r)
	var sending sync.WaitGroup
	for _, p := range d.gateways[:2] {
		for range clients {
			sending.Go(func() {
				for began := time.Now(); time.Since(began) < 2*r.lasts; time.Sleep(5 * time.Millisecond) {
					_ = send(p)
				}
			})
		}
	}
	time.Sleep(r.lasts)
	for _, way := range ways {
		way.Set(faultproxy.Fault{})
	}
	sending.Wait()
	g.Expect(r.mostInBackOff()).To(BeNumerically("<=", backOffExtra))
	g.Expect(r.countRelayed()).To(BeNumerically(">", 0))
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

package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

// Guards against orders that a gateway takes late in its planned stop, passes on, and cuts at
// the end of it.
func TestAPlannedStopCutsNoOrderThatItPassedOn(t *testing.T) {
	const (
		work   = 5 * time.Second
		within = 8.0 // seconds
	)
	g := NewWithT(t)
	d := newDeploymentWith(t, 1, work, storetest.Object{"stop_within_s": within})
	p := d.gateways[0]
	g.Eventually(p.ready, eventual).Should(BeTrue())
	order := func(id string) (status int, err error) {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		status, _, err = d.call(client, p, http.MethodPost, "/book/", id)
		return status, err
	}
	var before sync.WaitGroup
	for i := range 4 {
		before.Go(func() {
			status, err := order(fmt.Sprint("before-", i))
			if err != nil || status != http.StatusOK {
				t.Errorf("before the stop: status %d, %v", status, err)
			}
		})
	}
	before.Wait()
	p.signal(syscall.SIGTERM)
	g.Eventually(p.ready, eventual).Should(BeFalse())
	var during sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for i := range 30 {
		during.Go(func() {
			id := fmt.Sprint("during-", i)
			status, err := order(id)
			_, ran := d.runs.Load(id)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil && !ran: // nothing listens any more
				ends["no connection"]++
			case err != nil:
				t.Errorf("%s ran and got no answer: %v", id, err)
			case status == http.StatusOK && ran:
				ends["served"]++
			case status == http.StatusServiceUnavailable && !ran:
				ends["refused"]++
			default:
				t.Errorf("%s: status %d, ran %v", id, status, ran)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	during.Wait()
	g.Expect(p.wait()).To(Succeed())
	t.Log(ends)
	g.Expect(ends["served"]).To(BeNumerically(">", 0), "those that can be expected to end are served")
	g.Expect(ends["refused"]).To(BeNumerically(">", 0))
}

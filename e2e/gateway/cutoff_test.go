package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/faultproxy"
	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

// contactTime is how long after a cut began the users' bound on cut-off gateways begins to hold.
const contactTime = 3 * time.Second

// behindProxies puts a proxy before each target of a deployment, as another target.
func (d *deployment) behindProxies(t *testing.T) (ways []*faultproxy.Proxy) {
	t.Helper()
	gateways := &origins{processes: func() map[int]faultproxy.Origin {
		processes := map[int]faultproxy.Origin{}
		for _, p := range d.gateways {
			processes[p.command.Process.Pid] = faultproxy.Origin{Name: p.id}
		}
		return processes
	}}
	for i, b := range d.targets {
		d.store.Remove(storetest.Servers, b.id)
		b.http.CloseClientConnections()
		b.http.Close()
		d.targets[i] = newTargetServer(t, "i-behind-"+b.id, &d.runs, b.work)
		way, err := faultproxy.NewWithOrigins(d.targets[i].address(), gateways.of)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(way.Close)
		d.store.Put(storetest.Servers, d.targets[i].id, storetest.ServerEntry("shop", way.Address(), "ready"))
		ways = append(ways, way)
	}
	return ways
}

// Clients of a gateway that lost its links to all targets were refused while the other gateways served theirs.
func TestClientsOfAGatewayCutOffFromTargetsAreServed(t *testing.T) {
	const requests = 60
	for name, c := range map[string]struct {
		fault faultproxy.Fault
		reset bool // open connections
		cut   int  // of three gateways
	}{
		"connections hang":            {fault: faultproxy.Fault{HoldRequests: true, HoldAnswers: true}, cut: 1},
		"two of three gateways":       {fault: faultproxy.Fault{HoldRequests: true, HoldAnswers: true}, cut: 2},
		"requests alone are lost":     {fault: faultproxy.Fault{HoldRequests: true}, cut: 1},
		"answers alone are lost":      {fault: faultproxy.Fault{HoldAnswers: true}, cut: 1},
		"connections are reset":       {fault: faultproxy.Fault{Refuse: true}, reset: true, cut: 1},
		"new connections are refused": {fault: faultproxy.Fault{Refuse: true}, cut: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := newDeployment(t, 3, 5*time.Millisecond)
			ways := d.behindProxies(t)
			client := &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
			t.Cleanup(client.CloseIdleConnections)
			send := func(p *process, method, path string) int {
				id := fmt.Sprint("cut-off-", d.attempts.Add(1))
				status, body, err := d.call(client, p, method, path, id)
				runs, _ := d.runs.LoadOrStore(id, &atomic.Int32{})
				n := runs.(*atomic.Int32).Load()
				if path == "/book/" {
					g.Expect(n).To(BeNumerically("<=", 1), "at most once")
				}
				if err == nil && status == http.StatusServiceUnavailable {
					g.Expect(n).To(BeZero(), "a 503 has not run")
				}
				if err != nil || status != http.StatusOK {
					return 0
				}
				g.Expect(body).To(Equal("answer to " + id))
				return 1
			}
			for _, p := range d.gateways {
				g.Eventually(func() int { return send(p, http.MethodGet, "/read/") }, eventual).Should(Equal(1))
			}
			for _, p := range d.gateways[:c.cut] {
				c.fault.Origins = append(c.fault.Origins, p.id)
			}
			for _, way := range ways {
				way.Set(c.fault)
				if c.reset {
					way.ResetOf(c.fault.Origins)
				}
			}
			sendMany := func(at []*process) (served int) {
				results := make(chan int, requests)
				for i := range requests {
					method, path := http.MethodGet, "/read/"
					if i%2 == 0 {
						method, path = http.MethodPost, "/book/"
					}
					go func() { results <- send(at[i%len(at)], method, path) }()
					time.Sleep(contactTime / requests)
				}
				for range requests {
					served += <-results
				}
				return served
			}
			_ = sendMany(d.gateways[:c.cut])
			served, others := sendMany(d.gateways[:c.cut]), sendMany(d.gateways[c.cut:])
			t.Logf("served %d of %d, at the others %d", served, requests, others)
			g.Expect(others).To(Equal(requests))
			g.Expect(served).To(BeNumerically(">=", requests*2/3), "two thirds as often as at the others")
			for _, way := range ways {
				way.Set(faultproxy.Fault{})
			}
			g.Eventually(func() int { return send(d.gateways[0], http.MethodPost, "/book/") }, eventual).Should(Equal(1), "healed")
		})
	}
}

// A gateway that reached one target, which was full, refused what others had room for.
func TestAGatewayThatReachesFewTargetsUsesTheRoomOfOthers(t *testing.T) {
	const requests = 12
	g := NewWithT(t)
	d := newDeployment(t, 2, 5*time.Millisecond)
	ways := d.behindProxies(t)
	client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	send := func(p *process) int {
		status, _, err := d.call(client, p, http.MethodPost, "/book/", fmt.Sprint("few-", d.attempts.Add(1)))
		if err != nil {
			return 0
		}
		return status
	}
	for _, p := range d.gateways {
		g.Eventually(func() int { return send(p) }, eventual).Should(Equal(http.StatusOK))
	}
	d.targets[2].full.Store(true)
	for _, way := range ways[:2] {
		way.Set(faultproxy.Fault{HoldRequests: true, HoldAnswers: true, Origins: []string{d.gateways[0].id}})
	}
	served := func() (n int) {
		for range requests {
			if send(d.gateways[0]) == http.StatusOK {
				n++
			}
		}
		return n
	}
	g.Eventually(served, eventual).Should(BeNumerically(">=", requests*2/3))
	g.Expect(served()).To(BeNumerically(">=", requests*2/3))
}

package gateway_test

import (
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/faultproxy"
	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

// patience is how long a client waits for an answer.
const patience = 300 * time.Millisecond

// A request that was given up while the way to its target was cut reached the target after the cut.
func TestAbandonedRequestDoesNotArriveAfterACut(t *testing.T) {
	for name, abandon := range map[string]func(g *WithT, d *deployment, client *http.Client, id string){
		"its client left": func(g *WithT, d *deployment, client *http.Client, id string) {
			client.Timeout = patience
			if _, _, err := d.call(client, d.gateways[0], http.MethodPost, "/book/", id); err != nil {
				g.Eventually(func() ([]byte, error) { return os.ReadFile(d.gateways[0].log) }, eventual).Should(ContainSubstring(id), "the gateway has given it up")
			}
		},
		"its gateway was killed": func(_ *WithT, d *deployment, client *http.Client, id string) {
			killed := time.AfterFunc(patience, func() { d.gateways[0].signal(syscall.SIGKILL) })
			status, _, _ := d.call(client, d.gateways[0], http.MethodPost, "/book/", id)
			if status == http.StatusOK && killed.Stop() {
				return
			}
			_ = d.gateways[0].wait()
			d.gateways[0].start()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := newDeployment(t, 1, 0)
			target := newTargetServer(t, "i-behind-a-cut", &d.runs, 0)
			way, err := faultproxy.New(target.address())
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(way.Close)
			d.store.Put(storetest.Servers, target.id, storetest.ServerEntry("shop", way.Address(), "ready"))
			cut := func() { way.Set(faultproxy.Fault{HoldRequests: true}) }
			isRun := func(id string) bool {
				runs, ran := d.runs.Load(id)
				return ran && runs.(*atomic.Int32).Load() > 0
			}
			client := &http.Client{Transport: &http.Transport{}}
			t.Cleanup(client.CloseIdleConnections)
			id := ""
			g.Eventually(func() bool { // the target is chosen, and the way to it is cut right then
				g.Eventually(d.gateways[0].ready, eventual).Should(BeTrue())
				id = fmt.Sprint("abandoned-", d.attempts.Add(1))
				way.Set(faultproxy.Fault{})
				target.probed.Store(&cut)
				abandon(g, d, client, id)
				target.probed.Store(nil)
				return isRun(id)
			}, eventual).Should(BeFalse())
			way.Set(faultproxy.Fault{})
			before := target.arrivals.Load()
			g.Eventually(func() int64 {
				_, _, _ = d.call(http.DefaultClient, d.gateways[0], http.MethodPost, "/book/", fmt.Sprint("later-", d.attempts.Add(1)))
				return target.arrivals.Load()
			}, eventual).Should(BeNumerically(">", before+1))
			g.Consistently(func() bool { return isRun(id) }).Should(BeFalse())
		})
	}
}

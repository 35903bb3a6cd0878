package gateway_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

// evacuableDeployment has a target in the hall of the gateways, which goes before the
// others and can be evacuated.
func evacuableDeployment(t *testing.T, gateways int) (d *deployment, lone *targetServer) {
	t.Helper()
	d = newDeploymentWith(t, gateways, time.Millisecond, storetest.Object{"evacuate_within_s": 5, "hall": "hall-b"})
	lone = newTargetServer(t, "i-lone", &d.runs, time.Millisecond)
	d.store.Put(storetest.Servers, lone.id, storetest.ServerEntryIn("hall-b", "shop", lone.address(), "ready"))
	return d, lone
}

// gets says whether requests through a gateway still reach a target: by its count of
// arrivals over some of them.
func (b *targetServer) gets(d *deployment, p *process) bool {
	before := b.arrivals.Load()
	for n := range 30 {
		_, _, _ = d.call(http.DefaultClient, p, http.MethodGet, "/read/", fmt.Sprint("evacuation-", time.Now().UnixNano(), "-", n))
	}
	return b.arrivals.Load() > before
}

func TestAnEvacuationUnderLoadHoldsThroughTheDeathOfTheReader(t *testing.T) {
	g := NewWithT(t)
	d, lone := evacuableDeployment(t, 3)
	for _, p := range d.gateways {
		g.Eventually(func() bool { return lone.gets(d, p) }, eventual).Should(BeTrue())
	}
	tr := d.traffic(6)
	tr.progress(g)
	reader := d.readerOf(g)
	d.store.Put(storetest.Evacuations, "hall-b", storetest.Object{})
	reader.signal(syscall.SIGKILL)
	_ = reader.wait()
	for _, p := range d.gateways {
		if p != reader {
			g.Eventually(func() bool { return lone.gets(d, p) }, eventual).Should(BeFalse())
		}
	}
	reader.start() // it begins while the hall is evacuated
	g.Eventually(reader.ready, eventual).Should(BeTrue())
	before := lone.arrivals.Load()
	tr.progress(g)
	g.Expect(lone.arrivals.Load()).To(Equal(before), "not even the first requests of one that has just begun")
	d.store.Remove(storetest.Evacuations, "hall-b")
	for _, p := range d.gateways {
		g.Eventually(func() bool { return lone.gets(d, p) }, eventual).Should(BeTrue(), "taken back")
	}
	tr.end(t)
}

func TestAnEvacuationDuringAnOutageHoldsAfterIt(t *testing.T) {
	g := NewWithT(t)
	d, lone := evacuableDeployment(t, 2)
	for _, p := range d.gateways {
		g.Eventually(func() bool { return lone.gets(d, p) }, eventual).Should(BeTrue())
	}
	d.store.Hang()
	d.store.Put(storetest.Evacuations, "hall-b", storetest.Object{})
	time.Sleep(500 * time.Millisecond)
	d.store.Recover()
	for _, p := range d.gateways {
		g.Eventually(func() bool { return lone.gets(d, p) }, eventual).Should(BeFalse())
	}
}

// readerOf finds the gateway that reads the store, by the logs.
func (d *deployment) readerOf(g *WithT) *process {
	var found *process
	g.Eventually(func() bool {
		for _, p := range d.gateways {
			raw, _ := os.ReadFile(p.log)
			if text := string(raw); strings.LastIndex(text, `"reads":true`) > strings.LastIndex(text, `"reads":false`) {
				found = p
				return true
			}
		}
		return false
	}, eventual).Should(BeTrue())
	return found
}

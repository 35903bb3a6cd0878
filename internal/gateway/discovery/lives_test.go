package discovery_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// setIncarnation writes a target's entry as one of its incarnations does.
func (s *fakeStore) setIncarnation(id string, born int64, address string, leaving bool) {
	s.change(func() {
		target := catalog.Target{ID: id, Service: "shop", Address: address, Born: born, Leaving: leaving}
		s.targets[id] = target
		s.changes = append(s.changes, catalog.Change{Revision: s.revision, Target: target})
	})
}

// routesTo reports whether a gateway sends requests to a target at an address, and to no
// other target of its id.
func (g *gateway) routesTo(id, address string) bool {
	var found []string
	for _, t := range g.Snapshot().Targets("shop") {
		if t.ID == id {
			found = append(found, t.Address)
		}
	}
	return len(found) == 1 && found[0] == address
}

// A target that left starts again under its id, three times within a second, while updates
// of its earlier incarnations still arrive. An entry without a start time is from another
// writer.
func TestFleetFollowsTargetIncarnations(t *testing.T) {
	onFleet(t, 12, 2, func(g *WithT, fleet *virtualFleet) {
		store := fleet.store
		for i := range 300 {
			store.setIncarnation(fmt.Sprint("t", i), 1, "10.0.0.1:80", false)
		}
		expect := func(want bool, address string) {
			t.Helper()
			time.Sleep(2 * time.Second)
			for _, gw := range fleet.gateways {
				g.Expect(gw.routesTo("t1", address)).To(Equal(want), "%s: %s", gw.Addr(), address)
			}
		}
		expect(true, "10.0.0.1:80")
		store.setIncarnation("t1", 1, "10.0.0.1:80", true)
		expect(false, "10.0.0.1:80")
		for born := int64(2); born < 5; born++ {
			store.setIncarnation("t1", born, fmt.Sprintf("10.0.0.%d:80", born), false)
			time.Sleep(300 * time.Millisecond)
		}
		store.setIncarnation("t1", 2, "10.0.0.2:80", true) // a late update
		expect(true, "10.0.0.4:80")
		store.setIncarnation("t1", 0, "10.0.0.9:80", false)
		expect(false, "10.0.0.4:80")
		expect(false, "10.0.0.9:80")
		store.setIncarnation("t1", 4, "10.0.0.4:80", false)
		expect(true, "10.0.0.4:80")
	})
}

// A target that signalled in a response that it leaves receives no more requests from that
// gateway, even if its entry is written again without that state; a new incarnation does.
func TestLeavingTargetIsRemovedUntilItRestarts(t *testing.T) {
	g := NewWithT(t)
	store := newFilledStore()
	store.setIncarnation("t1", 1, "10.0.0.1:80", false)
	gw := fleet(t, store, 1)[0]
	g.Eventually(func() bool { return gw.routesTo("t1", "10.0.0.1:80") }, eventual).Should(BeTrue())
	leaving := catalog.Target{ID: "t1", Service: "shop", Born: 1}
	gw.Drain([]catalog.Life{leaving.Life()})
	g.Expect(gw.targets()).NotTo(ContainElement("t1"))
	g.Expect(gw.Snapshot().IsLeaving(leaving.Life())).To(BeTrue())

	store.setIncarnation("t1", 1, "10.0.0.2:80", false)
	store.setIncarnation("t2", 1, "10.0.0.3:80", false)
	g.Eventually(func() bool { return gw.routesTo("t2", "10.0.0.3:80") }, eventual).Should(BeTrue())
	g.Expect(gw.targets()).NotTo(ContainElement("t1"))

	store.setIncarnation("t1", 2, "10.0.0.4:80", false)
	g.Eventually(func() bool { return gw.routesTo("t1", "10.0.0.4:80") }, eventual).Should(BeTrue())
}

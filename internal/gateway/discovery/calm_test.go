package discovery_test

import (
	"fmt"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
)

// A gateway whose state is fresher than the caller's by one ping interval answers a waiting
// poll before a standby would read the store, although neither receives anything new.
func TestPollIsAnsweredBeforeCallersStateIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newVirtualFleet(t, 1, 0, (*access).source)
		defer time.Sleep(10 * time.Second) // until all goroutines of the bubble have ended
		defer fleet.stopAll()
		gw := fleet.gateways[0]
		conn, err := fleet.fabric.dialFrom("caller")(t.Context(), "tcp", gw.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		client := rpc.NewClient(conn)
		defer func() { _ = client.Close() }()
		var digest, reply discovery.UpdateReply
		g.Expect(client.Call("Feed.News", discovery.UpdateArgs{Digest: true}, &digest)).To(Succeed())
		time.Sleep(fleetTiming.PollWait) // it pings the store as long as others poll it
		gw.access.silent.Store(true)
		g.Expect(gw.Age()).To(BeNumerically("<", 4*fleetTiming.PingInterval/3))
		for gw.Age() < 4*fleetTiming.PingInterval/3 {
			time.Sleep(time.Millisecond)
		}
		age := gw.Age() + fleetTiming.PingInterval
		left := fleetTiming.StaleAfter - age
		poll := discovery.UpdateArgs{At: digest.Delta.To, Tries: digest.Tries, Digest: true, Age: age, Wait: 2 * left}
		g.Expect(client.Call("Feed.News", poll, &reply)).To(Succeed())
		t.Logf("answered after %v, of %v until the caller's state is stale", reply.Held, left)
		g.Expect(reply.Held).To(BeNumerically("<", left))
	})
}

// All random numbers are above the share of the gateways of a hall that link it to others:
// this happens 3 times in 100 in a hall of ten.
func TestHallIsLinkedToOthersForAnyRandomNumbers(t *testing.T) {
	g := NewWithT(t)
	var all []peers.Sighting
	for i := range 20 {
		all = append(all, peers.Sighting{Box: member.Box{ID: fmt.Sprint("box-", i), Peer: fmt.Sprint(i), Hall: fmt.Sprint("hall-", i/10), Start: 1}})
	}
	links := 0
	for _, own := range all[:10] {
		gw := discovery.New(discovery.Options{Self: own.Box, Timing: fleetTiming, Random: func() float64 { return 0.99 }})
		gw.ObserveSightings(all)
		if gw.DrawNeighbour(0).Hall == "hall-1" {
			links++
		}
	}
	g.Expect(links).To(Equal(5))
}

package grant_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/peer"
	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/box/grant"
	"github.com/sprucecrank/sprucecrank/internal/box/home"
)

var testService = &policy.Service{Name: "look", MaxQueue: 10, Targets: []policy.Target{{Address: "t0", Hall: "north", Slots: 3}}}

// newBroker returns the broker of a box that is not the home of the test service,
// and the box's own ledgers. The home is a server that answers by ask.
func newBroker(t *testing.T, ask func(peer.AskArgs) peer.AskReply) (*grant.Broker, *home.Home) {
	s, err := peer.NewServer(peer.Handlers{Ask: ask, Return: func(peer.ReturnArgs) {}, Reconcile: func(peer.ReconcileArgs) {}})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	members := grant.NewMembers(member.Box{ID: "self", Hall: "south"}, time.Now, nil)
	members.SetList([]member.Box{{ID: "home", Hall: "north", Peer: l.Addr().String()}})
	t.Cleanup(members.Close)
	own := home.New(home.Options{Clock: time.Now, Random: func() float64 { return 0.5 }})
	own.Configure([]*policy.Service{testService})
	return grant.New(grant.Options{Members: members, Home: own, Clock: time.Now, Log: slog.New(slog.DiscardHandler)}), own
}

func request() grant.Request {
	return grant.Request{Service: testService, Kind: &policy.Kind{Name: "k", Weight: 1, DeadlineMS: 1000}, Deadline: time.Now().Add(time.Second)}
}

func TestTargetThatTheHomeGrantsTwiceIsUsedAlthoughKnownAsLeaving(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int64
	broker, own := newBroker(t, func(peer.AskArgs) peer.AskReply {
		requests.Add(1)
		return peer.AskReply{State: ledger.Granted, Target: "t0"}
	})
	own.Leave("t0", 5) // the home has already observed start number 6
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	slot, failure := broker.Acquire(ctx, request())
	g.Expect(failure).To(BeNil())
	g.Expect(slot.Target()).To(Equal("t0"))
	g.Expect(requests.Load()).To(Equal(int64(2)))
}

func TestOwnLedgerDecidesWhenTheHomeIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	broker, _ := newBroker(t, func(peer.AskArgs) peer.AskReply { select {} })
	// The server answers pings, so only the deadline ends this request.
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, failure := broker.Acquire(ctx, request())
	g.Expect(failure.Reason()).To(BeEquivalentTo("deadline"))
	unreachable := grant.NewMembers(member.Box{ID: "self"}, time.Now, nil)
	unreachable.SetList([]member.Box{{ID: "home", Hall: "north", Peer: "127.0.0.1:1"}})
	own := home.New(home.Options{Clock: time.Now, Random: func() float64 { return 0.5 }})
	own.Configure([]*policy.Service{testService})
	isolated := grant.New(grant.Options{Members: unreachable, Home: own, Clock: time.Now, Log: slog.New(slog.DiscardHandler)})
	slot, failure := isolated.Acquire(t.Context(), request())
	g.Expect(failure).To(BeNil())
	g.Expect(slot.Home()).To(Equal("self"))
}

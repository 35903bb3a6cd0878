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

// newBroker makes the broker of a box whose service has another box as home;
// that box answers asks by ask.
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
	var asks atomic.Int64
	broker, own := newBroker(t, func(peer.AskArgs) peer.AskReply {
		asks.Add(1)
		return peer.AskReply{State: ledger.Granted, Target: "t0"}
	})
	own.Leave("t0", 5) // the home has seen start number 6 already
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	slot, failure := broker.Acquire(ctx, request())
	g.Expect(failure).To(BeNil())
	g.Expect(slot.Target()).To(Equal("t0"))
	g.Expect(asks.Load()).To(Equal(int64(2)))
}

func TestOwnLedgerDecidesWhenTheHomeIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	broker, _ := newBroker(t, func(peer.AskArgs) peer.AskReply { select {} })
	// The stand-in answers pings, so only the deadline ends this ask.
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, failure := broker.Acquire(ctx, request())
	g.Expect(failure.Reason()).To(BeEquivalentTo("deadline"))
	gone := grant.NewMembers(member.Box{ID: "self"}, time.Now, nil)
	gone.SetList([]member.Box{{ID: "home", Hall: "north", Peer: "127.0.0.1:1"}})
	own := home.New(home.Options{Clock: time.Now, Random: func() float64 { return 0.5 }})
	own.Configure([]*policy.Service{testService})
	alone := grant.New(grant.Options{Members: gone, Home: own, Clock: time.Now, Log: slog.New(slog.DiscardHandler)})
	slot, failure := alone.Acquire(t.Context(), request())
	g.Expect(failure).To(BeNil())
	g.Expect(slot.Home()).To(Equal("self"))
}

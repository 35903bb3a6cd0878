package rpclink_test

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/gateway/rpclink"
)

// Gateway replies after a delay.
type Gateway struct{ delay time.Duration }

// Decides replies to any request.
func (g *Gateway) Decides(_ int, reply *bool) error {
	time.Sleep(g.delay)
	*reply = true
	return nil
}

func call(t *testing.T, delay time.Duration) (decides bool, err error) {
	t.Helper()
	server := rpc.NewServer()
	if err := server.Register(&Gateway{delay: delay}); err != nil {
		t.Fatal(err)
	}
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go server.ServeConn(far)
		return near, nil
	}
	link := rpclink.New(dial, 100*time.Millisecond)
	defer link.Close()
	return rpclink.Call[bool](t.Context(), link, "10.0.0.7:7000", "Gateway.Decides", 1)
}

func TestLateReplyIsNotReturned(t *testing.T) {
	for delay, inTime := range map[time.Duration]bool{0: true, 99 * time.Millisecond: true, 101 * time.Millisecond: false} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				got, err := call(t, delay)
				g.Expect(got).To(Equal(inTime))
				if inTime {
					g.Expect(err).NotTo(HaveOccurred())
				} else {
					g.Expect(err).To(MatchError(rpclink.ErrNoAnswer))
				}
				time.Sleep(time.Second) // by then the server has replied
			})
		})
	}
}

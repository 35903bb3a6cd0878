package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/peer"
)

// startServer runs a server whose Ask handler blocks until release is closed.
func startServer(t testing.TB, release <-chan struct{}) string {
	s, err := peer.NewServer(peer.Handlers{
		Ask: func(a peer.AskArgs) peer.AskReply {
			<-release
			return peer.AskReply{Target: a.ID}
		},
		Return:    func(peer.ReturnArgs) {},
		Reconcile: func(peer.ReconcileArgs) {},
		Exchange:  func(a peer.ExchangeArgs) peer.ExchangeReply { return a },
		Sync:      func(peer.SyncArgs) peer.SyncReply { return peer.SyncReply{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	return l.Addr().String()
}

func TestSlowAnswerIsNotReportedAsUnresponsive(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	link := peer.NewLink(peer.LinkOptions{Address: startServer(t, release)})
	t.Cleanup(link.Close)
	time.AfterFunc(500*time.Millisecond, func() { close(release) })
	var reply peer.AskReply
	g.Expect(link.Call(t.Context(), peer.MethodAsk, peer.AskArgs{ID: "a"}, &reply)).To(Succeed())
	g.Expect(reply.Target).To(Equal("a"))
}

// stallingConn delivers nothing once it is stalled, like the connection to a
// suspended box.
type stallingConn struct {
	net.Conn
	stalled chan struct{}
	once    sync.Once
}

func (c *stallingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.stalled:
		select {} // the answer is never delivered
	default:
		return n, err
	}
}

func (c *stallingConn) stall() { c.once.Do(func() { close(c.stalled) }) }

func TestCallToASuspendedBoxFailsAsUnresponsive(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	address := startServer(t, release)
	var conn *stallingConn
	link := peer.NewLink(peer.LinkOptions{Address: address, Dial: func(ctx context.Context, a string) (net.Conn, error) {
		inner, err := (&net.Dialer{}).DialContext(ctx, "tcp", a)
		conn = &stallingConn{Conn: inner, stalled: make(chan struct{})}
		return conn, err
	}})
	g.Expect(link.Call(t.Context(), peer.MethodPing, peer.Empty{}, &peer.Empty{})).To(Succeed())
	conn.stall()
	err := link.Call(t.Context(), peer.MethodAsk, peer.AskArgs{}, &peer.AskReply{})
	g.Expect(errors.Is(err, peer.ErrUnresponsive)).To(BeTrue(), "%v", err)
}

// FuzzServer sends arbitrary bytes to a box's peer address: it must continue to serve.
func FuzzServer(f *testing.F) {
	release := make(chan struct{})
	close(release)
	address := startServer(f, release)
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0x29, 0xff, 0x81, 0x03, 0x01, 0x01, 0x07})
	f.Add([]byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(raw)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		link := peer.NewLink(peer.LinkOptions{Address: address, PingTimeout: 10 * time.Second})
		defer link.Close()
		if err := link.Call(t.Context(), peer.MethodPing, peer.Empty{}, &peer.Empty{}); err != nil {
			t.Fatal(err)
		}
	})
}

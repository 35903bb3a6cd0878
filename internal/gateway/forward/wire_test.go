package forward_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	. "github.com/onsi/gomega"
)

// wire is what a gateway does with its connections to one target.
type wire struct {
	open    atomic.Int32
	written atomic.Int32
}

// wire is that to an address.
func (f *fixture) wire(address string) *wire {
	w, _ := f.wires.LoadOrStore(address, &wire{})
	return w.(*wire)
}

// dial opens a connection whose writes are counted as they are made: a target counts them later.
func (f *fixture) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &countedConn{TCPConn: raw.(*net.TCPConn), wire: f.wire(address)}
	c.wire.open.Add(1)
	return c, nil
}

// writtenTo counts what was written to some targets, once all open connections to them lie idle, so
// that nothing that passed the gate earlier is still to be written.
func (f *fixture) writtenTo(g *WithT, targets ...*standin) (count int32) {
	f.t.Helper()
	for _, s := range targets {
		w := f.wire(s.Address)
		g.Eventually(func() int { return int(w.open.Load()) - f.options.Pool.Idle()[s.Life()] }, eventual).Should(BeZero())
		count += w.written.Load()
	}
	return count
}

type countedConn struct {
	*net.TCPConn
	wire   *wire
	closed sync.Once
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.wire.written.Add(1)
	return c.TCPConn.Write(p)
}

func (c *countedConn) Close() error {
	c.closed.Do(func() { c.wire.open.Add(-1) })
	return c.TCPConn.Close()
}

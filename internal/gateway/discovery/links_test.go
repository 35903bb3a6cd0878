package discovery

import (
	"context"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// pipes dials in-memory connections and keeps the other end of each.
type pipes struct{ ends []net.Conn }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.ends = append(p.ends, far)
	return near, nil
}

// withLinks runs f on links whose background task runs until f returns.
func withLinks(t *testing.T, f func(g *WithT, ls *links, p *pipes)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{}
		ls := newLinks(p.dial, time.Now)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- ls.closeIdle(ctx) }()
		f(NewWithT(t), ls, p)
		stop()
		NewWithT(t).Expect(<-done).To(Succeed())
		NewWithT(t).Expect(ls.idleCount()).To(BeZero(), "none stays open")
	})
}

// use acquires a connection to an address and releases it.
func use(g *WithT, ls *links, address string, broke bool) {
	l, err := ls.acquire(context.Background(), address, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	ls.release(l, broke)
}

func TestIdleConnectionIsReusedUntilTimeout(t *testing.T) {
	withLinks(t, func(g *WithT, ls *links, p *pipes) {
		for range 10 {
			use(g, ls, "peer", false)
			time.Sleep(idleTimeout - 2*idleCheckEvery)
		}
		g.Expect(p.ends).To(HaveLen(1))
		time.Sleep(idleTimeout + idleCheckEvery)
		synctest.Wait()
		g.Expect(ls.open).To(BeEmpty(), "closed once it was unused for that time")
		use(g, ls, "peer", false)
		g.Expect(p.ends).To(HaveLen(2))
	})
}

func TestBrokenConnectionIsNotReused(t *testing.T) {
	withLinks(t, func(g *WithT, ls *links, p *pipes) {
		use(g, ls, "peer", true)
		use(g, ls, "peer", false)
		g.Expect(p.ends).To(HaveLen(2))
	})
}

func TestIdleConnectionClosedByPeerIsNotReused(t *testing.T) {
	withLinks(t, func(g *WithT, ls *links, p *pipes) {
		use(g, ls, "peer", false)
		g.Expect(p.ends[0].Close()).To(Succeed())
		synctest.Wait()
		use(g, ls, "peer", false)
		g.Expect(p.ends).To(HaveLen(2))
	})
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	withLinks(t, func(g *WithT, ls *links, _ *pipes) {
		for i := range 3 * maxIdle {
			use(g, ls, "peer-"+strconv.Itoa(i), false)
		}
		g.Expect(ls.idleCount()).To(Equal(maxIdle))
	})
}

func TestConnectionInUseIsNotClosedAsIdle(t *testing.T) {
	withLinks(t, func(g *WithT, ls *links, p *pipes) {
		l, err := ls.acquire(context.Background(), "peer", time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		use(g, ls, "peer", false)
		time.Sleep(3 * idleTimeout)
		use(g, ls, "peer", false)
		g.Expect(p.ends).To(HaveLen(1))
		ls.release(l, false)
	})
}

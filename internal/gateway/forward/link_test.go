package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget/membudgettest"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
)

const (
	// linkRate is that of the least machine's link each way, in bytes a second.
	linkRate = 10_000_000 / 8
	// packetBytes is what passes a link at once, and linkPackets how many packets a
	// connection holds until they have passed.
	packetBytes = 1500
	linkPackets = 64 << 10 / packetBytes
)

// sharedLink passes the packets of all its connections on at a rate, one after the other.
type sharedLink chan struct{} // holds one token: virtual time stands still before a mutex

func newSharedLink() sharedLink { return make(sharedLink, 1) }

func (l sharedLink) pass(bytes int) {
	l <- struct{}{}
	time.Sleep(time.Duration(bytes) * time.Second / linkRate)
	<-l
}

// linkConn is a connection whose writes pass a link.
type linkConn struct {
	net.Conn
	packets chan []byte
	once    sync.Once
	closed  chan struct{}
}

// connect makes a connection; what each side writes passes the link of its way.
func connect(there, back sharedLink) (near, far net.Conn) {
	a, b := net.Pipe()
	return newLinkConn(a, there), newLinkConn(b, back)
}

func newLinkConn(raw net.Conn, way sharedLink) *linkConn {
	c := &linkConn{Conn: raw, packets: make(chan []byte, linkPackets), closed: make(chan struct{})}
	go c.pump(way)
	return c
}

// pump passes what was written on, also what was before the connection was closed.
func (c *linkConn) pump(way sharedLink) {
	defer c.once.Do(func() { close(c.closed) }) // nothing that is written now arrives
	defer func() { _ = c.Conn.Close() }()
	for {
		p, ok := c.next()
		if !ok {
			return
		}
		way.pass(len(p))
		if _, err := c.Conn.Write(p); err != nil {
			return
		}
	}
}

// next is the next packet; there is none behind the last of a closed connection.
func (c *linkConn) next() ([]byte, bool) {
	select {
	case p := <-c.packets:
		return p, true
	case <-c.closed:
	}
	select {
	case p := <-c.packets:
		return p, true
	default:
		return nil, false
	}
}

func (c *linkConn) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		packet := append([]byte(nil), p[sent:min(sent+packetBytes, len(p))]...)
		select {
		case c.packets <- packet:
			sent += len(packet)
		case <-c.closed:
			return sent, net.ErrClosed
		}
	}
	return sent, nil
}

// Close ends the reading at once, and the writing behind what was written.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.SetReadDeadline(time.Unix(1, 0))
}

// dialled is a listener in memory.
type dialled struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newDialled() *dialled { return &dialled{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (d *dialled) Accept() (net.Conn, error) {
	select {
	case c := <-d.conns:
		return c, nil
	case <-d.closed:
		return nil, net.ErrClosed
	}
}

func (d *dialled) Close() error {
	select {
	case <-d.closed:
	default:
		close(d.closed)
	}
	return nil
}

func (d *dialled) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 80} }

// underWay is a rollout whose sends are compared; the target is of the version before.
var underWay = catalog.Rollout{Service: "shop", Version: "v2", State: catalog.RolloutRunning, Permille: 1}

// throttled is a gateway whose link has the rate of the least machine, before one
// target, in virtual time.
type throttled struct {
	in, out sharedLink // of the gateway, for clients and targets together
	room    *membudget.Budget
	clients *dialled
	handler *forward.Handler
	server  *pipeline.Server
	target  *http.Server
	pool    *upstream.Pool
	done    sync.WaitGroup
}

// newThrottled begins; answers of up to wholeBytes are read whole, 0 for the default.
func newThrottled(t *testing.T, wholeBytes int, do http.HandlerFunc) *throttled {
	t.Helper()
	n := &throttled{in: newSharedLink(), out: newSharedLink(), room: membudgettest.ForAnswers(23 << 20), clients: newDialled()}
	targets := newDialled()
	s := &standin{do: do}
	s.setLoad("0,0,3,100")
	s.Target = catalog.Target{ID: "s1", Service: "shop", Hall: "a", Slots: 3, Version: "v1"}
	n.target = &http.Server{Handler: s}
	n.pool = upstream.New(upstream.Options{Names: names, Budget: n.room, MaxBufferedBytes: wholeBytes,
		Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := connect(n.out, n.in)
			targets.conns <- far
			return near, nil
		}})
	f := newFixture(t, s)
	f.view = snapshot.New(newTable(2, time.Minute), f.view.ByService()).
		WithRollouts(map[string]rollout.Assignment{"shop": rollout.Assign(underWay, []catalog.Target{s.Target}, true)})
	f.options.Pool = n.pool
	n.handler = forward.New(f.options)
	n.server = pipeline.New(pipeline.Options{Handler: n.handler, Safe: n.handler.Repeatable})
	for _, serve := range []func() error{
		func() error { return n.server.Serve(n.clients) }, func() error { return n.target.Serve(targets) },
	} {
		n.done.Go(func() {
			if err := serve(); !errors.Is(err, http.ErrServerClosed) {
				t.Error(err)
			}
		})
	}
	return n
}

func (n *throttled) close() {
	_ = n.server.Close()
	n.pool.Close()
	_ = n.target.Close()
	n.done.Wait()
}

// fetch asks for a long answer and returns how long its last byte took.
func (n *throttled) fetch(g *WithT, id string, bytes int) time.Duration {
	near, far := connect(n.in, n.out)
	n.clients.conns <- far
	defer func() { _ = near.Close() }()
	began := time.Now()
	_, err := fmt.Fprintf(near, "GET %sx?%d HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\nConnection: close\r\n\r\n", readPath, bytes, names.RequestID, id)
	g.Expect(err).NotTo(HaveOccurred())
	all, err := io.ReadAll(near)
	g.Expect(err).NotTo(HaveOccurred())
	_, body, found := strings.Cut(string(all), "\r\n\r\n")
	g.Expect(found).To(BeTrue())
	g.Expect(body).To(HaveLen(bytes))
	return time.Since(began)
}

// ofLength answers as many bytes as the query says.
func ofLength(w http.ResponseWriter, r *http.Request) {
	length, _ := strconv.Atoi(r.URL.RawQuery)
	w.Header().Set("Content-Length", r.URL.RawQuery)
	_, _ = w.Write(longBody[:length])
}

// A link of 10 Mbit/s passes 90 kB in 72 ms and 540 kB in 432 ms. An answer that is
// read whole takes that twice (145 and 865 ms, with its probe), one that is passed on
// once and a piece (87 and 447 ms).
func TestALongAnswerTakesItsLinkOnce(t *testing.T) {
	for _, bytes := range []int{90_000, longBytes} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			once := time.Duration(bytes) * time.Second / linkRate
			took := map[bool]time.Duration{}
			for _, whole := range []bool{true, false} {
				most := 0 // the default
				if whole {
					most = longBytes
				}
				n := newThrottled(t, most, ofLength)
				took[whole] = n.fetch(g, "one", bytes)
				t.Logf("%d bytes, whole %v: %v, %d bytes held", bytes, whole, took[whole], membudgettest.PeakAnswers(n.room))
				n.close()
			}
			g.Expect(took[true]).To(BeNumerically(">", 2*once))
			g.Expect(took[false]).To(BeNumerically("<", once+once/3))
		})
	}
}

func TestAClientThatIsGoneFreesItsAnswerWithinHalfASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gone := make(chan struct{})
		n := newThrottled(t, 0, func(w http.ResponseWriter, r *http.Request) {
			defer close(gone)
			for r.Context().Err() == nil {
				if _, err := w.Write(longBody); err != nil {
					return
				}
			}
		})
		defer n.close()
		near, far := connect(n.in, n.out)
		n.clients.conns <- far
		_, err := fmt.Fprintf(near, "GET %sx HTTP/1.1\r\nHost: shop.example\r\n%s: one\r\n\r\n", readPath, names.RequestID)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(near, make([]byte, 100_000))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(membudgettest.HeldAnswers(n.room)).NotTo(BeZero())
		g.Expect(near.Close()).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		g.Expect(gone).To(BeClosed(), "the target has been told")
		g.Expect(membudgettest.HeldAnswers(n.room)).To(BeZero())
	})
}

func TestWhoMakesALongAnswerSlowIsTold(t *testing.T) {
	const stall = 20 * time.Second // several times the usual
	for name, c := range map[string]struct {
		ofTarget, ofClient time.Duration
		want               rollout.Counts
	}{
		"nobody":     {0, 0, rollout.Counts{Sends: 1}},
		"the client": {0, stall, rollout.Counts{Sends: 1}},
		"the target": {stall, 0, rollout.Counts{Sends: 1, Slow: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newThrottled(t, 0, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Length", strconv.Itoa(longBytes))
					_, _ = w.Write(longBody[:longBytes/2])
					time.Sleep(c.ofTarget)
					_, _ = w.Write(longBody[longBytes/2:])
				})
				defer n.close()
				near, far := connect(n.in, n.out)
				n.clients.conns <- far
				_, err := fmt.Fprintf(near, "GET %sx HTTP/1.1\r\nHost: shop.example\r\n%s: one\r\nConnection: close\r\n\r\n", readPath, names.RequestID)
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.ReadFull(near, make([]byte, 1000))
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(c.ofClient)
				rest, err := io.ReadAll(near)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(rest)).To(BeNumerically(">", longBytes-1000))
				_ = near.Close()
				synctest.Wait()
				reports := n.handler.Reports([]catalog.Rollout{underWay})
				g.Expect(reports).To(HaveLen(1))
				g.Expect(reports[0].Counts).To(Equal([]rollout.RouteCounts{{Route: readPath, Counts: c.want}}))
			})
		})
	}
}

func TestALongAnswerThatStallsEndsShortAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		told := make(chan struct{})
		n := newThrottled(t, 0, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(longBytes))
			_, _ = w.Write(longBody[:longBytes/2])
			<-r.Context().Done()
			close(told)
		})
		defer n.close()
		near, far := connect(n.in, n.out)
		n.clients.conns <- far
		began := time.Now()
		_, err := fmt.Fprintf(near, "GET %sx HTTP/1.1\r\nHost: shop.example\r\n%s: one\r\n%s: 2000\r\n\r\n", readPath, names.RequestID, names.Deadline)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(near)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(got)).To(BeNumerically("<", longBytes))
		g.Expect(string(got)).To(ContainSubstring(fmt.Sprintf("Content-Length: %d\r\n", longBytes)))
		g.Expect(time.Since(began)).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
		_ = near.Close()
		synctest.Wait()
		g.Expect(told).To(BeClosed())
		g.Expect(membudgettest.HeldAnswers(n.room)).To(BeZero())
	})
}

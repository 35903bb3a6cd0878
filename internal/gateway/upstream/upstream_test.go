package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/verdict"
)

var names = headers.Defaults()

// rawTarget answers each request on its connections with the raw bytes that a script writes.
type rawTarget struct {
	target   catalog.Target
	accepted atomic.Int32
	requests atomic.Int32
}

type script func(conn net.Conn, r *http.Request, n int32)

func serve(t *testing.T, answer script) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &rawTarget{target: catalog.Target{ID: "target-1", Address: listener.Addr().String()}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.serveConn(conn, answer)
		}
	}()
	return s
}

func (s *rawTarget) serveConn(conn net.Conn, answer script) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer(conn, r, s.requests.Add(1))
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

func wholeAnswer(id, body string, extra ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", names.RequestID, id, len(body), strings.Join(extra, ""), body)
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func newPool() *upstream.Pool { return upstream.New(upstream.Options{Names: names}) }

func request(id string) upstream.Request {
	return upstream.Request{Method: http.MethodGet, URI: "/a?b=c", Host: "shop.example", ID: id, Header: http.Header{names.RequestID: {id}}}
}

// exchange makes one exchange on a connection of the pool and returns it.
func exchange(t *testing.T, pool *upstream.Pool, s *rawTarget, r upstream.Request) (*upstream.Answer, *verdict.Error) {
	t.Helper()
	conn, failure := pool.Get(context.Background(), s.target)
	if failure != nil {
		return nil, failure
	}
	defer pool.Put(conn)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return conn.Exchange(ctx, r)
}

func TestConnectionIsReusedAfterABufferedAnswer(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(c net.Conn, r *http.Request, _ int32) {
		write(c, wholeAnswer(r.Header.Get(names.RequestID), "hello", names.Load+": 1,0,3,500\r\n"))
	})
	pool := newPool()
	for _, id := range []string{"one", "two"} {
		a, failure := exchange(t, pool, s, request(id))
		g.Expect(failure).To(BeNil())
		g.Expect(string(a.Body())).To(Equal("hello"))
	}
	g.Expect(s.accepted.Load()).To(Equal(int32(1)))
}

func TestRenewedConnectionReplacesAnIdleOne(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(c net.Conn, r *http.Request, _ int32) {
		write(c, wholeAnswer(r.Header.Get(names.RequestID), "hello"))
	})
	pool := newPool()
	_, failure := exchange(t, pool, s, request("one"))
	g.Expect(failure).To(BeNil())
	for range 3 {
		conn, failure := pool.Renew(t.Context(), s.target)
		g.Expect(failure).To(BeNil())
		_, isNew := conn.DialTime()
		g.Expect(isNew).To(BeTrue())
		pool.Put(conn)
		g.Expect(pool.Idle()[s.target.Life()]).To(Equal(1))
	}
}

func TestAnswerToAnotherRequestIsNeverReturned(t *testing.T) {
	// Each case writes surplus bytes after the first answer, or before the second
	// one. Each request must get its own answer or none.
	for name, surplus := range map[string]string{
		"a surplus answer":               wholeAnswer("other", "other body"),
		"two surplus answers":            wholeAnswer("other", "no") + wholeAnswer("other", "no"),
		"a surplus answer without an id": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
		"malformed bytes":                "\x00\x01garbage\r\n\r\n",
	} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, late %v", name, late), func(t *testing.T) {
				g := NewWithT(t)
				s := serve(t, func(c net.Conn, r *http.Request, n int32) {
					own := wholeAnswer(r.Header.Get(names.RequestID), "own")
					switch {
					case n == 1 && !late:
						write(c, own+surplus)
					case n == 2 && late:
						write(c, surplus+own)
					default:
						write(c, own)
					}
				})
				pool := newPool()
				for _, id := range []string{"one", "two", "three"} {
					a, failure := exchange(t, pool, s, request(id))
					if failure == nil {
						g.Expect(string(a.Body())).To(Equal("own"), id)
						g.Expect(a.Header().Get(names.RequestID)).To(Equal(id))
					}
				}
			})
		}
	}
}

func TestLateAnswerToEarlierRequestIsSkipped(t *testing.T) {
	g := NewWithT(t)
	s := serve(t, func(c net.Conn, r *http.Request, n int32) {
		if n == 2 {
			write(c, wholeAnswer("one", "again"))
		}
		write(c, wholeAnswer(r.Header.Get(names.RequestID), "own"))
	})
	pool := newPool()
	for _, id := range []string{"one", "two"} {
		a, failure := exchange(t, pool, s, request(id))
		g.Expect(failure).To(BeNil())
		g.Expect(string(a.Body())).To(Equal("own"))
	}
}

func TestTruncatedAnswerFailsAsMayHaveRun(t *testing.T) {
	for name, answer := range map[string]string{
		"no byte":         "",
		"half a head":     "HTTP/1.1 200 OK\r\nContent-Le",
		"half a body":     "HTTP/1.1 200 OK\r\n" + names.RequestID + ": one\r\nContent-Length: 9\r\n\r\nhalf",
		"half the chunks": "HTTP/1.1 200 OK\r\n" + names.RequestID + ": one\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"malformed bytes": "\x16\x03\x01 hello",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(c net.Conn, _ *http.Request, _ int32) {
				write(c, answer)
				_ = c.Close()
			})
			_, failure := exchange(t, newPool(), s, request("one"))
			g.Expect(failure).NotTo(BeNil())
			g.Expect(failure.Verdict()).To(Equal(verdict.MayHaveRun))
			g.Expect(s.requests.Load()).To(Equal(int32(1)), "not retried")
		})
	}
}

func TestAnswerWithoutALengthNeedsACleanEndOfItsConnection(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + names.RequestID + ": one\r\nConnection: close\r\n\r\nall of it"
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(c net.Conn, _ *http.Request, _ int32) {
				write(c, head)
				if reset {
					// Let the bytes arrive before the reset, which discards unread ones.
					time.Sleep(20 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			a, failure := exchange(t, newPool(), s, request("one"))
			if reset {
				g.Expect(failure).NotTo(BeNil())
				return
			}
			g.Expect(failure).To(BeNil())
			g.Expect(string(a.Body())).To(Equal("all of it"))
		})
	}
}

func TestConnectionClosedByTheTargetIsNotReused(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	s := serve(t, func(c net.Conn, r *http.Request, n int32) {
		write(c, wholeAnswer(r.Header.Get(names.RequestID), "own"))
		if n == 1 {
			_ = c.Close()
			close(closed)
		}
	})
	pool := newPool()
	_, failure := exchange(t, pool, s, request("one"))
	g.Expect(failure).To(BeNil())
	<-closed
	_, failure = exchange(t, pool, s, request("two"))
	g.Expect(failure).To(BeNil())
	g.Expect(s.accepted.Load()).To(Equal(int32(2)))
}

func TestConnectionAndKeepAliveHeadersAreObeyed(t *testing.T) {
	for name, header := range map[string]string{"close": "Connection: close\r\n", "idle timeout exceeded": "Keep-Alive: timeout=1\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(c net.Conn, r *http.Request, _ int32) {
				write(c, wholeAnswer(r.Header.Get(names.RequestID), "own", header))
			})
			now := time.Unix(1000, 0)
			pool := upstream.New(upstream.Options{Names: names, Clock: func() time.Time { return now }})
			for _, id := range []string{"one", "two"} {
				_, failure := exchange(t, pool, s, request(id))
				g.Expect(failure).To(BeNil())
				now = now.Add(900 * time.Millisecond)
			}
			g.Expect(s.accepted.Load()).To(Equal(int32(2)))
		})
	}
}

func TestEarlyAnswerToALongRequestKeepsOtherRequestsOffTheConnection(t *testing.T) {
	g := NewWithT(t)
	bodies := make(chan string, 4)
	s := serve(t, func(c net.Conn, r *http.Request, _ int32) {
		write(c, strings.Replace(wholeAnswer(r.Header.Get(names.RequestID), "no"), "200 OK", "503 Busy", 1))
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
	})
	pool := newPool()
	long := upstream.Request{Method: http.MethodPost, URI: "/", Host: "h", ID: "one", Header: http.Header{}, Body: [][]byte{[]byte(strings.Repeat("a", 4<<20))}}
	a, failure := exchange(t, pool, s, long)
	g.Expect(failure).To(BeNil())
	g.Expect(a.Status()).To(Equal(http.StatusServiceUnavailable))
	_, failure = exchange(t, pool, s, request("two"))
	g.Expect(failure).To(BeNil())
	var first string
	g.Eventually(bodies, 5*time.Second).Should(Receive(&first))
	g.Expect(strings.Trim(first, "a")).To(BeEmpty(), "only bytes of the first request's body")
}

func TestCancelledRequestClosesItsConnection(t *testing.T) {
	g := NewWithT(t)
	arrived, gone := make(chan struct{}), make(chan struct{})
	s := serve(t, func(c net.Conn, _ *http.Request, _ int32) {
		close(arrived)
		_, _ = c.Read(make([]byte, 1)) // ends when the other side closes
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	pool := newPool()
	conn, failure := pool.Get(ctx, s.target)
	g.Expect(failure).To(BeNil())
	_, failure = conn.Exchange(ctx, request("one"))
	g.Expect(failure.Reason()).To(Equal(verdict.ReasonClientGone))
	g.Expect(failure.Verdict()).To(Equal(verdict.MayHaveRun))
	g.Eventually(gone, 5*time.Second).Should(BeClosed())
}

func TestUnreachableTargetFailsAsNotRun(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	_ = listener.Close()
	_, failure := newPool().Get(context.Background(), catalog.Target{ID: "x", Address: address})
	g.Expect(failure.Verdict()).To(Equal(verdict.NotRun))
	g.Expect(failure.Reason()).To(Equal(verdict.ReasonUnreachable))
}

func TestHealthCheckAcceptsOnlyTheTargetItself(t *testing.T) {
	for name, c := range map[string]struct {
		answer  string
		healthy bool
		fails   bool
	}{
		"healthy":             {"HTTP/1.1 200 OK\r\n" + names.Instance + ": target-1\r\n" + names.Load + ": 1,0,3,500\r\nContent-Length: 0\r\n\r\n", true, false},
		"unhealthy":           {"HTTP/1.1 503 Ill\r\n" + names.Instance + ": target-1\r\nContent-Length: 0\r\n\r\n", false, false},
		"other instance":      {"HTTP/1.1 200 OK\r\n" + names.Instance + ": target-2\r\nContent-Length: 0\r\n\r\n", false, true},
		"answer to a request": {wholeAnswer("other", "no"), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, _ *http.Request, _ int32) { write(conn, c.answer) })
			pool := newPool()
			conn, failure := pool.Get(context.Background(), s.target)
			g.Expect(failure).To(BeNil())
			defer pool.Put(conn)
			health, err := conn.Probe("/health", 5*time.Second)
			g.Expect(err != nil).To(Equal(c.fails))
			g.Expect(health.Healthy()).To(Equal(c.healthy))
			report, ok := health.Load()
			g.Expect(ok).To(Equal(c.healthy))
			if c.healthy {
				g.Expect(report.Slowness()).To(Equal(5.0))
			}
		})
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add(wholeAnswer("one", "hello"))
	f.Add("HTTP/1.1 100 Continue\r\n\r\n" + wholeAnswer("one", "x"))
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n")
	f.Fuzz(func(t *testing.T, response string) {
		gatewayConn, targetConn := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(targetConn))
			write(targetConn, response)
			_ = targetConn.Close()
		}()
		pool := upstream.New(upstream.Options{Names: names, MaxAnswerBytes: 1 << 16,
			Dial: func(context.Context, string, string) (net.Conn, error) { return gatewayConn, nil }})
		conn, failure := pool.Get(context.Background(), catalog.Target{ID: "s"})
		if failure != nil {
			t.Fatal(failure)
		}
		answer, failure := conn.Exchange(context.Background(), request("one"))
		if failure == nil {
			if id := answer.Header().Get(names.RequestID); id != "one" && id != "" {
				t.Fatalf("returned the answer to request %q", id)
			}
		}
		pool.Put(conn)
		pool.Close()
	})
}

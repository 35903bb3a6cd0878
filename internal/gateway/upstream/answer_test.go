package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget/membudgettest"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// longBytes is the length of a long answer.
const longBytes = 540_000

var longBody = strings.Repeat("0123456789", longBytes/10)

func always(int, bool) bool { return true }

// longRequest returns a request whose answer may be streamed.
func longRequest(id string) upstream.Request {
	r := request(id)
	r.MayStream = always
	return r
}

// okHead returns the head of an answer with status 200 and more header lines.
func okHead(id string, lines ...string) string {
	return "HTTP/1.1 200 OK\r\n" + names.RequestID + ": " + id + "\r\n" + strings.Join(lines, "") + "\r\n"
}

func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// startStreamed starts an exchange whose answer is streamed.
func startStreamed(g *WithT, ctx context.Context, pool *upstream.Pool, target catalog.Target, id string) (*upstream.Conn, *upstream.Answer) {
	conn, failure := pool.Get(ctx, target)
	g.Expect(failure).To(BeNil())
	answer, failure := conn.Exchange(ctx, longRequest(id))
	g.Expect(failure).To(BeNil())
	return conn, answer
}

// readRest reads the rest of a streamed answer.
func readRest(a *upstream.Answer) (string, error) {
	var all bytes.Buffer
	for {
		piece, err := a.Next()
		if err == io.EOF {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
		all.Write(piece)
	}
}

func TestLongAnswerIsStreamedAndItsConnectionReused(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(id string) string
		length int64
	}{
		"with a length": {func(id string) string { return wholeAnswer(id, longBody) }, longBytes},
		"in chunks": {func(id string) string {
			return okHead(id, "Transfer-Encoding: chunked\r\n") + chunk(longBody[:100_000]) + chunk(longBody[100_000:]) + "0\r\n\r\n"
		}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, r *http.Request, _ int32) { write(conn, c.answer(r.Header.Get(names.RequestID))) })
			budget := membudgettest.ForAnswers(1 << 20)
			pool := upstream.New(upstream.Options{Names: names, Budget: budget})
			for _, id := range []string{"one", "two"} {
				conn, answer := startStreamed(g, t.Context(), pool, s.target, id)
				g.Expect(answer.Buffered()).To(BeFalse())
				g.Expect(answer.Length()).To(Equal(c.length))
				ends := 0
				answer.OnEnd(func(failure *verdict.Error) {
					ends++
					g.Expect(failure).To(BeNil())
					pool.Put(conn)
				})
				got, err := readRest(answer)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got == longBody).To(BeTrue(), "every byte once and in order")
				g.Expect(answer.BytesRead()).To(Equal(longBytes))
				answer.Close()
				g.Expect(ends).To(Equal(1))
				g.Expect(membudgettest.HeldAnswers(budget)).To(BeZero())
			}
			g.Expect(s.accepted.Load()).To(Equal(int32(1)))
			g.Expect(membudgettest.PeakAnswers(budget)).To(BeNumerically("<", 64<<10))
		})
	}
}

func TestAnswerIsBufferedIfItIsShortOrMayNotBeStreamed(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		streams func(int, bool) bool
	}{
		"short":                         {"short", always},
		"long, MayStream returns false": {longBody, func(int, bool) bool { return false }},
		"long, MayStream is nil":        {longBody, nil},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " chunked ", chunked), func(t *testing.T) {
				g := NewWithT(t)
				s := serve(t, func(conn net.Conn, r *http.Request, _ int32) {
					id := r.Header.Get(names.RequestID)
					if chunked {
						write(conn, okHead(id, "Transfer-Encoding: chunked\r\n")+chunk(c.body)+"0\r\n\r\n")
						return
					}
					write(conn, wholeAnswer(id, c.body))
				})
				budget := membudgettest.ForAnswers(2 << 20)
				r := request("one")
				r.MayStream = c.streams
				answer, failure := exchange(t, upstream.New(upstream.Options{Names: names, Budget: budget}), s, r)
				g.Expect(failure).To(BeNil())
				g.Expect(answer.Buffered()).To(BeTrue())
				g.Expect(string(answer.Body()) == c.body).To(BeTrue())
				g.Expect(answer.Length()).To(Equal(int64(len(c.body))))
				g.Expect(membudgettest.HeldAnswers(budget)).To(BeNumerically(">=", len(c.body)))
				answer.Close()
				g.Expect(membudgettest.HeldAnswers(budget)).To(BeZero())
			})
		}
	}
}

func TestShortAnswerIsStreamedIfTheBudgetIsExhausted(t *testing.T) {
	const body = "short, but the budget is exhausted"
	for name, c := range map[string]struct {
		status  string
		streams func(int, bool) bool
		whole   bool
	}{
		"may be streamed":     {"200 OK", always, false},
		"may not be streamed": {"500 Failed", func(status int, _ bool) bool { return status < 500 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, r *http.Request, _ int32) {
				write(conn, strings.Replace(wholeAnswer(r.Header.Get(names.RequestID), body), "200 OK", c.status, 1))
			})
			budget := membudgettest.ForAnswers(0)
			pool := upstream.New(upstream.Options{Names: names, Budget: budget})
			for _, budgetLeft := range []bool{false, true} {
				if budgetLeft {
					budget.SetLimits(memory.NewLimits(0).WithAnswers(1 << 10))
				}
				conn, failure := pool.Get(t.Context(), s.target)
				g.Expect(failure).To(BeNil())
				r := request("one")
				r.MayStream = c.streams
				answer, failure := conn.Exchange(t.Context(), r)
				g.Expect(failure).To(BeNil())
				g.Expect(answer.Buffered()).To(Equal(c.whole || budgetLeft))
				got := string(answer.Body())
				if !answer.Buffered() {
					var err error
					got, err = readRest(answer)
					g.Expect(err).NotTo(HaveOccurred())
				}
				g.Expect(got).To(Equal(body))
				answer.Close()
				pool.Put(conn)
				g.Expect(membudgettest.HeldAnswers(budget)).To(BeZero())
			}
			g.Expect(s.accepted.Load()).To(Equal(int32(1)))
		})
	}
}

func TestTruncatedLongAnswerFails(t *testing.T) {
	half := longBody[:longBytes/2]
	for name, c := range map[string]struct {
		answer string
		reset  bool
	}{
		"half of Content-Length":  {okHead("one", fmt.Sprintf("Content-Length: %d\r\n", longBytes)) + half, false},
		"half of the chunks":      {okHead("one", "Transfer-Encoding: chunked\r\n") + chunk(half), false},
		"no last chunk":           {okHead("one", "Transfer-Encoding: chunked\r\n") + chunk(longBody), false},
		"malformed chunk":         {okHead("one", "Transfer-Encoding: chunked\r\n") + chunk(half) + "no chunk\r\n", false},
		"no length, then a reset": {okHead("one", "Connection: close\r\n") + half, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			firstRead := make(chan struct{})
			s := serve(t, func(conn net.Conn, _ *http.Request, _ int32) {
				write(conn, c.answer)
				if c.reset {
					<-firstRead // a reset discards unread bytes
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			budget := membudgettest.ForAnswers(1 << 20)
			conn, answer := startStreamed(g, t.Context(), upstream.New(upstream.Options{Names: names, Budget: budget}), s.target, "one")
			var ended *verdict.Error
			answer.OnEnd(func(failure *verdict.Error) { ended = failure })
			_, err := answer.Next()
			g.Expect(err).NotTo(HaveOccurred())
			close(firstRead)
			_, err = readRest(answer)
			g.Expect(err).To(HaveOccurred())
			g.Expect(ended).To(Equal(err))
			g.Expect(ended.Reason()).To(Equal(verdict.ReasonTargetFailed))
			g.Expect(ended.Verdict()).To(Equal(verdict.MayHaveRun))
			answer.Close()
			g.Expect(membudgettest.HeldAnswers(budget)).To(BeZero())
			g.Expect(conn.Target()).To(Equal(s.target))
		})
	}
}

// countingConn counts the bytes that the other side has read; it buffers nothing.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		n, err := c.Conn.Write(p[:min(len(p), 4000)])
		total += n
		c.written.Add(int64(n))
		if err != nil {
			return total, err
		}
		p = p[n:]
	}
	return total, nil
}

// pipeTarget is a target on unbuffered connections that answers one request on each
// with a long answer and counts the answers that it could not write to the end.
type pipeTarget struct {
	conns        []*countingConn
	failedWrites atomic.Int32
}

func (p *pipeTarget) dial(context.Context, string, string) (net.Conn, error) {
	gatewayConn, targetConn := net.Pipe()
	conn := &countingConn{Conn: targetConn}
	p.conns = append(p.conns, conn)
	go func() {
		defer func() { _ = conn.Close() }()
		requestBuffer := make([]byte, 4<<10)
		if _, err := conn.Read(requestBuffer); err != nil {
			return
		}
		if _, err := io.WriteString(conn, wholeAnswer("one", longBody)); err != nil {
			p.failedWrites.Add(1)
		}
	}()
	return gatewayConn, nil
}

func TestTargetBlocksWhileItsStreamedAnswerIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		target := &pipeTarget{}
		budget := membudgettest.ForAnswers(1 << 20)
		pool := upstream.New(upstream.Options{Names: names, Budget: budget, Dial: target.dial})
		conn, answer := startStreamed(g, t.Context(), pool, catalog.Target{ID: "t"}, "one")
		answer.OnEnd(func(*verdict.Error) { pool.Put(conn) })
		_, err := answer.Next()
		g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		first := target.conns[0].written.Load()
		g.Expect(first).To(BeNumerically("<", 32<<10))
		time.Sleep(7 * time.Second)
		synctest.Wait()
		g.Expect(target.conns[0].written.Load()).To(Equal(first), "nothing more was read")
		g.Expect(membudgettest.HeldAnswers(budget)).To(BeNumerically("<", 32<<10))
		got, err := readRest(answer)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).NotTo(BeEmpty())
		g.Expect(answer.BackpressureTime()).To(Equal(7 * time.Second))
		answer.Close()
		pool.Close()
	})
}

func TestAbandonedAnswerClosesItsConnectionAtOnce(t *testing.T) {
	for name, abandon := range map[string]func(*upstream.Answer, context.CancelFunc){
		"answer closed": func(a *upstream.Answer, _ context.CancelFunc) { a.Close() },
		// The reader of the answer may be blocked elsewhere.
		"context cancelled": func(_ *upstream.Answer, cancel context.CancelFunc) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target := &pipeTarget{}
				budget := membudgettest.ForAnswers(1 << 20)
				pool := upstream.New(upstream.Options{Names: names, Budget: budget, Dial: target.dial})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				_, answer := startStreamed(g, ctx, pool, catalog.Target{ID: "t"}, "one")
				var ends []*verdict.Error
				answer.OnEnd(func(failure *verdict.Error) { ends = append(ends, failure) })
				_, err := answer.Next()
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(3 * time.Second) // the client reads nothing
				began := time.Now()
				abandon(answer, cancel)
				synctest.Wait()
				g.Expect(target.failedWrites.Load()).To(Equal(int32(1)))
				g.Expect(time.Since(began)).To(BeZero())
				answer.Close()
				answer.Close()
				g.Expect(answer.BackpressureTime()).To(Equal(3*time.Second), "the target was blocked for this time")
				g.Expect(membudgettest.HeldAnswers(budget)).To(BeZero())
				g.Expect(ends).To(HaveLen(1))
				g.Expect(ends[0].Reason()).To(Equal(verdict.ReasonClientGone), "not counted as a failure of the target")
			})
		})
	}
}

func TestBytesHeldOfManyLongAnswersAreBounded(t *testing.T) {
	const (
		answers  = 200
		limit    = 1 << 20
		minBytes = 2 << 10 // of each answer beyond the budget
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		target := &pipeTarget{}
		budget := membudgettest.ForAnswers(limit)
		pool := upstream.New(upstream.Options{Names: names, Budget: budget, Dial: target.dial})
		var open []*upstream.Answer
		for range answers {
			_, answer := startStreamed(g, t.Context(), pool, catalog.Target{ID: "t"}, "one")
			_, err := answer.Next()
			g.Expect(err).NotTo(HaveOccurred())
			open = append(open, answer)
		}
		g.Expect(membudgettest.HeldAnswers(budget)).To(BeNumerically(">", limit-(16<<10)), "the budget is used")
		for _, answer := range open {
			_, err := readRest(answer)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.BytesRead()).To(Equal(longBytes))
			answer.Close()
		}
		g.Expect(membudgettest.PeakAnswers(budget)).To(BeNumerically("<=", limit+answers*minBytes))
		g.Expect(membudgettest.HeldAnswers(budget)).To(BeZero())
	})
}

package upstream_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// observedPool returns a pool and the signals that it reports from answers.
func observedPool() (*upstream.Pool, *[]signal.Signals) {
	pool, all := newPool(), &[]signal.Signals{}
	pool.OnSignals(func(_ catalog.Target, s signal.Signals) { *all = append(*all, s) })
	return pool, all
}

// head returns the head of an answer with a body of four bytes and more header lines.
func head(status int, id, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %d .\r\n%s: %s\r\nContent-Length: 4\r\n%s\r\n", status, names.RequestID, id, lines)
}

func TestSignalsInAnswerAreReported(t *testing.T) {
	leaving := names.Leaving + ": 1\r\n"
	for name, c := range map[string]struct {
		answer func(id string) string
		want   []signal.Signals
	}{
		"served, leaving":               {func(id string) string { return wholeAnswer(id, "body", leaving) }, []signal.Signals{{Leaving: true}}},
		"served, no signals":            {func(id string) string { return wholeAnswer(id, "body") }, nil},
		"shed with back-off":            {func(id string) string { return head(503, id, "Retry-After: 2.5\r\n") + "body" }, []signal.Signals{{BackOff: 2500 * time.Millisecond}}},
		"shed with back-off, leaving":   {func(id string) string { return head(503, id, leaving+"Retry-After: 1\r\n") + "body" }, []signal.Signals{{BackOff: time.Second, Leaving: true}}},
		"failed, leaving":               {func(id string) string { return head(500, id, leaving) + "body" }, []signal.Signals{{Leaving: true}}},
		"broken off after its head":     {func(id string) string { return head(200, id, leaving) + "b" }, []signal.Signals{{Leaving: true}}},
		"a surplus answer before it":    {func(id string) string { return wholeAnswer("other", "late", leaving) + wholeAnswer(id, "body") }, []signal.Signals{{Leaving: true}}},
		"misdirected to another target": {func(id string) string { return head(421, id, leaving+"Retry-After: 2\r\n") + "body" }, nil},
		"Retry-After with 429":          {func(id string) string { return head(429, id, "Retry-After: 2\r\n") + "body" }, nil},
		"Retry-After with a redirect":   {func(id string) string { return head(301, id, "Retry-After: 2\r\n") + "body" }, nil},
		"negative Retry-After":          {func(id string) string { return head(503, id, "Retry-After: -2\r\n") + "body" }, nil},
		"invalid leaving header":        {func(id string) string { return wholeAnswer(id, "body", names.Leaving+": perhaps\r\n") }, nil},
		"not leaving":                   {func(id string) string { return wholeAnswer(id, "body", names.Leaving+": 0\r\n") }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, r *http.Request, _ int32) {
				write(conn, c.answer(r.Header.Get(names.RequestID)))
				_ = conn.Close()
			})
			pool, all := observedPool()
			a, _ := exchange(t, pool, s, request("one"))
			g.Expect(*all).To(HaveExactElements(c.want))
			if a != nil && len(c.want) > 0 && name != "a surplus answer before it" {
				g.Expect(a.Signals()).To(Equal(c.want[0]))
			}
		})
	}
}

// limits collects the limits that the pool reports, as "source: values".
func limits(pool *upstream.Pool) *[]string {
	all := &[]string{}
	pool.OnLimit(func(_ catalog.Life, via quota.Source, values []string) {
		*all = append(*all, fmt.Sprint(via, ": ", values))
	})
	return all
}

func TestLimitInAnswerIsReported(t *testing.T) {
	limit := names.Limit + ": 3\r\n"
	for name, c := range map[string]struct {
		answer func(id string) string
		want   []string
	}{
		"served, limit":              {func(id string) string { return wholeAnswer(id, "body", limit) }, []string{"answer: [3]"}},
		"served, no limit":           {func(id string) string { return wholeAnswer(id, "body") }, []string{"answer: []"}},
		"two limits":                 {func(id string) string { return wholeAnswer(id, "body", limit, limit) }, []string{"answer: [3 3]"}},
		"failed, limit":              {func(id string) string { return head(500, id, limit) + "body" }, []string{"answer: [3]"}},
		"failed, no limit":           {func(id string) string { return head(500, id, "") + "body" }, nil},
		"broken off after its head":  {func(id string) string { return head(200, id, limit) + "b" }, []string{"answer: [3]"}},
		"a surplus answer before it": {func(id string) string { return wholeAnswer("other", "late", limit) + head(500, id, "") + "body" }, []string{"answer: [3]"}},
		"misdirected, limit":         {func(id string) string { return head(421, id, limit) + "body" }, nil},
		"misdirected, no limit":      {func(id string) string { return head(421, id, "") + "body" }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, r *http.Request, _ int32) {
				write(conn, c.answer(r.Header.Get(names.RequestID)))
				_ = conn.Close()
			})
			pool := newPool()
			all := limits(pool)
			_, _ = exchange(t, pool, s, request("one"))
			g.Expect(*all).To(HaveExactElements(c.want))
		})
	}
}

func TestLimitInProbeAnswerIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		lines  string
		want   []string
	}{
		"limit":                        {200, names.Limit + ": 3\r\n", []string{"probe: [3]"}},
		"no limit":                     {200, "", []string{"probe: []"}},
		"unhealthy, no limit":          {503, "", []string{"probe: []"}},
		"other instance":               {200, names.Limit + ": 3\r\n" + names.Instance + ": target-2\r\n", nil},
		"answer to an earlier request": {200, names.Limit + ": 3\r\n" + names.RequestID + ": other\r\n", []string{"answer: [3]"}},
		"misdirected answer to an earlier request": {421, names.Limit + ": 3\r\n" + names.RequestID + ": other\r\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, _ *http.Request, _ int32) {
				write(conn, fmt.Sprintf("HTTP/1.1 %d .\r\nContent-Length: 0\r\n%s\r\n", c.status, c.lines))
			})
			pool := newPool()
			all := limits(pool)
			conn, failure := pool.Get(t.Context(), s.target)
			g.Expect(failure).To(BeNil())
			_, _ = conn.Probe("/health", 5*time.Second)
			g.Expect(*all).To(HaveExactElements(c.want))
		})
	}
}

func TestSignalsInProbeAnswerAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		instance string
		want     []signal.Signals
	}{
		"own instance":   {"target-1", []signal.Signals{{BackOff: 2 * time.Second, Leaving: true}}},
		"other instance": {"target-2", nil},
		"no instance":    {"", []signal.Signals{{BackOff: 2 * time.Second, Leaving: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, _ *http.Request, _ int32) {
				write(conn, "HTTP/1.1 503 .\r\nContent-Length: 0\r\nRetry-After: 2\r\n"+names.Leaving+": true\r\n"+names.Instance+": "+c.instance+"\r\n\r\n")
			})
			pool, all := observedPool()
			conn, failure := pool.Get(t.Context(), s.target)
			g.Expect(failure).To(BeNil())
			_, err := conn.Probe("/health", 5*time.Second)
			g.Expect(err != nil).To(Equal(c.want == nil))
			g.Expect(*all).To(HaveExactElements(c.want))
		})
	}
}

func TestNothingIsWrittenIfTheGateReturnsAnError(t *testing.T) {
	closed := verdict.New(verdict.NotRun, verdict.ReasonShed, "closed")
	for name, writes := range map[string]func(c *upstream.Conn) error{
		"a request": func(c *upstream.Conn) error {
			if _, failure := c.Exchange(context.Background(), request("one")); failure != nil {
				return failure
			}
			return nil
		},
		"a probe": func(c *upstream.Conn) error {
			_, err := c.Probe("/health", 5*time.Second)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, r *http.Request, _ int32) { answer(conn, r) })
			pool := newPool()
			gateClosed := true
			pool.SetGate(func(life catalog.Life) *verdict.Error {
				g.Expect(life).To(Equal(s.target.Life()))
				if gateClosed {
					return closed
				}
				return nil
			})
			conn, failure := pool.Get(t.Context(), s.target)
			g.Expect(failure).To(BeNil())
			g.Expect(writes(conn)).To(Equal(closed))
			g.Expect(s.requests.Load()).To(BeZero())
			pool.Put(conn)
			gateClosed = false
			conn, _ = pool.Get(t.Context(), s.target)
			g.Expect(writes(conn)).To(Succeed())
			g.Expect(s.accepted.Load()).To(Equal(int32(1)), "the connection was reused")
		})
	}
}

func answer(conn net.Conn, r *http.Request) {
	write(conn, wholeAnswer(r.Header.Get(names.RequestID), "body"))
}

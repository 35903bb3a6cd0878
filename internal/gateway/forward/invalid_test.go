package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// serveRaw has a function answer requests on their connections, after a well answer to a health
// check on the same one.
func serveRaw(t *testing.T, answer func(conn net.Conn, r *http.Request)) (address string) {
	t.Helper()
	return httpconntest.Serve(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Path == "/health" {
			httpconntest.Write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			next, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return // the gateway has closed the connection
			}
			r = next
		}
		answer(conn, r)
	})
}

// idField is the field of an answer that every request needs.
func idField(r *http.Request) string {
	return fmt.Sprintf("%s: %s\r\n", names.RequestID, r.Header.Get(names.RequestID))
}

// rawAnswers serves one kind of invalid answer.
func rawAnswers(name string) func(t *testing.T) (address string) {
	return func(t *testing.T) string {
		return serveRaw(t, func(conn net.Conn, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return // the gateway has closed the connection
			}
			httpconntest.Write(conn, httpconntest.Invalid(idField(r))[name])
		})
	}
}

// partAndReset serves a part of an answer without a length and resets the connection, while the
// body of the request is still being written.
func partAndReset(t *testing.T) (address string) {
	return serveRaw(t, func(conn net.Conn, r *http.Request) {
		if err := conn.(*net.TCPConn).SetReadBuffer(narrowBuffer); err != nil {
			t.Error(err)
		}
		httpconntest.WriteAndReset(conn, "HTTP/1.1 200 OK\r\n"+idField(r)+"\r\npart of it")
	})
}

// narrowBuffer is for connections that take up a small part of a body at a time.
const narrowBuffer = 4 << 10

func narrowPool() *upstream.Pool {
	return upstream.New(upstream.Options{Names: names, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetWriteBuffer(narrowBuffer)
	}})
}

// answerPaths are the ways in which a gateway receives answers: from its own target, from another
// gateway, and by way of another gateway.
func answerPaths(serve func(t *testing.T) (address string)) map[string]func(t *testing.T) *fixture {
	return map[string]func(t *testing.T) *fixture{
		"from a target": func(t *testing.T) *fixture {
			f := newFixture(t)
			f.view, f.options.Pool = viewOf(serve(t)), narrowPool()
			return f
		},
		"from another gateway": func(t *testing.T) *fixture {
			f := newFixture(t, nowhere(t, "t0"))
			f.options.Relay = forward.Relay{Self: "gateway-a", Pool: narrowPool()}
			f.knows(serve(t))
			return f
		},
		"by way of another gateway": func(t *testing.T) *fixture {
			f, other := newFixture(t, nowhere(t, "t0")), newFixture(t)
			other.view, other.options.Pool = viewOf(serve(t)), narrowPool()
			f.relayedTo(other)
			return f
		},
	}
}

// expectFailure expects that a client is told of a failure, and of nothing that a target sent.
func expectFailure(t *testing.T, got result) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.status).To(Equal(http.StatusBadGateway))
	g.Expect(got.header.Get(verdict.Header)).To(Equal("may-have-run"))
	g.Expect(got.body).To(BeEmpty())
}

// Guards against answers that the protocol does not allow and that a gateway passes on.
func TestAnInvalidAnswerReachesNoClient(t *testing.T) {
	for name := range httpconntest.Invalid("") {
		for way, layOut := range answerPaths(rawAnswers(name)) {
			t.Run(name+", "+way, func(t *testing.T) { expectFailure(t, layOut(t).start().order()) })
		}
	}
}

// Guards against a part of an answer that looks complete since a reset cut it off, at each gateway
// that a request passes.
func TestAnswerCutByAResetDuringTheUploadReachesNoClient(t *testing.T) {
	upload := strings.Repeat("x", 1<<20)
	for way, layOut := range answerPaths(partAndReset) {
		t.Run(way, func(t *testing.T) { expectFailure(t, layOut(t).start().put(orderPath, "", upload)) })
	}
}

// viewOf is what a gateway believes that knows one target.
func viewOf(address string) *snapshot.Snapshot {
	target := catalog.Target{ID: "t1", Service: "shop", Hall: "a", Address: address, Slots: 3}
	return snapshot.New(newTable(2, timeout), map[string][]catalog.Target{"shop": {target}})
}

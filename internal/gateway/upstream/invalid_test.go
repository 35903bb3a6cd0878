package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// ways are the two in which an answer is read.
var ways = map[string]upstream.Options{
	"buffered": {Names: names},
	"streamed": {Names: names, MaxBufferedBytes: 1},
}

// maxKeptBytes bounds what readWhole returns of an answer.
const maxKeptBytes = 1 << 20

// readWhole exchanges a request on a new connection and reads the answer to its end.
func readWhole(ctx context.Context, t *testing.T, o upstream.Options, address string, r upstream.Request) (string, *verdict.Error) {
	t.Helper()
	conn, failure := upstream.New(o).Open(ctx, catalog.Target{ID: "target-1", Address: address})
	if failure != nil {
		t.Fatal(failure)
	}
	defer conn.Close()
	if o.MaxBufferedBytes > 0 {
		r.MayStream = func(int, bool) bool { return true }
	}
	answer, failure := conn.Exchange(ctx, r)
	if failure != nil {
		return "", failure
	}
	defer answer.Close()
	var body bytes.Buffer
	body.Write(answer.Body())
	for !answer.Buffered() {
		piece, err := answer.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return body.String(), err.(*verdict.Error)
		}
		if body.Len() < maxKeptBytes {
			body.Write(piece)
		}
	}
	return body.String(), nil
}

// upload is a request that its target has not read when it answers.
func upload() upstream.Request {
	r := request("one")
	r.Method, r.Body = http.MethodPost, [][]byte{make([]byte, 16<<20)}
	return r
}

// requestLine is the field that all answers to request("one") need.
var requestLine = names.RequestID + ": one\r\n"

// Guards against answers that the protocol does not allow reaching clients.
func TestInvalidAnswersFail(t *testing.T) {
	for way, options := range ways {
		for name, answer := range httpconntest.Invalid(requestLine) {
			t.Run(way+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.Write(conn, answer) })
				_, failure := readWhole(t.Context(), t, options, address, request("one"))
				g.Expect(failure).NotTo(BeNil())
				g.Expect(failure.Reason()).To(Equal(verdict.ReasonTargetFailed))
				g.Expect(failure.Verdict()).To(Equal(verdict.MayHaveRun))
			})
		}
	}
}

// Guards against a check of answers that refuses what the protocol allows.
func TestUnusualAnswersAreReturned(t *testing.T) {
	for way, options := range ways {
		for name, answer := range httpconntest.Valid(requestLine) {
			t.Run(way+", "+name, func(t *testing.T) {
				g := NewWithT(t)
				address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.Write(conn, answer) })
				body, failure := readWhole(t.Context(), t, options, address, request("one"))
				g.Expect(failure).To(BeNil())
				g.Expect(body).To(Equal("123"))
			})
		}
	}
}

// Guards against health checks that believe an answer that is none.
func TestInvalidAnswersToHealthChecksFail(t *testing.T) {
	for name, answer := range httpconntest.Invalid("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.Write(conn, answer) })
			conn, failure := newPool().Open(t.Context(), catalog.Target{ID: "target-1", Address: address})
			g.Expect(failure).To(BeNil())
			defer conn.Close()
			_, err := conn.Probe("/health", 10*time.Second)
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against an answer without a length that a reset cut off while the upload was written,
// and that reached the client as complete.
func TestAnswerCutByAResetDuringTheUploadFails(t *testing.T) {
	for way, options := range ways {
		t.Run(way, func(t *testing.T) {
			g := NewWithT(t)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) {
				httpconntest.WriteAndReset(conn, "HTTP/1.1 200 OK\r\n"+requestLine+"\r\npart of it")
			})
			for range 20 {
				body, failure := readWhole(t.Context(), t, options, address, upload())
				g.Expect(failure).NotTo(BeNil(), "read as complete: %q", body)
				g.Expect(failure.Reason()).To(Equal(verdict.ReasonTargetFailed))
			}
		})
	}
}

// Guards against whole answers that are refused because they came before the upload was read.
func TestWholeAnswerDuringTheUploadIsReturned(t *testing.T) {
	for name, length := range map[string]string{"with a length": "Content-Length: 3\r\n", "without a length": ""} {
		for way, options := range ways {
			t.Run(name+", "+way, func(t *testing.T) {
				g := NewWithT(t)
				address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) {
					httpconntest.WriteAndReadOn(conn, "HTTP/1.1 200 OK\r\n"+requestLine+length+"\r\n123")
				})
				for range 20 {
					body, failure := readWhole(t.Context(), t, options, address, upload())
					g.Expect(failure).To(BeNil())
					g.Expect(body).To(Equal("123"))
				}
			})
		}
	}
}

// Guards against answers without an end that take up memory or time.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for name, answer := range httpconntest.Endless(requestLine) {
		for way, options := range ways {
			t.Run(name+", "+way, func(t *testing.T) {
				g := NewWithT(t)
				address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.WriteEndlessly(conn, answer) })
				timeout := 30 * time.Second
				if way == "streamed" {
					timeout = time.Second // only a streamed body goes on until the deadline
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				body, failure := readWhole(ctx, t, options, address, request("one"))
				g.Expect(failure).NotTo(BeNil(), fmt.Sprint(len(body)))
				if way == "buffered" {
					g.Expect(failure.Reason()).To(Equal(verdict.ReasonTargetFailed))
				}
			})
		}
	}
}

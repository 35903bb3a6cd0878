package httpconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/httpconn"
	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
)

// uploadBytes is a body that is not written to its end while its server does not read.
const uploadBytes = 16 << 20

// newClient returns a client of net/http with checked connections.
func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: httpconn.NewTransport(transport)}
}

// readWhole sends a request with a body of some bytes, and reads the whole answer.
func readWhole(ctx context.Context, client *http.Client, address string, body int64) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return "", err
	}
	if body > 0 {
		r.Method, r.Body, r.ContentLength = http.MethodPost, io.NopCloser(io.LimitReader(zeros{}, body)), body
	}
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func serveText(t *testing.T, text string) (address string) {
	return httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.Write(conn, text) })
}

// Guards against clients of net/http that take what the protocol does not allow.
func TestTransportReturnsNoInvalidAnswer(t *testing.T) {
	for name, answer := range httpconntest.Invalid("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text, err := readWhole(t.Context(), newClient(t), serveText(t, answer), 0)
			g.Expect(err).To(HaveOccurred(), text)
		})
	}
}

// Guards against clients of net/http that refuse what the protocol allows.
func TestTransportReturnsUnusualAnswers(t *testing.T) {
	for name, answer := range httpconntest.Valid("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text, err := readWhole(t.Context(), newClient(t), serveText(t, answer), 0)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text).To(Equal("123"))
		})
	}
}

// Guards against an answer without a length that a reset cut off while the upload was written,
// and that net/http returns as complete.
func TestTransportReturnsNoAnswerThatAResetCutOff(t *testing.T) {
	g := NewWithT(t)
	address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) {
		httpconntest.WriteAndReset(conn, "HTTP/1.1 200 OK\r\n\r\npart of it")
	})
	for range 20 {
		text, err := readWhole(t.Context(), newClient(t), address, uploadBytes)
		g.Expect(err).To(HaveOccurred(), text)
	}
}

// Guards against whole answers that net/http drops since the rest of the upload can't be written.
func TestTransportReturnsWholeAnswersToUnreadUploads(t *testing.T) {
	sized, unsized := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n123", "HTTP/1.1 200 OK\r\n\r\n123"
	for name, c := range map[string]struct {
		answer string
		write  func(net.Conn, string)
	}{
		"with a length, read on": {sized, httpconntest.WriteAndReadOn},
		"with a length, then reset": {sized, func(conn net.Conn, answer string) {
			httpconntest.Write(conn, answer)
			httpconntest.Reset(conn)
		}},
		"without a length, and read on": {unsized, httpconntest.WriteAndReadOn},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { c.write(conn, c.answer) })
			for range 20 {
				text, err := readWhole(t.Context(), newClient(t), address, uploadBytes)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(text).To(Equal("123"))
			}
		})
	}
}

// Guards against answers without an end that a reader of heads waits for.
func TestTransportBoundsEndlessHeads(t *testing.T) {
	for name, answer := range httpconntest.Endless("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.WriteEndlessly(conn, answer) })
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			response, err := newClient(t).Do(r)
			if err == nil { // the body is for the reader to bound
				_, err = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<20))
				g.Expect(response.Body.Close()).To(Succeed())
			}
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "ended by the deadline alone: %v", err)
		})
	}
}

// Guards against a second answer on a connection that is checked as part of the first.
func TestTransportChecksEachAnswerOfAConnection(t *testing.T) {
	g := NewWithT(t)
	requests := 0
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		if requests < 3 {
			_, _ = io.WriteString(w, "123")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		httpconntest.Write(conn, "HTTP/1.1 000 \r\nContent-Length: 3\r\n\r\n123")
		_ = conn.Close()
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	client := newClient(t)
	for range 2 {
		text, err := readWhole(t.Context(), client, listener.Addr().String(), 10)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal("123"))
	}
	_, err = readWhole(t.Context(), client, listener.Addr().String(), 10)
	g.Expect(err).To(MatchError(httpconn.ErrInvalid))
}

// lateBody is the body of a request that is first read while its connection is being closed.
type lateBody struct {
	connClosed, bodyClosed chan struct{}
	once                   sync.Once
}

func (b *lateBody) Read(p []byte) (int, error) {
	<-b.connClosed
	return len(p), nil
}

func (b *lateBody) Close() error {
	b.once.Do(func() { close(b.bodyClosed) })
	return nil
}

// lateConn is a connection whose Close returns once the body's write has failed.
type lateConn struct {
	net.Conn
	body *lateBody
	once sync.Once
}

func (c *lateConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { close(c.body.connClosed) })
	<-c.body.bodyClosed
	return err
}

// Guards against a failure of the server that looks like one of the client's own connection: the
// write that an invalid answer ends.
func TestTransportReportsInvalidAnswerNotTheWriteThatItEnds(t *testing.T) {
	g := NewWithT(t)
	address := serveText(t, "HTTP/1.1 000 \r\nContent-Length: 3\r\n\r\n123")
	for range 100 {
		body := &lateBody{connClosed: make(chan struct{}), bodyClosed: make(chan struct{})}
		client := &http.Client{Transport: httpconn.NewTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &lateConn{Conn: raw, body: body}, err
			},
		})}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", body)
		g.Expect(err).NotTo(HaveOccurred())
		r.ContentLength = uploadBytes
		_, err = client.Do(r)
		g.Expect(err).To(MatchError(httpconn.ErrInvalid))
	}
}

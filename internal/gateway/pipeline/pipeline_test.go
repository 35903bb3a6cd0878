package pipeline_test

import (
	"bufio"
	"context"
	"errors"
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

	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline/pipelinetest"
)

// eventual bounds waits for what must happen.
const eventual = 10 * time.Second

// backend serves requests as a test says, and tells which it serves.
type backend struct {
	began   chan string
	release map[string]chan struct{}
	left    chan string // paths of requests that were cancelled
	served  atomic.Int32
}

func newBackend(held ...string) *backend {
	b := &backend{began: make(chan string, 100), release: map[string]chan struct{}{}, left: make(chan string, 100)}
	for _, path := range held {
		b.release[path] = make(chan struct{})
	}
	return b
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.served.Add(1)
	b.began <- r.URL.Path
	if release, ok := b.release[r.URL.Path]; ok {
		select {
		case <-release:
		case <-r.Context().Done():
			b.left <- r.URL.Path
			panic(http.ErrAbortHandler)
		}
	}
	body, err := io.ReadAll(r.Body)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	w.Header().Set("Path", r.URL.Path)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

func safe(r *http.Request) bool { return r.Method == http.MethodGet }

func (b *backend) options() pipeline.Options {
	return pipeline.Options{Handler: b, Safe: safe}
}

// client is a connection on which a test writes what it likes.
type client struct {
	g    *WithT
	conn net.Conn
	in   *bufio.Reader
}

func dial(t *testing.T, o pipeline.Options) *client {
	t.Helper()
	conn, err := net.Dial("tcp", pipelinetest.Serve(t, o))
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	g.Expect(conn.SetDeadline(time.Now().Add(eventual))).To(Succeed())
	return &client{g: g, conn: conn, in: bufio.NewReader(conn)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: shop\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func (c *client) write(parts ...string) {
	_, err := io.WriteString(c.conn, strings.Join(parts, ""))
	c.g.Expect(err).NotTo(HaveOccurred())
}

// read reads the next answer, to a request with the given method.
func (c *client) read(method string) (*http.Response, string) {
	response, err := http.ReadResponse(c.in, &http.Request{Method: method})
	c.g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	c.g.Expect(err).NotTo(HaveOccurred())
	return response, string(body)
}

func (c *client) expect(body string) {
	_, got := c.read(http.MethodGet)
	c.g.Expect(got).To(Equal(body))
}

// expectEnd says that the server has closed the connection after the last answer.
func (c *client) expectEnd() {
	_, err := c.in.ReadByte()
	c.g.Expect(err).To(Equal(io.EOF))
}

func TestSafeRequestsAreServedSideBySideAndAnsweredInOrder(t *testing.T) {
	g := NewWithT(t)
	b := newBackend("/slow")
	c := dial(t, b.options())
	c.write(get("/slow"), get("/quick"), get("/quicker"))
	g.Expect([]string{<-b.began, <-b.began, <-b.began}).To(ConsistOf("/slow", "/quick", "/quicker"))
	close(b.release["/slow"])
	c.expect("GET /slow ")
	c.expect("GET /quick ")
	c.expect("GET /quicker ")
}

func TestARequestThatIsNotSafeWaitsAndIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	b := newBackend("/before", "/order")
	c := dial(t, b.options())
	c.write(get("/before"), post("/order", "an order"), get("/after"))
	g.Expect(<-b.began).To(Equal("/before"))
	g.Consistently(b.began, 50*time.Millisecond).ShouldNot(Receive())
	close(b.release["/before"])
	c.expect("GET /before ")
	g.Expect(<-b.began).To(Equal("/order"))
	g.Consistently(b.began, 50*time.Millisecond).ShouldNot(Receive())
	close(b.release["/order"])
	c.expect("POST /order an order")
	c.expect("GET /after ")
}

func TestAClientThatLeavesCancelsAllOfItsRequests(t *testing.T) {
	g := NewWithT(t)
	b := newBackend("/one", "/two", "/order")
	c := dial(t, b.options())
	c.write(get("/one"), get("/two"), post("/order", ""))
	g.Expect([]string{<-b.began, <-b.began}).To(ConsistOf("/one", "/two"))
	g.Expect(c.conn.Close()).To(Succeed())
	g.Expect([]string{<-b.left, <-b.left}).To(ConsistOf("/one", "/two"))
	g.Consistently(b.began, 50*time.Millisecond).ShouldNot(Receive())
}

func TestAClientThatLeavesBehindAFullWindowIsNoticed(t *testing.T) {
	b := newBackend("/slow")
	c := dial(t, b.options())
	for range 20 {
		c.write(get("/slow"))
	}
	for range 16 {
		<-b.began
	}
	c.g.Expect(c.conn.Close()).To(Succeed())
	for range 16 {
		c.g.Expect(<-b.left).To(Equal("/slow"))
	}
	c.g.Expect(b.served.Load()).To(Equal(int32(16)))
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	g := NewWithT(t)
	b := newBackend("/slow")
	c := dial(t, b.options())
	for range 40 {
		c.write(get("/slow"))
	}
	for range 16 {
		<-b.began
	}
	g.Consistently(b.began, 50*time.Millisecond).ShouldNot(Receive())
	close(b.release["/slow"])
	for range 40 {
		c.expect("GET /slow ")
	}
}

func TestLongAnswersMakeTheWindowNarrower(t *testing.T) {
	g := NewWithT(t)
	var running, most atomic.Int32
	gate := make(chan struct{}, 100)
	c := dial(t, pipeline.Options{Safe: safe, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/first" {
			most.Store(max(most.Load(), running.Add(1)))
			<-gate
			running.Add(-1)
		}
		_, _ = w.Write(make([]byte, 300<<10))
	})})
	c.write(get("/first"))
	c.read(http.MethodGet)
	for range 10 {
		c.write(get("/next"))
	}
	g.Eventually(running.Load, eventual).Should(BeNumerically(">", 1))
	for range 10 {
		gate <- struct{}{}
	}
	for range 10 {
		c.read(http.MethodGet)
	}
	g.Expect(most.Load()).To(BeNumerically("<=", 3)) // of 300 KB each, beside 1 MB
}

func TestNothingBehindAnAnswerThatClosesIsServed(t *testing.T) {
	for name, last := range map[string]string{
		"closed by the client": "GET /last HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":             "GET /last HTTP/1.0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend("/last")
			c := dial(t, b.options())
			c.write(get("/first"), last, get("/behind"))
			c.expect("GET /first ")
			close(b.release["/last"])
			response, body := c.read(http.MethodGet)
			c.g.Expect(body).To(Equal("GET /last "))
			c.g.Expect(response.Close).To(BeTrue())
			c.expectEnd()
			c.g.Expect(b.served.Load()).To(Equal(int32(2)))
		})
	}
}

func TestTheLastRequestOfAServerThatStopsSaysSo(t *testing.T) {
	b := newBackend("/first")
	o := b.options()
	var stopping atomic.Bool
	o.Stopping = stopping.Load
	c := dial(t, o)
	c.write(get("/first"))
	<-b.began
	stopping.Store(true)
	c.write(get("/last"))
	<-b.began
	c.write(get("/behind"))
	close(b.release["/first"])
	response, _ := c.read(http.MethodGet)
	c.g.Expect(response.Close).To(BeFalse())
	response, body := c.read(http.MethodGet)
	c.g.Expect(body).To(Equal("GET /last "))
	c.g.Expect(response.Close).To(BeTrue())
	c.expectEnd()
	c.g.Expect(b.served.Load()).To(Equal(int32(2)))
}

func TestHTTP10MayKeepItsConnection(t *testing.T) {
	b := newBackend()
	c := dial(t, b.options())
	for range 2 {
		c.write("GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
		response, _ := c.read(http.MethodGet)
		c.g.Expect(response.Proto).To(Equal("HTTP/1.0"))
		c.g.Expect(response.Header.Get("Connection")).To(Equal("keep-alive"))
	}
}

func TestHeadIsAnsweredWithoutABody(t *testing.T) {
	c := dial(t, pipeline.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "7")
	})})
	c.write("HEAD /x HTTP/1.1\r\nHost: shop\r\n\r\n", get("/x"))
	response, _ := c.read(http.MethodHead)
	c.g.Expect(response.ContentLength).To(Equal(int64(7)))
	response, _ = c.read(http.MethodGet)
	c.g.Expect(response.ContentLength).To(BeZero())
}

func TestAnswersWithoutABodyHaveNoLength(t *testing.T) {
	c := dial(t, pipeline.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})})
	c.write(get("/x"), get("/x"))
	for range 2 {
		response, _ := c.read(http.MethodGet)
		c.g.Expect(response.Header).NotTo(HaveKey("Content-Length"))
	}
}

func TestChunkedBodiesAreReadWhole(t *testing.T) {
	b := newBackend()
	c := dial(t, b.options())
	chunked := "POST /order HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nan \r\n5\r\norder\r\n0\r\n\r\n"
	c.write(chunked, get("/next"))
	c.expect("POST /order an order")
	c.expect("GET /next ")
}

func TestAClientThatWaitsToSendItsBodyIsToldTo(t *testing.T) {
	b := newBackend("/before")
	c := dial(t, b.options())
	c.write(get("/before"), "POST /order HTTP/1.1\r\nHost: shop\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	<-b.began
	close(b.release["/before"])
	c.expect("GET /before ")
	response, err := http.ReadResponse(c.in, nil)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(response.StatusCode).To(Equal(http.StatusContinue))
	c.write("ab")
	c.expect("POST /order ab")
}

func TestAHandlerThatPanicsHasAnsweredWithAnError(t *testing.T) {
	c := dial(t, pipeline.Options{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic("a fault")
		}
	})})
	c.write(get("/bad"), get("/good"))
	response, _ := c.read(http.MethodGet)
	c.g.Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
	response, _ = c.read(http.MethodGet)
	c.g.Expect(response.StatusCode).To(Equal(http.StatusOK))
}

func TestRequestsThatCouldBeReadInTwoWaysAreRefused(t *testing.T) {
	const start = "POST /x HTTP/1.1\r\nHost: shop\r\n"
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"two lengths":                  {start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		"one length twice":             {start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		"a list of lengths":            {start + "Content-Length: 3, 3\r\n\r\nabc", 400},
		"a length with a sign":         {start + "Content-Length: +3\r\n\r\nabc", 400},
		"length and chunks":            {start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two encodings":                {start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"another encoding":             {start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
		"chunks in HTTP/1.0":           {"POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"a bare line end":              {"GET /x HTTP/1.1\nHost: shop\r\n\r\n", 400},
		"only bare line ends":          {"GET /x HTTP/1.1\nHost: shop\n\n", 400},
		"a bare line end before a end": {start + "A: b\n\r\n\r\n", 400},
		"a bare CR":                    {start + "A: b\rContent-Length: 3\r\n\r\n", 400},
		"a space before a colon":       {start + "Content-Length : 3\r\n\r\nabc", 400},
		"a space before a name":        {start + " Content-Length: 3\r\n\r\nabc", 400},
		"a folded line":                {start + "A: b\r\n c\r\n\r\n", 400},
		"a line without a colon":       {start + "Content-Length\r\n\r\n", 400},
		"a control character":          {start + "A: b\x00c\r\n\r\n", 400},
		"a control character in a URI": {"GET /\x01 HTTP/1.1\r\nHost: shop\r\n\r\n", 400},
		"a tab in the request line":    {"GET\t/x HTTP/1.1\r\nHost: shop\r\n\r\n", 400},
		"an empty line first":          {"\r\n" + start + "\r\n", 400},
		"no host":                      {"GET /x HTTP/1.1\r\n\r\n", 400},
		"two hosts":                    {start + "Host: other\r\n\r\n", 400},
		"a host that is none":          {"GET /x HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
		"another version":              {"GET /x HTTP/2.0\r\nHost: shop\r\n\r\n", 505},
		"no version":                   {"GET /x\r\nHost: shop\r\n\r\n", 400},
		"another protocol":             {"GET /x ICY/1.1\r\nHost: shop\r\n\r\n", 400},
		"a chunk without a size":       {start + "Transfer-Encoding: chunked\r\n\r\nx\r\n\r\n", 400},
		"another expectation":          {start + "Expect: a-miracle\r\nContent-Length: 3\r\n\r\nabc", 417},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend()
			client := dial(t, b.options())
			client.write(c.request, get("/behind"))
			response, _ := client.read(http.MethodGet)
			client.g.Expect(response.StatusCode).To(Equal(c.status))
			client.g.Expect(response.Close).To(BeTrue())
			client.expectEnd()
			client.g.Expect(b.served.Load()).To(BeZero())
		})
	}
}

func TestARefusalWaitsForTheAnswersBeforeIt(t *testing.T) {
	b := newBackend("/slow")
	c := dial(t, b.options())
	c.write(get("/slow"), "nonsense\r\n\r\n")
	<-b.began
	close(b.release["/slow"])
	c.expect("GET /slow ")
	response, _ := c.read(http.MethodGet)
	c.g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	c.expectEnd()
}

func TestLimitsOnLengthsAreKept(t *testing.T) {
	limits := func() pipeline.Limits { return pipeline.Limits{HeadBytes: 200, BodyBytes: 10} }
	long := strings.Repeat("a", 300)
	for name, c := range map[string]struct {
		request string
		status  int
		served  int32
	}{
		"a head":                  {"GET /x HTTP/1.1\r\nHost: shop\r\nA: " + long + "\r\n\r\n", 431, 0},
		"a head that has no end":  {"GET /x HTTP/1.1\r\nHost: shop\r\nA: " + long, 431, 0},
		"a body with a length":    {post("/x", strings.Repeat("b", 11)), 413, 1},
		"a body in chunks":        {"POST /x HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nbbbbbbbbbbb\r\n0\r\n\r\n", 413, 1},
		"a body at the limit":     {post("/x", strings.Repeat("b", 10)), 200, 1},
		"a head within the limit": {get("/x"), 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend()
			o := b.options()
			o.Limits = limits
			client := dial(t, o)
			client.write(c.request)
			response, _ := client.read(http.MethodGet)
			client.g.Expect(response.StatusCode).To(Equal(c.status))
			client.g.Expect(response.Close).To(Equal(c.status != 200))
			client.g.Expect(b.served.Load()).To(Equal(c.served))
		})
	}
}

func TestAPlannedStopAnswersWhatWasTakenAndClosesWhatRests(t *testing.T) {
	g := NewWithT(t)
	b := newBackend("/slow")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := pipeline.New(b.options())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	connect := func() *client {
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		return &client{g: g, conn: conn, in: bufio.NewReader(conn)}
	}
	resting, busy := connect(), connect()
	resting.write(get("/quick"))
	resting.expect("GET /quick ")
	<-b.began
	busy.write(get("/slow"), "GET /half HT")
	<-b.began
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	g.Eventually(served, eventual).Should(Receive(MatchError(http.ErrServerClosed)))
	resting.expectEnd() // at once, though it does not close its side
	_, err = resting.conn.Write([]byte(get("/late")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error { _, err := resting.conn.Write([]byte("x")); return err }, eventual).Should(HaveOccurred())
	g.Consistently(stopped, 50*time.Millisecond).ShouldNot(Receive())
	close(b.release["/slow"])
	response, body := busy.read(http.MethodGet)
	g.Expect(body).To(Equal("GET /slow "))
	g.Expect(response.Close).To(BeTrue())
	busy.expectEnd()
	g.Expect(busy.conn.Close()).To(Succeed())
	g.Expect(resting.conn.Close()).To(Succeed())
	g.Eventually(stopped, eventual).Should(Receive(BeNil()))
	g.Expect(b.served.Load()).To(Equal(int32(2)))
}

// countingListener hands out connections that count their writes.
type countingListener struct {
	net.Listener
	writes *atomic.Int32
}

type countingConn struct {
	net.Conn
	writes *atomic.Int32
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, writes: l.writes}, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

func TestAShortAnswerIsOneWrite(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var writes atomic.Int32
	b := newBackend()
	server := pipeline.New(b.options())
	go func() { _ = server.Serve(countingListener{Listener: inner, writes: &writes}) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	c := &client{g: g, conn: conn, in: bufio.NewReader(conn)}
	c.write(get("/x"))
	c.expect("GET /x ")
	g.Expect(writes.Load()).To(Equal(int32(1)))
}

// pipes is a listener whose connections stay in the process, so that time can be
// virtual.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func newPipes() *pipes { return &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipes"} }

// halfCloser is a connection whose sending side can be closed alone, which a pipe's
// other end does not see.
type halfCloser struct{ net.Conn }

func (halfCloser) CloseWrite() error { return nil }

func (p *pipes) dial() net.Conn {
	ours, theirs := net.Pipe()
	p.accepted <- halfCloser{theirs}
	return ours
}

// virtual runs a test in virtual time with a connection to a server.
func virtual(t *testing.T, limits pipeline.Limits, test func(g *WithT, c *client, b *backend)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBackend("/slow")
		o := b.options()
		o.Limits = func() pipeline.Limits { return limits }
		server, listener := pipeline.New(o), newPipes()
		go func() { _ = server.Serve(listener) }()
		conn := listener.dial()
		g := NewWithT(t)
		test(g, &client{g: g, conn: conn, in: bufio.NewReader(conn)}, b)
		_ = server.Close()
		_ = conn.Close()
		synctest.Wait()
	})
}

var limitsOfTime = pipeline.Limits{HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

func TestAHeadThatIsNotSentInTimeIsRefused(t *testing.T) {
	virtual(t, limitsOfTime, func(g *WithT, c *client, b *backend) {
		time.Sleep(14 * time.Second) // at rest
		began := time.Now()
		c.write("GET /x HT")
		time.Sleep(2 * time.Second)
		c.write("TP/1.1\r\n") // does not begin the time anew
		response, _ := c.read(http.MethodGet)
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		g.Expect(time.Since(began)).To(Equal(3 * time.Second))
		c.expectEnd()
		g.Expect(b.served.Load()).To(BeZero())
	})
}

func TestAConnectionThatRestsTooLongIsClosed(t *testing.T) {
	virtual(t, limitsOfTime, func(g *WithT, c *client, _ *backend) {
		time.Sleep(12 * time.Second)
		c.write(get("/x"))
		c.expect("GET /x ")
		began := time.Now()
		c.expectEnd()
		g.Expect(time.Since(began)).To(Equal(15 * time.Second))
	})
}

func TestAConnectionThatWaitsForAnAnswerDoesNotRest(t *testing.T) {
	virtual(t, limitsOfTime, func(g *WithT, c *client, b *backend) {
		c.write(get("/slow"))
		time.Sleep(time.Minute)
		close(b.release["/slow"])
		c.expect("GET /slow ")
		time.Sleep(14 * time.Second)
		c.write(get("/x"))
		c.expect("GET /x ")
	})
}

func TestABodyThatRestsIsRefused(t *testing.T) {
	virtual(t, limitsOfTime, func(g *WithT, c *client, b *backend) {
		c.write("POST /x HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\n\r\na")
		time.Sleep(14 * time.Second)
		c.write("b")
		began := time.Now()
		response, _ := c.read(http.MethodGet)
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
		g.Expect(time.Since(began)).To(Equal(15 * time.Second))
		g.Expect(b.served.Load()).To(BeZero())
	})
}

func TestAClientThatReadsNothingHoldsNoMemoryForEver(t *testing.T) {
	virtual(t, limitsOfTime, func(g *WithT, c *client, _ *backend) {
		began := time.Now()
		c.write(get("/x"))
		time.Sleep(40 * time.Second)
		_, err := c.in.ReadByte()
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(time.Since(began)).To(Equal(40 * time.Second))
	})
}

// A client may still be sending when it is refused. Were the connection closed at
// once, its next bytes would be answered with a reset, which may destroy the refusal.
func TestAClientThatSendsFarTooMuchLearnsOfTheRefusal(t *testing.T) {
	virtual(t, pipeline.Limits{BodyBytes: 10}, func(g *WithT, c *client, _ *backend) {
		const length = 1 << 20
		c.write(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: shop\r\nContent-Length: %d\r\n\r\n", length))
		broken := make(chan time.Duration, 1)
		began := time.Now()
		go func() {
			_, _ = c.conn.Write(make([]byte, length))
			broken <- time.Since(began)
		}()
		response, _ := c.read(http.MethodGet)
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		g.Expect(<-broken).To(Equal(500 * time.Millisecond))
	})
}

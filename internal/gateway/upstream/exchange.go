package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// writeAtOnce is the largest request, in bytes, that is written before its
	// answer is looked for; a larger one is written beside it, since a target may
	// answer before it has read a long body. It fits any socket's buffer.
	writeAtOnce = 2 << 10
	// maxSurplus bounds the answers of other requests that are dropped.
	maxSurplus = 4
	// headBytes is the room that is made for the head of a request.
	headBytes = 512
)

// Request is one request as it goes to a target.
type Request struct {
	Method string
	// URI is the target of the request line, as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's id, which the answer must repeat.
	ID string
	// Streams says whether a long answer with a status, and with or without the
	// promise that the request did not run, may be given out before it is read whole;
	// nil for never.
	Streams func(status int, notRun bool) bool
}

var (
	errSurplus = errors.New("too many answers of other requests lay on the connection")
	errUnnamed = errors.New("the answer does not name its request")
	errTooLong = errors.New("the answer is too long to be held whole")
)

// exchange is one send and the reading of its answer.
type exchange struct {
	conn          *Conn
	ctx           context.Context
	uninterrupted func() bool
	sent          <-chan written
}

// Exchange sends a request and reads its answer: whole, or the beginning of one that
// is long and may be streamed. The connection can be given back once the answer has
// ended, or at once if there is none, whatever came of it. The end of ctx also ends
// the reading of the rest.
func (c *Conn) Exchange(ctx context.Context, r Request) (*Answer, *verdict.Error) {
	if failure := c.pool.gate(c.target.Life()); failure != nil {
		return nil, failure
	}
	c.exchanges++
	c.reusable = false
	e := &exchange{conn: c, ctx: ctx, uninterrupted: context.AfterFunc(ctx, c.interrupt)}
	e.sent = c.send(r)
	answer, framed, err := c.receive(r)
	if err != nil {
		return nil, e.fail(err)
	}
	if answer.rest == nil {
		e.finish(framed)
		return answer, nil
	}
	answer.rest.exchange, answer.rest.framed = e, framed
	return answer, nil
}

// finish ends an exchange whose answer was read whole; framed says whether the
// answer's framing allows another one on the connection.
func (e *exchange) finish(framed bool) {
	c := e.conn
	framed = framed && c.reader.Buffered() == 0
	select {
	case wrote := <-e.sent:
		c.reusable = e.uninterrupted() && framed && wrote.err == nil
	default:
		e.uninterrupted() // the rest of the body has no reader; Put closes
	}
}

// fail ends an exchange without a whole answer.
func (e *exchange) fail(cause error) *verdict.Error {
	e.uninterrupted()
	e.conn.Close() // before the wait: it ends a write that nobody reads
	wrote := <-e.sent
	return failureOf(e.ctx, cause, wrote)
}

// abandon ends an exchange of whose answer no more is wanted.
func (e *exchange) abandon() *verdict.Error {
	e.uninterrupted()
	e.conn.Close()
	return verdict.New(verdict.MayHaveRun, verdict.ReasonClientGone, "nobody wants the rest of the answer")
}

// interrupt ends reads and writes that are under way, and has the target notice at once
// that nobody waits any more, also while no read is under way. How closing goes says
// nothing: the connection is not used again.
func (c *Conn) interrupt() { _ = c.net.Close() }

type written struct {
	bytes int
	err   error
}

// send writes the request and reports on the channel how far it came.
func (c *Conn) send(r Request) <-chan written {
	var b bytes.Buffer
	b.Grow(headBytes + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b) // a buffer takes all
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	done := make(chan written, 1)
	write := func() {
		n, err := c.net.Write(b.Bytes())
		done <- written{bytes: n, err: err}
	}
	if b.Len() <= writeAtOnce {
		write()
	} else {
		go write()
	}
	return done
}

// receive reads answers until the one to this request; framed says whether the
// framing allows another exchange once the answer has ended.
func (c *Conn) receive(r Request) (answer *Answer, framed bool, err error) {
	names := c.pool.options.Names
	for range maxSurplus {
		response, err := c.readHead(r.Method)
		if err != nil {
			return nil, false, err
		}
		signals := c.observeRequest(response)
		framed := isFramed(response)
		id := response.Header.Get(names.RequestID)
		if id == r.ID || id == "" && c.exchanges == 1 {
			c.learnIdle(response.Header)
			answer, err := c.begin(r, response)
			if answer != nil {
				answer.signals = signals
			}
			return answer, framed, err
		}
		if id == "" {
			return nil, false, errUnnamed
		}
		if !framed {
			return nil, false, errSurplus
		}
		if err := c.drop(response); err != nil {
			return nil, false, err
		}
	}
	return nil, false, errSurplus
}

// readHead reads the head of the next answer on the connection, leaving out interim
// ones.
func (c *Conn) readHead(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// isFramed says whether the end of an answer can be found without the end of its
// connection.
func isFramed(r *http.Response) bool {
	return !r.Close && (r.ContentLength >= 0 || len(r.TransferEncoding) > 0)
}

// drop reads the body of an answer that nobody wants.
func (c *Conn) drop(r *http.Response) error {
	most := c.pool.options.AnswerBytes
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, most+1))
	if err == nil && n > most {
		return errTooLong
	}
	return err
}

// learnIdle reads how long the target keeps an idle connection.
func (c *Conn) learnIdle(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			c.idleLimit = time.Duration(idleShare * float64(seconds) * float64(time.Second))
		}
	}
}

// failureOf says whether the target may have run a request without an answer.
func failureOf(ctx context.Context, cause error, wrote written) *verdict.Error {
	v := verdict.MayHaveRun
	if wrote.bytes == 0 && wrote.err != nil {
		v = verdict.NotRun
	}
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return verdict.New(v, verdict.ReasonDeadline, "the target did not answer before the deadline").WithCause(cause)
	case ctx.Err() != nil:
		return verdict.New(v, verdict.ReasonClientGone, "the request was cancelled").WithCause(cause)
	default:
		return verdict.New(v, verdict.ReasonTargetFailed, "the connection broke or held no whole answer").WithCause(cause)
	}
}

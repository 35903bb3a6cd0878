package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// maxSyncWriteBytes is the largest request, in bytes, that is written before its
	// answer is read. A larger one is written concurrently, since a target may
	// answer before it has read a long body. It fits any socket's buffer.
	maxSyncWriteBytes = 2 << 10
	// maxSurplusAnswers bounds how many answers of other requests are dropped in one exchange.
	maxSurplusAnswers = 4
	// maxCopiedBytes is the longest body, in bytes, that is copied behind its head, so that both
	// are written at once. It fits memory.SmallBody.
	maxCopiedBytes = memory.SmallBody
	// requestHeadBytes is the space preallocated for the head of a request.
	requestHeadBytes = 512
)

// Request is one request as it is sent to a target.
type Request struct {
	Method string
	// URI is the request target in the request line, as the client sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the body in pieces; they must not change until the exchange has ended.
	Body [][]byte
	// ID is the request's id, which the answer must repeat.
	ID string
	// MayStream reports whether a long answer with this status may be streamed; notRun
	// says whether the target declared that it did not run the request. Nil means never.
	MayStream func(status int, notRun bool) bool
}

var (
	errTooManySurplus = errors.New("the connection delivered answers to other requests")
	errNoRequestID    = errors.New("the answer has no request id")
	errTooLong        = errors.New("the answer is too long to be buffered")
)

// exchange is one request that is sent and the reading of its answer.
type exchange struct {
	conn          *Conn
	ctx           context.Context
	stopInterrupt func() bool
	sent          <-chan writeResult
}

// Exchange sends a request and reads its answer, or only the beginning of one that is
// long and may be streamed. The connection can be returned to the pool once the answer
// has ended, or at once if Exchange fails. When ctx ends, so does the reading of a
// streamed answer.
func (c *Conn) Exchange(ctx context.Context, r Request) (*Answer, *verdict.Error) {
	if failure := c.pool.gate(c.target.Life()); failure != nil {
		return nil, failure
	}
	c.exchanges++
	c.reusable = false
	e := &exchange{conn: c, ctx: ctx, stopInterrupt: context.AfterFunc(ctx, c.interrupt)}
	e.sent = c.send(r)
	answer, selfDelimited, err := c.receive(r)
	if err != nil {
		return nil, e.fail(err)
	}
	if answer.stream == nil {
		e.finish(selfDelimited)
		return answer, nil
	}
	answer.stream.exchange, answer.stream.selfDelimited = e, selfDelimited
	return answer, nil
}

// finish ends an exchange whose answer was read to its end; selfDelimited says whether
// the answer's framing allows another exchange on the connection.
func (e *exchange) finish(selfDelimited bool) {
	c := e.conn
	selfDelimited = selfDelimited && c.reader.Buffered() == 0
	select {
	case wrote := <-e.sent:
		c.reusable = e.stopInterrupt() && selfDelimited && wrote.err == nil
	default:
		e.stopInterrupt() // the request is not written to its end; Put closes the connection
	}
}

// fail ends an exchange whose answer is missing or incomplete.
func (e *exchange) fail(cause error) *verdict.Error {
	e.stopInterrupt()
	e.conn.Close() // before the receive: it unblocks a write that the target does not read
	wrote := <-e.sent
	return exchangeError(e.ctx, cause, wrote)
}

// abandon ends an exchange before the end of its answer.
func (e *exchange) abandon() *verdict.Error {
	e.stopInterrupt()
	e.conn.Close()
	return verdict.New(verdict.MayHaveRun, verdict.ReasonClientGone, "the answer was abandoned before its end")
}

// interrupt closes the connection. This ends pending reads and writes, and the target
// notices the cancellation at once, even when no read is pending. The error of Close is
// ignored because the connection is not used again.
func (c *Conn) interrupt() { _ = c.net.Close() }

type writeResult struct {
	bytes int64
	err   error
}

// send writes the request and sends the result of the write on the channel.
func (c *Conn) send(r Request) <-chan writeResult {
	parts, length := r.encode()
	done := make(chan writeResult, 1)
	write := func() {
		if len(parts) == 1 { // cheaper than a write of several parts
			n, err := c.net.Write(parts[0])
			done <- writeResult{bytes: int64(n), err: err}
			return
		}
		n, err := c.net.WriteBuffers(parts)
		done <- writeResult{bytes: n, err: err}
	}
	if length <= maxSyncWriteBytes {
		write()
	} else {
		go write()
	}
	return done
}

// encode returns the request as it is written, and its length in bytes. A long body is not
// copied.
func (r Request) encode() (parts net.Buffers, length int64) {
	body := 0
	for _, piece := range r.Body {
		body += len(piece)
	}
	isCopied := body <= maxCopiedBytes
	var b bytes.Buffer
	if isCopied {
		b.Grow(requestHeadBytes + body)
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b) // writing to a buffer does not fail
	if body > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(body) + "\r\n")
	}
	b.WriteString("\r\n")
	if !isCopied {
		length = int64(b.Len() + body)
		return append(net.Buffers{b.Bytes()}, r.Body...), length
	}
	for _, piece := range r.Body {
		b.Write(piece)
	}
	return net.Buffers{b.Bytes()}, int64(b.Len())
}

// receive reads answers up to the one to this request; selfDelimited says whether its
// framing allows another exchange once it has ended.
func (c *Conn) receive(r Request) (answer *Answer, selfDelimited bool, err error) {
	names := c.pool.options.Names
	for range maxSurplusAnswers {
		response, err := c.net.ReadAnswer(c.reader, r.Method)
		if err != nil {
			return nil, false, err
		}
		signals := c.observeAnswer(response)
		selfDelimited := isSelfDelimited(response)
		id := response.Header.Get(names.RequestID)
		if id == r.ID || id == "" && c.exchanges == 1 {
			c.learnIdleTimeout(response.Header)
			answer, err := c.readBody(r, response)
			if answer != nil {
				answer.signals = signals
			}
			return answer, selfDelimited, err
		}
		if id == "" {
			return nil, false, errNoRequestID
		}
		if !selfDelimited {
			return nil, false, errTooManySurplus
		}
		if err := c.discardBody(response); err != nil {
			return nil, false, err
		}
	}
	return nil, false, errTooManySurplus
}

// isSelfDelimited reports whether the end of an answer is known from its framing, without
// the connection being closed.
func isSelfDelimited(r *http.Response) bool {
	return !r.Close && (r.ContentLength >= 0 || len(r.TransferEncoding) > 0)
}

// discardBody reads and drops the body of an answer.
func (c *Conn) discardBody(r *http.Response) error {
	limit := c.pool.options.MaxAnswerBytes
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit+1))
	if err == nil && n > limit {
		return errTooLong
	}
	return err
}

// learnIdleTimeout reads from Keep-Alive how long the target keeps an idle connection.
func (c *Conn) learnIdleTimeout(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			c.idleTimeout = time.Duration(idleTimeoutShare * float64(seconds) * float64(time.Second))
		}
	}
}

// exchangeError returns the error of a request without a complete answer; its verdict says whether
// the target may have run it.
func exchangeError(ctx context.Context, cause error, wrote writeResult) *verdict.Error {
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
		return verdict.New(v, verdict.ReasonTargetFailed, "the connection failed before the answer was complete").WithCause(cause)
	}
}

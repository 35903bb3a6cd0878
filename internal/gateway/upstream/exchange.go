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
	// answer before it has read a long body. Chosen: it fits any socket's buffer.
	writeAtOnce = 2 << 10
	// maxSurplus bounds the answers of other requests that are dropped. Chosen.
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
}

// Answer is a target's whole answer.
type Answer struct {
	status int
	header http.Header
	body   []byte
	notRun bool
}

// Status is the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header holds the headers as the target sent them; the caller may change them.
func (a *Answer) Header() http.Header { return a.header }

// Body is the body, whole and decoded from its framing.
func (a *Answer) Body() []byte { return a.body }

// NotRun says that the answer bears the target's promise that it did not run the
// request.
func (a *Answer) NotRun() bool { return a.notRun }

var (
	errSurplus = errors.New("too many answers of other requests lay on the connection")
	errUnnamed = errors.New("the answer does not name its request")
	errTooLong = errors.New("the answer is too long")
)

// Exchange sends a request and reads its answer whole. The connection can be
// given back afterwards, whatever came of it.
func (c *Conn) Exchange(ctx context.Context, r Request) (*Answer, *verdict.Error) {
	c.exchanges++
	c.reusable = false
	uninterrupted := context.AfterFunc(ctx, c.interrupt)
	sent := c.send(r)
	answer, again, err := c.receive(r)
	if err != nil {
		uninterrupted()
		c.Close() // before the wait: it ends a write that nobody reads
		wrote := <-sent
		return nil, failureOf(ctx, err, wrote)
	}
	again = again && c.reader.Buffered() == 0
	select {
	case wrote := <-sent:
		c.reusable = uninterrupted() && again && wrote.err == nil
	default:
		uninterrupted() // the rest of the body has no reader; Put closes
	}
	return answer, nil
}

// interrupt ends reads and writes that are under way. It fails only on a
// connection that is closed, where none are.
func (c *Conn) interrupt() { _ = c.net.SetDeadline(time.Unix(1, 0)) }

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

// receive reads answers until the one to this request; again says whether the
// connection's framing allows another exchange.
func (c *Conn) receive(r Request) (answer *Answer, again bool, err error) {
	names := c.pool.options.Names
	for range maxSurplus {
		response, body, err := c.readOne(r.Method)
		if err != nil {
			return nil, false, err
		}
		framed := !response.Close && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
		id := response.Header.Get(names.RequestID)
		mine := id == r.ID || id == "" && c.exchanges == 1
		if mine {
			c.learnIdle(response.Header)
			answer := &Answer{
				status: response.StatusCode, header: response.Header, body: body,
				notRun: response.Header.Get(names.NotRun) != "",
			}
			return answer, framed, nil
		}
		if id == "" {
			return nil, false, errUnnamed
		}
		if !framed {
			return nil, false, errSurplus
		}
	}
	return nil, false, errSurplus
}

// readOne reads the next answer on the connection, leaving out interim ones.
func (c *Conn) readOne(method string) (*http.Response, []byte, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(response, c.pool.options.AnswerBytes)
		return response, body, err
	}
}

func readBody(r *http.Response, most int64) ([]byte, error) {
	defer func() { _ = r.Body.Close() }() // reading it tells whether it is whole
	if r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > most {
		return nil, errTooLong
	}
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err == nil && int64(len(body)) > most {
		return nil, errTooLong
	}
	return body, err
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
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(v, verdict.ReasonDeadline, "the target did not answer before the deadline").WithCause(cause)
	case ctx.Err() != nil:
		return verdict.New(v, verdict.ReasonClientGone, "the request was cancelled").WithCause(cause)
	default:
		return verdict.New(v, verdict.ReasonTargetFailed, "the connection broke or held no whole answer").WithCause(cause)
	}
}

package pipeline

import (
	"bytes"
	"errors"
	"net/http"
	"runtime/debug"
	"strconv"

	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

// exchange is one request of a connection and its answer.
type exchange struct {
	conn    *conn
	request *http.Request // nil where refusal is set
	refusal *refused
	body    int64           // bytes of the request's body
	hold    *membudget.Hold // of all but a long body
	sent    *Body           // the request's body; nil where refusal is set
	method  string
	old     bool // the request is HTTP/1.0
	closes  bool // the answer is the connection's last
	// start is closed once it may be served, turn once it may be answered, and done
	// once it is over.
	start <-chan struct{}
	turn  <-chan struct{}
	done  chan struct{}
}

// admit takes a request. Whether its answer closes the connection is decided here,
// before anything behind it is read.
func (c *conn) admit(r incoming) *exchange {
	safe := c.server.options.Safe(r.Request)
	closes := r.Close || r.body.err != nil || c.server.options.Stopping()
	r.RemoteAddr = c.remote
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.chain(r.body.length)
	x.request, x.method, x.old = r.Request, r.Method, !r.ProtoAtLeast(1, 1)
	x.hold, x.sent = r.hold, r.body
	x.closes = closes || c.finished
	x.start = x.turn
	if safe {
		x.start = c.barrier
	} else {
		c.barrier = x.done
	}
	return x
}

// refuse answers a request that cannot be taken, and ends the connection.
func (c *conn) refuse(r *refused) {
	c.server.options.Log.Warn("request refused", "client", c.remote, "status", r.status, "cause", r.detail)
	c.mu.Lock()
	x := c.chain(0)
	c.mu.Unlock()
	x.refusal, x.method, x.closes, x.start = r, http.MethodGet, true, x.turn
	go x.serve()
}

// chain puts an exchange behind the latest one; the lock is held.
func (c *conn) chain(body int64) *exchange {
	x := &exchange{conn: c, body: body, turn: c.tail, done: make(chan struct{})}
	c.tail = x.done
	c.window.take(body)
	return x
}

// serve has the request served and writes its answer when its turn comes.
func (x *exchange) serve() {
	defer close(x.done)
	a := x.answer()
	if x.sent != nil {
		x.sent.drop()
	}
	x.conn.made(a)
	if a != nil && x.await(x.turn) {
		x.write(a)
	}
	x.conn.written(x.body, a)
	x.hold.Release()
	a.done()
}

// await waits for its time and says whether the client is still there.
func (x *exchange) await(time <-chan struct{}) bool {
	select {
	case <-time:
		return x.conn.ctx.Err() == nil
	case <-x.conn.ctx.Done():
		return false
	}
}

// answer is the answer to the request; nil where none may be given.
func (x *exchange) answer() *answer {
	if x.refusal != nil {
		a := newAnswer(x)
		if x.refusal.retryAfter > 0 {
			a.Header().Set("Retry-After", strconv.Itoa(x.refusal.retryAfter))
		}
		a.WriteHeader(x.refusal.status)
		return a
	}
	if !x.await(x.start) {
		return nil
	}
	return x.handle()
}

// handle has the handler answer. One that panics has answered with an error; one
// that aborts, or has passed part of its answer on, ends the connection.
func (x *exchange) handle() (a *answer) {
	a = newAnswer(x)
	defer func() {
		if cause := recover(); cause != nil {
			a = x.failed(a, cause)
		}
	}()
	x.conn.server.options.Handler.ServeHTTP(a, x.request.WithContext(x.conn.ctx))
	return a
}

// failed is the answer of a handler that panicked; nil where none may be given.
func (x *exchange) failed(a *answer, cause any) *answer {
	a.done()
	err, ok := cause.(error)
	aborted := ok && errors.Is(err, http.ErrAbortHandler)
	if !aborted {
		x.conn.server.options.Log.Error("a request made its handler fail", "cause", cause, "stack", string(debug.Stack()))
	}
	if aborted || a.stream != nil {
		x.conn.close()
		return nil
	}
	a = newAnswer(x)
	a.WriteHeader(http.StatusInternalServerError)
	return a
}

// write writes the answer at once, or ends one that was passed on in pieces. A client that
// does not take it has left.
func (x *exchange) write(a *answer) {
	var err error
	if a.stream != nil {
		err = a.stream.end()
	} else {
		err = x.writeWhole(a)
	}
	if err != nil {
		x.conn.server.options.Log.Debug("answer not taken", "client", x.conn.remote, "error", err.Error())
		x.conn.close()
	}
}

func (x *exchange) writeWhole(a *answer) error {
	head := heads.Get().(*bytes.Buffer)
	defer heads.Put(head)
	head.Reset()
	body := a.encode(head, framed{method: x.method, old: x.old, closes: x.conn.isLast(x), now: x.conn.server.options.Clock()})
	return x.conn.write(head.Bytes(), body)
}

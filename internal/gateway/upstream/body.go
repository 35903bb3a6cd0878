package upstream

import (
	"io"
	"net/http"
	"slices"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
)

const (
	// defaultMaxBufferedBytes is the longest answer that is buffered, so that the request
	// can go to another target if the answer breaks off (docs/design/long-answers.md).
	defaultMaxBufferedBytes = 32 << 10
	// streamBufferBytes is how much of a long answer is forwarded at once: 13 ms on a
	// 10 Mbit/s link, with few system calls per answer.
	streamBufferBytes = 16 << 10
	// minStreamBufferBytes is used when the budget is exhausted: one or two packets.
	minStreamBufferBytes = 2 << 10
	// growBytes is how much the buffer of an answer of unknown length grows at a time.
	growBytes = 8 << 10
)

// readBody reads the body of an answer, or only its beginning if the answer is streamed.
func (c *Conn) readBody(r Request, response *http.Response) (*Answer, error) {
	a := &Answer{
		status: response.StatusCode, header: response.Header, budget: c.pool.options.Budget, length: response.ContentLength,
		notRun: response.Header.Get(c.pool.options.Names.NotRun) != "",
	}
	if response.Body == http.NoBody {
		return a, nil
	}
	mayStream := r.MayStream != nil && r.MayStream(a.status, a.notRun)
	read := a.readWithoutLength
	if a.length >= 0 {
		read = a.readWithLength
	}
	complete, err := read(c.pool.options, response.Body, mayStream)
	if err != nil {
		a.Close()
		return nil, err
	}
	if !complete {
		a.stream = &bodyStream{body: response.Body, prefix: a.body, bytesRead: len(a.body)}
		a.body = nil
	}
	return a, nil
}

// readWithLength reads a body of known length, unless it is to be streamed.
func (a *Answer) readWithLength(o Options, body io.Reader, mayStream bool) (complete bool, err error) {
	fits := a.length <= int64(o.MaxBufferedBytes)
	if mayStream && !fits || a.length > o.MaxAnswerBytes {
		return false, limitError(mayStream)
	}
	n := int(a.length)
	if !a.reserve(n, fits && !mayStream) {
		return false, limitError(mayStream)
	}
	a.body = make([]byte, n)
	_, err = io.ReadFull(body, a.body)
	return true, err
}

// readWithoutLength reads a body of unknown length, until it is long enough to be
// streamed.
func (a *Answer) readWithoutLength(o Options, body io.Reader, mayStream bool) (complete bool, err error) {
	for {
		length := len(a.body)
		fits := length+growBytes <= o.MaxBufferedBytes
		if mayStream && !fits || int64(length) > o.MaxAnswerBytes {
			return false, limitError(mayStream)
		}
		if !a.reserve(growBytes, fits && !mayStream) {
			return false, limitError(mayStream)
		}
		a.body = slices.Grow(a.body, growBytes)
		a.hold.Resize(int64(cap(a.body))) // Grow may allocate more
		n, err := readFull(body, a.body[length:length+growBytes])
		a.body = a.body[:length+n]
		if err == io.EOF {
			a.length = int64(len(a.body))
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// reserve reserves n bytes of the budget and reports whether it could. With force it exceeds
// the limit, as for a short answer that must be buffered.
func (a *Answer) reserve(n int, force bool) bool {
	if a.hold == nil {
		a.hold = a.budget.Hold(memory.Answer, 0)
	}
	if a.hold.TryGrow(int64(n)) {
		return true
	}
	if force {
		a.hold.Resize(a.hold.Bytes() + int64(n))
	}
	return force
}

// limitError returns the error for an answer that exceeds a limit of buffering: nil if it may be
// streamed instead.
func limitError(mayStream bool) error {
	if mayStream {
		return nil
	}
	return errTooLong
}

package upstream

import (
	"io"
	"net/http"
	"slices"
)

const (
	// wholeBytes is the longest answer that is read whole, so that another target can
	// be asked if it breaks off (docs/design/long-answers.md).
	wholeBytes = 32 << 10
	// pieceBytes is how much of a long answer is passed on at once. 13 ms of a
	// link of 10 Mbit/s, and few calls of the system for an answer.
	pieceBytes = 16 << 10
	// minPieceBytes is the same where there is no room. One packet or two.
	minPieceBytes = 2 << 10
	// stepBytes is by how much the buffer of an answer of unknown length grows.
	stepBytes = 8 << 10
)

// begin reads the body of an answer: whole, or the beginning of one that is streamed.
func (c *Conn) begin(r Request, response *http.Response) (*Answer, error) {
	a := &Answer{
		status: response.StatusCode, header: response.Header, room: c.pool.options.Room, length: response.ContentLength,
		notRun: response.Header.Get(c.pool.options.Names.NotRun) != "",
	}
	if response.Body == http.NoBody {
		return a, nil
	}
	streams := r.Streams != nil && r.Streams(a.status, a.notRun)
	read := a.readUnknown
	if a.length >= 0 {
		read = a.readKnown
	}
	whole, err := read(c.pool.options, response.Body, streams)
	if err != nil {
		a.Close()
		return nil, err
	}
	if !whole {
		a.rest = &rest{body: response.Body, prefix: a.body, read: len(a.body)}
		a.body = nil
	}
	return a, nil
}

// readKnown reads a body whose length is known, unless it is streamed.
func (a *Answer) readKnown(o Options, body io.Reader, streams bool) (whole bool, err error) {
	short := a.length <= int64(o.WholeBytes)
	if streams && !short || a.length > o.AnswerBytes {
		return false, tooLongUnless(streams)
	}
	n := int(a.length)
	if !a.take(n, short && !streams) {
		return false, tooLongUnless(streams)
	}
	a.body = make([]byte, n)
	_, err = io.ReadFull(body, a.body)
	return true, err
}

// readUnknown reads a body whose length is not known, until it is long enough to be
// streamed.
func (a *Answer) readUnknown(o Options, body io.Reader, streams bool) (whole bool, err error) {
	for {
		held := len(a.body)
		short := held+stepBytes <= o.WholeBytes
		if streams && !short || int64(held) > o.AnswerBytes {
			return false, tooLongUnless(streams)
		}
		if !a.take(stepBytes, short && !streams) {
			return false, tooLongUnless(streams)
		}
		a.body = slices.Grow(a.body, stepBytes)
		a.take(cap(a.body)-a.taken, true) // it may grow by more
		n, err := readFull(body, a.body[held:held+stepBytes])
		a.body = a.body[:held+n]
		if err == io.EOF {
			a.length = int64(len(a.body))
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// take takes room for n bytes, if there is any; anyway says to go beyond the limit, as for
// a short answer that can only be given out whole.
func (a *Answer) take(n int, anyway bool) bool {
	if !a.room.take(n) {
		if !anyway {
			return false
		}
		a.room.takeAnyway(n)
	}
	a.taken += n
	return true
}

// tooLongUnless is the error of an answer that is not read whole: none if it is streamed.
func tooLongUnless(streams bool) error {
	if streams {
		return nil
	}
	return errTooLong
}

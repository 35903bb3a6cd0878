package upstream

import (
	"errors"
	"io"
)

// maxAnswerHeadBytes bounds what is read for the head of one answer, in bytes. Servers send some
// kilobytes.
const maxAnswerHeadBytes = 256 << 10

// unlimited lets a headReader read without a bound.
const unlimited = -1

// errHeadTooLong means that a target did not end the head of its answer.
var errHeadTooLong = errors.New("the head of the answer is too long")

// headReader bounds what is read from a connection while the head of an answer is read.
type headReader struct {
	from io.Reader
	left int // bytes; unlimited for no bound
}

func newHeadReader(from io.Reader) *headReader { return &headReader{from: from, left: unlimited} }

// limit sets how many bytes may be read from now on.
func (r *headReader) limit(n int) { r.left = n }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.left == unlimited {
		return r.from.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

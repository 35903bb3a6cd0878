package httpconn

import (
	"errors"
	"io"
	"net/http"
)

// ErrBodyTooLong means that the body of an answer is longer than its reader takes.
var ErrBodyTooLong = errors.New("the body of the answer is too long")

// ReadBody reads the whole body of an answer, of at most limit bytes, and closes it.
func ReadBody(response *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }() // only errors of reading it matter
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = ErrBodyTooLong
	}
	return body, err
}

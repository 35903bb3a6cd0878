package pipeline

import (
	"bytes"
	"errors"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// refused says why a request cannot be taken, and with which status its client is
// told. Its connection is closed: where the next request begins is not known.
type refused struct {
	status int
	detail string
	// retryAfter is when the client may come back, in seconds; 0 where that is not known.
	retryAfter int
}

// Error implements error.
func (r *refused) Error() string { return r.detail }

// Why requests are refused. The texts go to the log.
var (
	errHeadTooLong   = &refused{status: http.StatusRequestHeaderFieldsTooLarge, detail: "the head is longer than the limits allow"}
	errHeadTooSlow   = &refused{status: http.StatusRequestTimeout, detail: "the head was not sent in the time that the limits allow"}
	errBodyTooSlow   = &refused{status: http.StatusRequestTimeout, detail: "the body came to a rest"}
	errBadBody       = &refused{status: http.StatusBadRequest, detail: "the body's framing is broken"}
	errBadLine       = &refused{status: http.StatusBadRequest, detail: "a line of the head does not end in CR LF, or holds a control character"}
	errBadField      = &refused{status: http.StatusBadRequest, detail: "a header field has no valid name, or white space where none may be"}
	errBadHost       = &refused{status: http.StatusBadRequest, detail: "the request does not name one host"}
	errBadHead       = &refused{status: http.StatusBadRequest, detail: "the head is no HTTP request"}
	errLengths       = &refused{status: http.StatusBadRequest, detail: "the request states its length more than once"}
	errLengthChunked = &refused{status: http.StatusBadRequest, detail: "the request has a length and is chunked"}
	errEncoding      = &refused{status: http.StatusNotImplemented, detail: "the transfer encoding is not chunked"}
	errExpectation   = &refused{status: http.StatusExpectationFailed, detail: "the client expects something other than 100-continue"}
	errHeadNoRoom    = &refused{status: http.StatusServiceUnavailable, detail: "there is no room in memory for the head", retryAfter: 1}
	errVersion       = &refused{status: http.StatusHTTPVersionNotSupported, detail: "the version is neither HTTP/1.0 nor HTTP/1.1"}
)

// asRefused is the refusal that an error means; nil if it means none.
func asRefused(err error) *refused {
	var r *refused
	if errors.As(err, &r) {
		return r
	}
	return nil
}

// headEnd is what a head ends in.
var headEnd = []byte("\r\n\r\n")

// Parts of a head that decide about framing.
var (
	fieldLength   = []byte("content-length")
	fieldEncoding = []byte("transfer-encoding")
	fieldHost     = []byte("host")
	chunked       = []byte("chunked")
	protocol      = []byte("HTTP/")
	protocol10    = []byte("HTTP/1.0")
	protocol11    = []byte("HTTP/1.1")
	lineEnd       = []byte("\r\n")
	space         = []byte(" ")
	colon         = []byte(":")
)

// framing counts the fields of a head that decide about framing.
type framing struct {
	lengths   int
	encodings int
	hosts     int
}

// checkHead reports what in a whole head could be read in two ways. The parser
// is lenient in some of that, and the targets' may be lenient in other ways.
func checkHead(head []byte) error {
	requestLine, fields, _ := bytes.Cut(head, lineEnd)
	if !plainLine(requestLine) {
		return errBadLine
	}
	old, err := checkVersion(requestLine)
	if err != nil {
		return err
	}
	var found framing
	for len(fields) > len(lineEnd) {
		line, rest, _ := bytes.Cut(fields, lineEnd)
		fields = rest
		if err := found.add(line); err != nil {
			return err
		}
	}
	return found.check(old)
}

// plainLine says whether a line holds no control character, a bare CR or LF
// among them, but tabs.
func plainLine(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// checkVersion says whether a request line names HTTP/1.0. The line must have
// exactly three parts.
func checkVersion(line []byte) (old bool, err error) {
	method, rest, _ := bytes.Cut(line, space)
	uri, version, _ := bytes.Cut(rest, space)
	if len(method) == 0 || len(uri) == 0 || bytes.ContainsAny(version, " ") || bytes.IndexByte(line, '\t') >= 0 {
		return false, errBadHead
	}
	switch {
	case bytes.Equal(version, protocol11):
		return false, nil
	case bytes.Equal(version, protocol10):
		return true, nil
	case bytes.HasPrefix(version, protocol):
		return false, errVersion
	default:
		return false, errBadHead
	}
}

// add takes in a line of the head.
func (f *framing) add(line []byte) error {
	if !plainLine(line) {
		return errBadLine
	}
	name, value, ok := bytes.Cut(line, colon)
	if !ok || !isToken(name) {
		return errBadField // white space before the colon or the name is no part of a name
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, fieldLength):
		f.lengths++
	case bytes.EqualFold(name, fieldEncoding):
		f.encodings++
		if !bytes.EqualFold(value, chunked) {
			return errEncoding
		}
	case bytes.EqualFold(name, fieldHost):
		f.hosts++
		if !httpguts.ValidHostHeader(string(value)) {
			return errBadHost
		}
	}
	return nil
}

// isToken says whether a field's name is one (RFC 9110, 5.6.2).
func isToken(name []byte) bool {
	for _, b := range name {
		if !httpguts.IsTokenRune(rune(b)) {
			return false
		}
	}
	return len(name) > 0
}

func (f *framing) check(old bool) error {
	switch {
	case f.hosts > 1 || f.hosts == 0 && !old:
		return errBadHost
	case f.lengths > 1 || f.encodings > 1:
		return errLengths
	case f.encodings > 0 && (f.lengths > 0 || old):
		return errLengthChunked
	default:
		return nil
	}
}

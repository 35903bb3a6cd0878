package httpconn

import (
	"errors"
	"fmt"
	"net/http"
)

// maxHeadBytes bounds the heads of one answer, interim ones included. Servers send some
// kilobytes.
const maxHeadBytes = 256 << 10

// Errors of an answer that the protocol does not allow.
var (
	// ErrInvalid means that the server's bytes are no HTTP/1 answer.
	ErrInvalid = errors.New("invalid answer")
	// ErrHeadTooLong means that the server did not end the head of its answer.
	ErrHeadTooLong = errors.New("the head of the answer is too long")
)

// Valid statuses (RFC 9110, 15).
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

const (
	protocol         = "HTTP/1."
	transferEncoding = "transfer-encoding"
	statusDigits     = 3
)

// headState is what the next byte of a head belongs to.
type headState int

const (
	inProtocol headState = iota
	inMinorVersion
	beforeStatus
	inStatus
	afterStatus
	inReason
	atLineStart
	inName
	inValue
	atLineEnd // a carriage return was read
	atHeadEnd // likewise, in an empty line
	complete
)

// head checks the heads of one answer byte by byte. The zero value expects the first byte of
// a status line.
type head struct {
	state headState
	bytes int // of all heads
	// at is the position within the protocol, the status or the name of a field.
	at     int
	minor  byte // of the version, as a digit
	status int
	// fields is how many lines of fields have begun.
	fields int
	// isCoding says that the name of the field is that of the transfer coding, as far as it
	// was read.
	isCoding bool
}

// isComplete reports whether the head of the final answer has ended.
func (h *head) isComplete() bool { return h.state == complete }

// check checks the next bytes, as far as they belong to heads. It returns how many may be
// passed on: those up to the one that is not allowed, so that a reader sees that an answer
// began.
func (h *head) check(p []byte) (int, error) {
	for i := 0; i < len(p) && !h.isComplete(); i++ {
		i += h.skip(p[i:])
		if h.bytes == maxHeadBytes {
			return i, ErrHeadTooLong
		}
		if i == len(p) {
			break
		}
		h.bytes++
		if err := h.next(p[i]); err != nil {
			return i + 1, err
		}
	}
	return len(p), nil
}

// skip counts the bytes up to the next one that does not simply continue a name, a value or a
// reason phrase: most bytes of a head do. It returns how many they are.
func (h *head) skip(p []byte) (n int) {
	p = p[:min(len(p), maxHeadBytes-h.bytes)]
	switch {
	case h.state == inValue || h.state == inReason:
		for n < len(p) && isText(p[n]) {
			n++
		}
	case h.state == inName && !h.isCoding:
		for n < len(p) && isToken[p[n]] {
			n++
		}
		h.at += n
	}
	h.bytes += n
	return n
}

// next checks one byte.
func (h *head) next(b byte) error {
	switch h.state {
	case inProtocol, inMinorVersion, beforeStatus, inStatus, afterStatus, inReason:
		return h.nextOfStatusLine(b)
	case atLineStart:
		return h.beginLine(b)
	case inName:
		return h.nextOfName(b)
	case inValue:
		return h.nextOfText(b)
	default:
		return h.endLine(b)
	}
}

func (h *head) nextOfStatusLine(b byte) error {
	switch h.state {
	case inProtocol:
		return h.nextOfProtocol(b)
	case inMinorVersion:
		h.minor, h.state = b, beforeStatus
		return unless(isDigit(b), "version")
	case beforeStatus:
		if b == ' ' {
			h.at = 1
			return nil
		}
		if h.at == 0 {
			return invalid("version")
		}
		h.at, h.status, h.state = 0, 0, inStatus
		return h.nextOfStatus(b)
	case inStatus:
		return h.nextOfStatus(b)
	case afterStatus:
		if b != ' ' && b != '\r' && b != '\n' {
			return invalid("status")
		}
		h.state = inReason
		return h.nextOfText(b)
	default:
		return h.nextOfText(b)
	}
}

func (h *head) nextOfProtocol(b byte) error {
	if b != protocol[h.at] {
		return invalid("protocol")
	}
	h.at++
	if h.at == len(protocol) {
		h.at, h.state = 0, inMinorVersion
	}
	return nil
}

func (h *head) nextOfStatus(b byte) error {
	if !isDigit(b) {
		return invalid("status")
	}
	h.status = 10*h.status + int(b-'0')
	h.at++
	if h.at < statusDigits {
		return nil
	}
	h.fields, h.state = 0, afterStatus
	// No request asks for another protocol, so no answer may switch to one.
	valid := h.status >= minStatus && h.status <= maxStatus && h.status != http.StatusSwitchingProtocols
	if !valid {
		return invalid(fmt.Sprintf("status %03d", h.status))
	}
	return nil
}

// beginLine takes the first byte behind a line end.
func (h *head) beginLine(b byte) error {
	switch {
	case b == '\r':
		h.state = atHeadEnd
		return nil
	case b == '\n':
		h.endHead()
		return nil
	case b == ' ' || b == '\t': // the value goes on (RFC 9112, 5.2)
		h.state = inValue
		return unless(h.fields > 0, "field")
	default:
		h.fields++
		h.at, h.isCoding, h.state = 0, true, inName
		return h.nextOfName(b)
	}
}

func (h *head) nextOfName(b byte) error {
	if b != ':' {
		h.isCoding = h.isCoding && h.at < len(transferEncoding) && lower(b) == transferEncoding[h.at]
		h.at++
		return unless(isToken[b], "field name")
	}
	if h.at == 0 {
		return invalid("field name")
	}
	h.state = inValue
	// A version without transfer codings can't frame an answer by one (RFC 9112, 6.1).
	isCoding := h.isCoding && h.at == len(transferEncoding)
	return unless(!isCoding || h.minor != '0', "transfer coding of HTTP/1.0")
}

// nextOfText takes a byte of a field's value or of a reason phrase.
func (h *head) nextOfText(b byte) error {
	switch b {
	case '\r':
		h.state = atLineEnd
		return nil
	case '\n':
		h.state = atLineStart
		return nil
	default:
		return unless(isText(b) || b == '\t', "control byte")
	}
}

// endLine takes the byte behind a carriage return.
func (h *head) endLine(b byte) error {
	if b != '\n' {
		return invalid("line end")
	}
	if h.state == atHeadEnd {
		h.endHead()
	} else {
		h.state = atLineStart
	}
	return nil
}

// endHead ends a head; behind an interim one another follows.
func (h *head) endHead() {
	h.state = complete
	if h.status < minFinalStatus {
		h.at, h.state = 0, inProtocol
	}
}

func unless(valid bool, part string) error {
	if valid {
		return nil
	}
	return invalid(part)
}

func invalid(part string) error { return fmt.Errorf("%w: %s", ErrInvalid, part) }

const deleteByte = 0x7f

func isText(b byte) bool { return b >= ' ' && b != deleteByte }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// isToken says which bytes a field's name may have (RFC 9110, 5.6.2).
var isToken = func() (set [256]bool) {
	for b := '0'; b <= '9'; b++ {
		set[b] = true
	}
	for b := 'a'; b <= 'z'; b++ {
		set[b], set[b-'a'+'A'] = true, true
	}
	for _, b := range "!#$%&'*+-.^_`|~" {
		set[b] = true
	}
	return set
}()

// Package httpconntest has servers whose answers HTTP/1 does not allow, for the tests of
// everything that reads answers.
//
// # Usage
//
//	for name, answer := range httpconntest.Invalid("X-Id: 1\r\n") { ... }
//	address := httpconntest.Serve(t, func(conn net.Conn, r *http.Request) {
//		httpconntest.Write(conn, answer)
//	})
package httpconntest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// maxEndlessBytes bounds what WriteEndlessly writes if nobody closes the connection.
	maxEndlessBytes = 1 << 30
	// fastEndlessBytes is what it writes as fast as it can, which is more than any reader
	// accepts. After that it pauses between two writes, so that a reader without a bound of
	// its own does not reach the end before its deadline.
	fastEndlessBytes = 128 << 20
	endlessPause     = time.Millisecond
)

// Invalid returns answers that are none, by what is wrong with them. Each has the given
// fields, lines with their ends, and most would be read as complete, with the body "10", by a
// lenient reader.
func Invalid(fields string) map[string]string {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	sized := fields + "Content-Length: 2\r\n\r\n10"
	chunked := ok + "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"status 000":                             "HTTP/1.1 000 \r\n" + sized,
		"status 000 before another answer":       "HTTP/1.1 000 \r\n\r\n" + "HTTP/1.1 200 OK\r\n" + sized,
		"status 099":                             "HTTP/1.1 099 \r\n" + sized,
		"status 600":                             "HTTP/1.1 600 \r\n" + sized,
		"status 999":                             "HTTP/1.1 999 \r\n" + sized,
		"status with a sign":                     "HTTP/1.1 +20 \r\n" + sized,
		"status of four digits":                  "HTTP/1.1 2000 \r\n" + sized,
		"another protocol that nobody asked for": "HTTP/1.1 101 Switching Protocols\r\n" + fields + "Upgrade: x\r\nConnection: Upgrade\r\n\r\n10",
		"another version":                        "HTTP/2.0 200 OK\r\n" + sized,
		"control byte in the status line":        "HTTP/1.1 200 O\x01K\r\n" + sized,
		"carriage return in the status line":     "HTTP/1.1 200 O\rK\r\n" + sized,
		"blank behind the name of a length":      ok + "Content-Length : 2\r\n\r\n10",
		"blank behind the name of a coding":      ok + "Transfer-Encoding : chunked\r\n\r\n2\r\n10\r\n0\r\n\r\n",
		"blank in a name":                        ok + "X Field: a\r\nContent-Length: 2\r\n\r\n10",
		"blank in a name of an interim answer":   "HTTP/1.1 103 Early Hints\r\nX Field: a\r\n\r\n" + ok + "Content-Length: 2\r\n\r\n10",
		"blank before the first name":            "HTTP/1.1 200 OK\r\n X: a\r\n" + sized,
		"control byte in a name":                 ok + "X\x01Field: a\r\nContent-Length: 2\r\n\r\n10",
		"no name":                                ok + ": a\r\nContent-Length: 2\r\n\r\n10",
		"no colon":                               ok + "X-Field\r\nContent-Length: 2\r\n\r\n10",
		"NUL in a value":                         ok + "X-Field: a\x00b\r\nContent-Length: 2\r\n\r\n10",
		"coding in HTTP/1.0":                     "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\n10\r\n0\r\n\r\n",
		"two lengths":                            ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n100",
		"length that is no number":               ok + "Content-Length: +2\r\n\r\n10",
		"unknown coding":                         ok + "Transfer-Encoding: gzip\r\n\r\n10",
		"body shorter than its length":           ok + "Content-Length: 20\r\n\r\n10",
		"chunks without an end":                  chunked + "\r\n2\r\n10\r\n",
		"chunk that is longer than it says":      chunked + "\r\n2\r\n1010\r\n0\r\n\r\n",
		"chunk with a wrong size":                chunked + "\r\nx\r\n10\r\n0\r\n\r\n",
		"blank in a trailer's name":              chunked + "\r\n2\r\n10\r\n0\r\nX Field: a\r\n\r\n",
		"head without an end":                    ok + "Content-Length: 2\r\n",
		"bytes that are no answer":               "\x00\x01garbage\r\n\r\n",
	}
}

// Valid returns unusual answers that the protocol allows, with the body "123".
func Valid(fields string) map[string]string {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	sized := "Content-Length: 3\r\n\r\n123"
	return map[string]string{
		"interim answers before it":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + sized,
		"status that is not registered":   "HTTP/1.1 299 \r\n" + fields + sized,
		"no reason phrase":                "HTTP/1.1 200\r\n" + fields + sized,
		"obsolete text in a value":        ok + "X-Name: caf\xe9\r\n" + sized,
		"value on two lines":              ok + "X-Name: a\r\n b\r\n" + sized,
		"HTTP/1.0":                        "HTTP/1.0 200 OK\r\n" + fields + sized,
		"chunks with a trailer":           ok + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\n123\r\n0\r\nX-Sum: a\r\n\r\n",
		"body up to the connection's end": ok + "\r\n123",
	}
}

// Endless returns the beginnings of answers and what follows them without an end, by where
// they do not end.
func Endless(fields string) map[string][2]string {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("a", 1000)
	return map[string][2]string{
		"status line":       {"HTTP/1.1 200 ", long},
		"field":             {ok + "X-Long: ", long},
		"head":              {ok, "X-Long: " + long + "\r\n"},
		"interim answers":   {"", "HTTP/1.1 102 Processing\r\nX-Long: " + long + "\r\n\r\n"},
		"extension":         {chunked + "2;", long},
		"trailer":           {chunked + "2\r\n10\r\n0\r\n", "X-Long: " + long + "\r\n"},
		"body":              {ok + "\r\n", long},
		"body in chunks":    {chunked, "3e8\r\n" + long + "\r\n"},
		"body of a length":  {ok + "Content-Length: 1000000000000\r\n\r\n", long},
		"interim fields":    {"HTTP/1.1 103 Early Hints\r\n", "X-Long: " + long + "\r\n"},
		"chunks of a byte":  {chunked, "1;" + long + "\r\na\r\n"},
		"bytes of no sense": {"", long},
	}
}

// Serve accepts connections at an address of the loopback interface, reads one request's head
// on each, has it answered and closes the connection in order.
func Serve(t testing.TB, answer func(conn net.Conn, r *http.Request)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn, r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Write writes text; it ignores that the other side may have closed.
func Write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// WriteEndlessly writes a beginning, and pieces until the other side closes the connection. It
// returns how many bytes it wrote.
func WriteEndlessly(conn net.Conn, answer [2]string) (written int) {
	Write(conn, answer[0])
	pieces := []byte(strings.Repeat(answer[1], 16))
	for written < maxEndlessBytes {
		n, err := conn.Write(pieces)
		written += n
		if err != nil {
			break
		}
		if written > fastEndlessBytes {
			time.Sleep(endlessPause)
		}
	}
	return written
}

// resetAfter is the time in which bytes arrive before a reset, which may discard them.
const resetAfter = 20 * time.Millisecond

// WriteAndReset writes text and resets the connection, with the rest of the request unread.
func WriteAndReset(conn net.Conn, text string) {
	Write(conn, text)
	time.Sleep(resetAfter)
	Reset(conn)
}

// Reset closes a connection by a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that has ended
	}
	_ = conn.Close()
}

// WriteAndReadOn writes text, closes its own direction in order, and reads what still comes.
func WriteAndReadOn(conn net.Conn, text string) {
	Write(conn, text)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only on a connection that has ended
	}
	_, _ = io.Copy(io.Discard, conn) // ends when the other side closes or resets
}

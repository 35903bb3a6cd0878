// Package httpconntest has servers that write raw bytes, for the tests of everything that reads
// answers.
//
// # Usage
//
//	address := httpconntest.Serve(t, func(conn net.Conn, r *http.Request) {
//		httpconntest.Write(conn, answer)
//	})
package httpconntest

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"testing"
	"time"
)

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

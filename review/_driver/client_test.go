//go:build review

package driver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is one client's kept connection to a machine.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	served  int // answers on this connection
}

// request is one client attempt.
type request struct {
	method, host, path, id string
	deadline               time.Duration
	header                 map[string]string
	body                   []byte
}

// answer is how an attempt ended: with a status, or with an error if the connection ended.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	kept     bool // the connection had served a request before
	sent     bool // the whole request was written
	err      error
	deadline bool // the client gave up
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.served = nil, 0
}

// do sends a request on the kept connection, or on a new one if there is none.
func (c *client) do(r request) (a answer) {
	a.kept = c.conn != nil && c.served > 0
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader, c.served = conn, bufio.NewReader(conn), 0
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	for name, value := range r.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	head.WriteString("\r\n")
	buffers := net.Buffers{head.Bytes(), r.body}
	if _, err := buffers.WriteTo(c.conn); err != nil {
		return c.broken(a, err)
	}
	a.sent = true
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return c.broken(a, err)
	}
	a.body, err = io.ReadAll(response.Body)
	if err != nil {
		return c.broken(a, err)
	}
	a.status, a.header = response.StatusCode, response.Header
	c.served++
	if response.Close {
		c.close()
	}
	return a
}

func (c *client) broken(a answer, err error) answer {
	var late net.Error
	a.err = err
	if e, ok := err.(net.Error); ok {
		late = e
		a.deadline = late.Timeout()
	}
	c.close()
	return a
}

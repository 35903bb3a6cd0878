// Package rpcconn provides clients of net/rpc that bound the messages they receive. The codec
// of net/rpc takes messages of up to a gigabyte into memory.
//
// # Usage
//
//	client := rpcconn.NewClient(conn, 1<<20)
//	err := client.Call("Feed.News", args, &reply) // ErrTooLong ends the connection
package rpcconn

import (
	"errors"
	"net"
	"net/rpc"
)

// ErrTooLong means that the other side sent a message that is too long, or bytes that are none.
var ErrTooLong = errors.New("a message of net/rpc is too long")

// NewClient returns a client that uses conn, and takes messages of at most maxMessage bytes.
func NewClient(conn net.Conn, maxMessage uint64) *rpc.Client {
	return rpc.NewClient(&boundedConn{Conn: conn, maxMessage: maxMessage})
}

// boundedConn reads the lengths of the messages of package gob, which stand before each.
type boundedConn struct {
	net.Conn
	maxMessage uint64
	// left is how many bytes of a message are still to come, lengthLeft how many of its
	// length, and length that as far as it was read.
	left       uint64
	lengthLeft int
	length     uint64
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if tooLong := c.count(p[:n]); tooLong != nil {
		return 0, tooLong
	}
	return n, err
}

func (c *boundedConn) count(p []byte) error {
	for len(p) > 0 {
		if c.left > 0 {
			skip := min(c.left, uint64(len(p)))
			c.left -= skip
			p = p[skip:]
			continue
		}
		if c.countLength(p[0]); c.lengthLeft == 0 {
			c.left, c.length = c.length, 0
		}
		if c.left > c.maxMessage || c.lengthLeft > maxLengthBytes {
			return ErrTooLong
		}
		p = p[1:]
	}
	return nil
}

// The encoding of a length: one byte below 128, or the negated number of the bytes that follow,
// the highest first (package gob).
const (
	maxShortLength = 0x7f
	maxLengthBytes = 8
)

// countLength reads one byte of a length.
func (c *boundedConn) countLength(b byte) {
	switch {
	case c.lengthLeft > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthLeft--
	case b <= maxShortLength:
		c.length = uint64(b)
	default:
		c.lengthLeft = -int(int8(b))
	}
}

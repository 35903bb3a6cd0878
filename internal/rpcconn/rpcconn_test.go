package rpcconn_test

import (
	"net"
	"net/rpc"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/rpcconn"
)

// Echo returns texts.
type Echo struct{}

// Repeat returns a text of some bytes.
func (Echo) Repeat(n int, text *string) error {
	*text = strings.Repeat("a", n)
	return nil
}

const maxMessage = 16 << 20

// serve answers the first connection.
func serve(t *testing.T, answer func(net.Conn)) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		if conn, err := listener.Accept(); err == nil {
			answer(conn)
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestMessagesArrive(t *testing.T) {
	g := NewWithT(t)
	server := rpc.NewServer()
	g.Expect(server.Register(Echo{})).To(Succeed())
	client := rpcconn.NewClient(serve(t, func(conn net.Conn) { server.ServeConn(conn) }), maxMessage)
	defer func() { _ = client.Close() }()
	for _, n := range []int{0, 1, 126, 127, 128, 255, 256, 70_000, 15 << 20} {
		var text string
		g.Expect(client.Call("Echo.Repeat", n, &text)).To(Succeed())
		g.Expect(text).To(HaveLen(n))
	}
}

// Guards against a peer whose bytes have no end and take up the memory.
func TestEndlessMessagesAreBounded(t *testing.T) {
	for name, start := range map[string]string{
		"of nearly a gigabyte":           "\xfc\x3f\xff\xff\xff",
		"of a length that is far higher": "\xf8\xff\xff\xff\xff\xff\xff\xff\xff",
		"of a length that is none":       "\x80",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			written := make(chan int, 1)
			client := rpcconn.NewClient(serve(t, func(conn net.Conn) {
				total, err := conn.Write([]byte(start))
				piece := make([]byte, 64<<10)
				for n := 0; err == nil && total < 1<<30; total += n {
					n, err = conn.Write(piece)
				}
				written <- total
				_ = conn.Close()
			}), maxMessage)
			var text string
			g.Expect(client.Call("Echo.Repeat", 1, &text)).NotTo(Succeed())
			_ = client.Close()
			g.Expect(<-written).To(BeNumerically("<", 64<<20))
		})
	}
}

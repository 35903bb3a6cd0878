package resetconn_test

import (
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/resetconn"
)

func TestConnectionIsResetWhenItIsClosed(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	conn, err := resetconn.Dialer(nil)(t.Context(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = accepted.Close() }()
	g.Expect(conn.Close()).To(Succeed())
	_, err = accepted.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

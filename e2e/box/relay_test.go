package e2e_test

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay passes connections on to an address until it is cut.
type relay struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	cutOff   bool
	conns    []net.Conn
}

func newRelay(to string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l, to: to}
	go r.accept()
	DeferCleanup(func() {
		_ = l.Close()
		r.cut()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(in)
	}
}

func (r *relay) pass(in net.Conn) {
	out, err := net.Dial("tcp", r.to)
	if err != nil || !r.keep(in, out) {
		_ = in.Close()
		return
	}
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	}()
	_, _ = io.Copy(in, out)
	_ = in.Close()
}

func (r *relay) keep(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutOff {
		for _, c := range conns {
			_ = c.Close()
		}
		return false
	}
	r.conns = append(r.conns, conns...)
	return true
}

// cut breaks all connections and refuses new ones.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff = true
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

// mend lets new connections pass again.
func (r *relay) mend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff = false
}

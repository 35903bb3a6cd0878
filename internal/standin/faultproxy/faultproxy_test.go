package faultproxy_test

import (
	"bufio"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/faultproxy"
)

const eventual = 10 * time.Second

// echo serves lines back and counts those that arrived.
func echo(t *testing.T) (address string, arrived chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	arrived = make(chan string, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					arrived <- lines.Text()
					_, _ = conn.Write([]byte(lines.Text() + "\n"))
				}
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String(), arrived
}

func open(t *testing.T) (*faultproxy.Proxy, net.Conn, *bufio.Reader, chan string) {
	t.Helper()
	address, arrived := echo(t)
	p, err := faultproxy.New(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return p, conn, bufio.NewReader(conn), arrived
}

func TestBytesPassBothWays(t *testing.T) {
	g := NewWithT(t)
	_, conn, answers, _ := open(t)
	_, err := conn.Write([]byte("hello\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answers.ReadString('\n')).To(Equal("hello\n"))
}

func TestADirectionIsHeldBackUntilTheFaultIsOver(t *testing.T) {
	for name, c := range map[string]struct {
		fault   faultproxy.Fault
		arrives bool
	}{
		"requests": {faultproxy.Fault{HoldRequests: true}, false},
		"answers":  {faultproxy.Fault{HoldAnswers: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, conn, answers, arrived := open(t)
			p.Set(c.fault)
			_, err := conn.Write([]byte("hello\n"))
			g.Expect(err).NotTo(HaveOccurred())
			if c.arrives {
				g.Eventually(arrived, eventual).Should(Receive(Equal("hello")))
			} else {
				g.Consistently(arrived, 50*time.Millisecond).ShouldNot(Receive())
			}
			g.Expect(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
			_, err = answers.ReadString('\n')
			g.Expect(err).To(HaveOccurred())
			g.Expect(conn.SetReadDeadline(time.Time{})).To(Succeed())
			p.Set(faultproxy.Fault{})
			g.Expect(answers.ReadString('\n')).To(Equal("hello\n"))
		})
	}
}

func TestAResetEndsOpenConnections(t *testing.T) {
	g := NewWithT(t)
	p, conn, answers, _ := open(t)
	_, err := conn.Write([]byte("hello\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answers.ReadString('\n')).To(Equal("hello\n"))
	p.Reset()
	_, err = answers.ReadString('\n')
	g.Expect(err).To(HaveOccurred())
}

func TestNewConnectionsAreRefused(t *testing.T) {
	g := NewWithT(t)
	p, _, _, _ := open(t)
	p.Set(faultproxy.Fault{Refuse: true})
	conn, err := net.Dial("tcp", p.Address())
	if err == nil { // the system accepted before the proxy reset it
		_, err = conn.Read(make([]byte, 1))
	}
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

func TestHeldBytesArriveAfterACloseButNotAfterAReset(t *testing.T) {
	for name, c := range map[string]struct {
		linger  int // seconds; 0 is a reset
		arrives bool
	}{"close": {-1, true}, "reset": {0, false}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, conn, _, arrived := open(t)
			p.Set(faultproxy.Fault{HoldRequests: true})
			_, err := conn.Write([]byte("late\n"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(p.Held, eventual).Should(Equal(1))
			g.Expect(conn.(*net.TCPConn).SetLinger(c.linger)).To(Succeed())
			g.Expect(conn.Close()).To(Succeed())
			p.Set(faultproxy.Fault{})
			g.Eventually(p.Held, eventual).Should(BeZero())
			if c.arrives {
				g.Eventually(arrived, eventual).Should(Receive(Equal("late")))
				return
			}
			g.Consistently(arrived).ShouldNot(Receive())
		})
	}
}

func TestBytesCountAsSentWhenTheyCameNotWhenTheyWerePassedOn(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	p, err := faultproxy.New(listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.Close)
	p.Set(faultproxy.Fault{HoldRequests: true})
	conn, err := net.Dial("tcp", p.Address())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	began := time.Now()
	_, err = conn.Write([]byte("one\n"))
	g.Expect(err).NotTo(HaveOccurred())
	server, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = server.Close() })
	address := server.RemoteAddr().String()
	g.Eventually(func() time.Time { return p.SentAt(address) }, eventual).Should(BeTemporally(">=", began))
	sent := p.SentAt(address)
	p.Set(faultproxy.Fault{})
	line, err := bufio.NewReader(server).ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(line).To(Equal("one\n"))
	g.Expect(p.SentAt(address)).To(Equal(sent))
	g.Expect(p.SentAt("127.0.0.1:1")).To(BeZero())
}

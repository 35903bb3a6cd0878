package forward_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget/membudgettest"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const longBytes = 540_000

var longBody = bytes.Repeat([]byte("0123456789"), longBytes/10)

// long answers at length; chunked leaves out how long.
func long(chunked bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !chunked {
			w.Header().Set("Content-Length", strconv.Itoa(longBytes))
		}
		_, _ = w.Write(longBody)
	}
}

// breakOffMidway answers half of what it says, or half of the chunks.
func breakOffMidway(chunked bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !chunked {
			w.Header().Set("Content-Length", strconv.Itoa(longBytes))
		}
		_, _ = w.Write(longBody[:longBytes/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// withRoom gives the fixture room for answers.
func (f *fixture) withRoom(bytes int64) *membudget.Budget {
	room := membudgettest.ForAnswers(bytes)
	f.options.Pool = upstream.New(upstream.Options{Names: names, Budget: room})
	return room
}

func expectLong(g *WithT, got result) {
	g.Expect(got.err).NotTo(HaveOccurred())
	g.Expect(got.status).To(Equal(http.StatusOK))
	g.Expect(got.body == string(longBody)).To(BeTrue(), "every byte, once and in order")
	g.Expect(got.header.Get(names.RequestID)).To(Equal(got.id))
}

func TestALongAnswerIsPassedOnWhole(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t, newStandin(t, "s1", "shop", "a", long(chunked)))
			room := f.withRoom(1 << 20)
			f.start()
			for range 3 {
				expectLong(g, f.read())
				expectLong(g, f.order())
			}
			g.Eventually(membudgettest.HeldAnswers, eventual).WithArguments(room).Should(BeZero())
			g.Expect(membudgettest.PeakAnswers(room)).To(BeNumerically("<", 64<<10))
			g.Expect(f.options.Pool.Idle()[catalog.Life{ID: "s1"}]).To(Equal(1), "its connection serves again")
		})
	}
}

func TestALongAnswerThatBreaksOffMidwayIsNeverTakenForWhole(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			g := NewWithT(t)
			broken := newStandin(t, "s1", "shop", "a", breakOffMidway(chunked))
			sound := newStandin(t, "s2", "shop", "b", ok) // the own hall goes first
			f := newFixture(t, broken, sound)
			room := f.withRoom(1 << 20)
			f.start()
			got := f.read()
			g.Expect(got.err).To(MatchError(io.ErrUnexpectedEOF))
			g.Expect(broken.runs.Load()).To(Equal(int32(1)))
			g.Expect(sound.runs.Load()).To(BeZero(), "what was begun can't be begun again")
			g.Eventually(membudgettest.HeldAnswers, eventual).WithArguments(room).Should(BeZero())
			// The target that broke off is left alone now.
			g.Expect(f.read().body).To(Equal("whole answer"))
			g.Expect(broken.runs.Load()).To(Equal(int32(1)))
		})
	}
}

func TestAShortAnswerThatBreaksOffIsHadFromAnotherTarget(t *testing.T) {
	g := NewWithT(t)
	broken := newStandin(t, "s1", "shop", "a", breakOff)
	sound := newStandin(t, "s2", "shop", "b", ok) // the own hall goes first
	f := newFixture(t, broken, sound)
	room := f.withRoom(1 << 20)
	f.start()
	g.Expect(f.read().body).To(Equal("whole answer"))
	g.Expect(broken.runs.Load()).To(Equal(int32(1)))
	g.Eventually(membudgettest.HeldAnswers, eventual).WithArguments(room).Should(BeZero())
}

func TestALongAnswerOfAHedgeIsWholeAndTheLoserFreed(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	var stalls atomic.Bool
	slow := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
		if stalls.Load() {
			hang(gone)(w, r)
			return
		}
		long(false)(w, r)
	})
	quick := newStandin(t, "s2", "shop", "b", long(false)) // the own hall goes first
	f := newFixture(t, slow, quick)
	room := f.withRoom(1 << 20)
	f.start()
	for range 10 { // these earn the budget for a second send
		expectLong(g, f.read())
	}
	stalls.Store(true)
	expectLong(g, f.read())
	g.Expect(quick.runs.Load()).To(Equal(int32(1)))
	g.Eventually(gone, eventual).Should(BeClosed())
	g.Eventually(membudgettest.HeldAnswers, eventual).WithArguments(room).Should(BeZero())
}

func TestOfTwoLongAnswersOneIsPassedOnAndTheOtherFreed(t *testing.T) {
	g := NewWithT(t)
	var raced atomic.Bool
	both := make(chan struct{})
	var waiting atomic.Int32
	meet := func(w http.ResponseWriter, r *http.Request) {
		if raced.Load() {
			if waiting.Add(1) == 2 {
				close(both)
			}
			select {
			case <-both:
			case <-r.Context().Done():
				return
			}
		}
		long(false)(w, r)
	}
	first, second := newStandin(t, "s1", "shop", "a", meet), newStandin(t, "s2", "shop", "b", meet)
	f := newFixture(t, first, second)
	room := f.withRoom(1 << 20)
	f.start()
	for range 10 {
		expectLong(g, f.read())
	}
	raced.Store(true)
	expectLong(g, f.read())
	g.Expect(first.runs.Load() + second.runs.Load()).To(Equal(int32(12)))
	g.Eventually(membudgettest.HeldAnswers, eventual).WithArguments(room).Should(BeZero())
}

func TestAClientThatLeavesMidwayFreesTheTargetAndTheBytes(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	s := newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
		defer close(gone)
		for r.Context().Err() == nil { // more than any buffer on the way holds
			if _, err := w.Write(longBody); err != nil {
				return
			}
		}
	})
	f := newFixture(t, s)
	room := f.withRoom(1 << 20)
	f.start()
	client := f.open()
	client.expectHead(g)
	g.Consistently(gone).ShouldNot(BeClosed())
	g.Expect(membudgettest.HeldAnswers(room)).To(BeNumerically("<", 64<<10))
	_ = client.conn.Close()
	g.Eventually(gone, eventual).Should(BeClosed())
	g.Eventually(membudgettest.HeldAnswers, eventual).WithArguments(room).Should(BeZero())
}

// slowClient has asked for a long answer and takes of it what a test says.
type slowClient struct {
	conn net.Conn
	in   *bufio.Reader
	body io.Reader
}

func (f *fixture) open() *slowClient {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.url[len("http://"):])
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	id := fmt.Sprint("slow-", f.next.Add(1))
	if _, err := fmt.Fprintf(conn, "GET %sx HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n\r\n", readPath, names.RequestID, id); err != nil {
		f.t.Fatal(err)
	}
	return &slowClient{conn: conn, in: bufio.NewReader(conn)}
}

func (c *slowClient) expectHead(g *WithT) {
	response, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodGet})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	c.body = response.Body
}

func TestTheBytesOfManyLongAnswersAreBounded(t *testing.T) {
	const (
		clients = 200
		limit   = 1 << 20
		least   = 2 << 10 // of each answer that finds no room
	)
	g := NewWithT(t)
	f := newFixture(t, newStandin(t, "s1", "shop", "a", long(false)))
	room := f.withRoom(limit)
	f.start()
	open := make([]*slowClient, clients)
	for i := range open {
		open[i] = f.open()
	}
	for _, client := range open { // all are under way before any is read
		client.expectHead(g)
	}
	var group sync.WaitGroup
	bodies := make([][]byte, clients)
	for i, client := range open {
		group.Go(func() { bodies[i], _ = io.ReadAll(client.body) })
	}
	group.Wait()
	for _, body := range bodies {
		g.Expect(bytes.Equal(body, longBody)).To(BeTrue())
	}
	g.Expect(membudgettest.PeakAnswers(room)).To(BeNumerically("<=", limit+clients*least))
	g.Eventually(membudgettest.HeldAnswers, eventual).WithArguments(room).Should(BeZero())
}

// lineWriter hands out each log line.
type lineWriter chan string

func (w lineWriter) Write(p []byte) (int, error) {
	w <- string(p)
	return len(p), nil
}

func TestALineTellsOfAnAnswerThatBrokeOffMidway(t *testing.T) {
	g := NewWithT(t)
	lines := make(lineWriter, 100)
	f := newFixture(t, newStandin(t, "s1", "shop", "a", breakOffMidway(false)))
	f.options.Log = slog.New(slog.NewJSONHandler(lines, nil))
	f.start()
	g.Expect(f.read().err).To(HaveOccurred())
	g.Eventually(lines, eventual).Should(Receive(And(
		ContainSubstring(forward.MessageNotServed), ContainSubstring(string(verdict.ReasonTargetFailed)),
		ContainSubstring(`"target":"s1"`),
	)))
}

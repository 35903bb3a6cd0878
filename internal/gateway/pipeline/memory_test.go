package pipeline_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
)

const mb = 1 << 20

// upload answers with the digest of the body, or 503 if there was no room for it, and holds the
// request until release is closed.
type upload struct {
	release chan struct{}
	served  atomic.Int32
}

func (u *upload) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if errors.Is(err, membudget.ErrNoRoom) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	u.served.Add(1)
	if u.release != nil {
		<-u.release
	}
	_, _ = fmt.Fprintf(w, "%x", sha256.Sum256(body))
}

// rig is a server with little memory, in virtual time.
type rig struct {
	g        *WithT
	budget   *membudget.Budget
	server   *pipeline.Server
	listener *pipes
	handler  *upload
}

// newRig serves with room for 48 MB of bodies.
func newRig(t *testing.T, o pipeline.Options) *rig {
	t.Helper()
	r := &rig{g: NewWithT(t), listener: newPipes(), handler: &upload{}}
	r.budget = membudget.New(membudget.Options{Limits: memory.NewLimits(100 * mb), Collect: func() {}})
	o.Handler, o.Memory = r.handler, r.budget
	r.server = pipeline.New(o)
	go func() { _ = r.server.Serve(r.listener) }()
	return r
}

// dial opens a connection, and writes a text on it beside the test, which must not write as well
// then: two writers of a pipe have no order, and the second one stops virtual time.
func (r *rig) dial(text string) net.Conn {
	near, far := net.Pipe()
	r.listener.accepted <- far
	if text != "" {
		go func() { _, _ = io.WriteString(near, text) }()
	}
	return near
}

func (r *rig) status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode
}

func head(length int, fields string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: %d\r\n%s\r\n", length, fields)
}

func TestABodyArrivesUnchangedWhateverItsLengthAndFraming(t *testing.T) {
	for _, length := range []int{1, 4 << 10, 64 << 10, 64<<10 + 1, 200_000, 3 * mb} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(length, " chunked ", chunked), func(t *testing.T) {
				budget := membudget.New(membudget.Options{Limits: memory.NewLimits(100 * mb)})
				c := dial(t, pipeline.Options{Handler: &upload{}, Memory: budget})
				body := strings.Repeat("0123456789abcdef-", length/17+1)[:length]
				want := fmt.Sprintf("%x", sha256.Sum256([]byte(body)))
				for range 2 {
					if chunked {
						c.write("POST / HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n")
						for rest := body; len(rest) > 0; rest = rest[min(len(rest), 70_000):] {
							part := rest[:min(len(rest), 70_000)]
							c.write(fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
						}
						c.write("0\r\n\r\n")
					} else {
						c.write(post("/", body))
					}
					c.expect(want)
				}
				c.g.Eventually(func() int64 { return budget.Usage(memory.Body).Held() + budget.Usage(memory.Request).Held() }, eventual).Should(BeZero())
			})
		}
	}
}

// Guards against bodies of which each is within the limit, and all together are not.
func TestABodyWithoutRoomIsRefusedUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, pipeline.Options{})
		defer func() { _ = r.server.Close() }()
		r.budget.Hold(memory.Body, 40*mb)
		r.g.Expect(r.status(r.dial(head(10*mb, "")))).To(Equal(http.StatusServiceUnavailable))
		r.g.Expect(r.status(r.dial(head(10*mb, "Expect: 100-continue\r\n")))).To(Equal(http.StatusServiceUnavailable), "it is not told to send the body")
		r.g.Expect(r.status(r.dial(head(49*mb, "")))).To(Equal(http.StatusRequestEntityTooLarge), "it would not fit alone")
		r.g.Expect(r.status(r.dial(post("/", "short")))).To(Equal(http.StatusOK))
		r.g.Expect(r.handler.served.Load()).To(Equal(int32(1)))
	})
}

func TestAChunkedBodyIsRefusedOnceThereIsNoMoreRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, pipeline.Options{})
		defer func() { _ = r.server.Close() }()
		r.budget.Hold(memory.Body, 47*mb)
		text := "POST / HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s", 2*mb, strings.Repeat("a", 2*mb))
		r.g.Expect(r.status(r.dial(text))).To(Equal(http.StatusServiceUnavailable))
		synctest.Wait()
		r.g.Expect(r.budget.Usage(memory.Body).Held()).To(Equal(int64(47 * mb)))
	})
}

func TestABodyWaitsForRoomAndIsReadThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, pipeline.Options{Patience: func(*http.Request) time.Duration { return 5 * time.Second }})
		defer func() { _ = r.server.Close() }()
		other := r.budget.Hold(memory.Body, 40*mb)
		time.AfterFunc(2*time.Second, other.Release)
		began := time.Now()
		r.g.Expect(r.status(r.dial(head(10*mb, "") + strings.Repeat("a", 10*mb)))).To(Equal(http.StatusOK))
		r.g.Expect(time.Since(began)).To(Equal(2 * time.Second))
	})
}

func TestAStopEndsTheWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, pipeline.Options{Patience: func(*http.Request) time.Duration { return time.Hour }})
		r.budget.Hold(memory.Body, 40*mb)
		conn := r.dial(head(10*mb, ""))
		synctest.Wait()
		r.g.Expect(r.budget.Counts().Waiting()).To(Equal(1))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- r.server.Shutdown(ctx) }()
		r.g.Expect(r.status(conn)).To(Equal(http.StatusServiceUnavailable))
		_ = conn.Close()
		r.g.Expect(<-stopped).To(Succeed())
	})
}

// Guards against a client that announces a long body, hardly sends any of it and keeps its room.
func TestABodyThatHardlyArrivesMakesRoomForAnother(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		slow  int
		other int
	}{
		"it has stopped":       {6 * time.Second, http.StatusServiceUnavailable, http.StatusOK},
		"it may only be short": {time.Second, 0, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, pipeline.Options{})
				defer func() { _ = r.server.Close() }()
				slow := r.dial(head(40*mb, "") + "a little")
				time.Sleep(c.after)
				other := r.dial(head(10*mb, "") + strings.Repeat("a", 10*mb))
				r.g.Expect(r.status(other)).To(Equal(c.other))
				if c.slow > 0 {
					r.g.Expect(r.status(slow)).To(Equal(c.slow))
				}
				_ = slow.Close()
				synctest.Wait()
			})
		})
	}
}

func TestABodyThatArrivesAtAFairRateKeepsItsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, pipeline.Options{})
		defer func() { _ = r.server.Close() }()
		steady := r.dial("")
		go func() {
			_, _ = io.WriteString(steady, head(40*mb, ""))
			for range 40 {
				_, _ = io.WriteString(steady, strings.Repeat("a", mb))
				time.Sleep(time.Second)
			}
		}()
		time.Sleep(20 * time.Second)
		r.g.Expect(r.status(r.dial(head(10*mb, "")))).To(Equal(http.StatusServiceUnavailable))
		r.g.Expect(r.status(steady)).To(Equal(http.StatusOK))
		time.Sleep(time.Second) // the client ends
	})
}

// Guards against connections that rest and leave no room for others.
func TestConnectionsThatRestMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, pipeline.Options{})
		defer func() { _ = r.server.Close() }()
		var resting []net.Conn
		for range 10 {
			resting = append(resting, r.dial(""))
			time.Sleep(time.Second)
		}
		left := 54*mb - int(r.budget.Usage(memory.Connection).Held())
		r.budget.Hold(memory.Answer, int64(left))
		r.g.Expect(r.status(r.dial(post("/", "short")))).To(Equal(http.StatusOK))
		_, err := resting[0].Read(make([]byte, 1))
		r.g.Expect(err).To(Equal(io.EOF), "the one that rested longest was closed")
		go func() { _, _ = io.WriteString(resting[9], post("/", "short")) }()
		r.g.Expect(r.status(resting[9])).To(Equal(http.StatusOK), "the others were not")
	})
}

func TestAConnectionIsTurnedAwayWhereThereIsNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, pipeline.Options{})
		defer func() { _ = r.server.Close() }()
		r.budget.Hold(memory.Answer, 54*mb)
		near, far := net.Pipe()
		r.listener.accepted <- far
		response, err := http.ReadResponse(bufio.NewReader(near), nil)
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		r.g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	})
}

// Guards against long heads that are held for as long as their connections rest.
func TestALongHeadHoldsMemoryUntilItsRequestWasServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, pipeline.Options{})
		defer func() { _ = r.server.Close() }()
		conn := r.dial("")
		synctest.Wait()
		before := r.budget.Usage(memory.Connection).Held()
		part := "POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: 0\r\nX-Long: " + strings.Repeat("a", 100_000)
		_, err := io.WriteString(conn, part)
		r.g.Expect(err).NotTo(HaveOccurred())
		synctest.Wait()
		r.g.Expect(r.budget.Usage(memory.Connection).Held()).To(BeNumerically(">", before+100_000))
		go func() { _, _ = io.WriteString(conn, "\r\n\r\n") }()
		r.g.Expect(r.status(conn)).To(Equal(http.StatusOK))
		synctest.Wait()
		r.g.Expect(r.budget.Usage(memory.Connection).Held()).To(Equal(before))
		r.g.Expect(r.budget.Usage(memory.Request).Held()).To(BeZero())
	})
}

func TestALongHeadWithoutRoomIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, pipeline.Options{})
		defer func() { _ = r.server.Close() }()
		conn := r.dial("")
		synctest.Wait()
		r.budget.Hold(memory.Answer, 54*mb-r.budget.Usage(memory.Connection).Held())
		go func() {
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: shop\r\nX-Long: "+strings.Repeat("a", 100_000))
		}()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		r.g.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	})
}

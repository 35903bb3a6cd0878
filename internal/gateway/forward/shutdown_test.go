package forward_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// stopping is a gateway whose target works on orders for a time by the gateway's clock, and on
// reads for none.
type stopping struct {
	*fixture
	machine *sleeper
	handler *forward.Handler
	target  *standin
}

func newStopping(t *testing.T, work time.Duration) *stopping {
	t.Helper()
	s := &stopping{}
	s.target = newStandin(t, "s1", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			s.machine.sleep(work)
		}
		ok(w, r)
	})
	s.fixture = newFixture(t, s.target)
	s.machine, s.handler = asleep(s.fixture)
	return s
}

// stopIn begins the stop.
func (s *stopping) stopIn(d time.Duration) {
	s.stop.Store(true)
	s.handler.StopAt(s.machine.now().Add(d))
}

// Guards against requests that are taken late in a planned stop, and cut at its end.
func TestARequestThatCannotEndBeforeTheStopIsRefusedAsNotRun(t *testing.T) {
	const work = 10 * time.Second
	g := NewWithT(t)
	s := newStopping(t, work)
	for range 4 {
		g.Expect(s.order().status).To(Equal(http.StatusOK))
		g.Expect(s.read().status).To(Equal(http.StatusOK))
	}
	s.stopIn(15 * time.Second)
	g.Expect(s.order().status).To(Equal(http.StatusOK), "it can be expected to end")
	ran := s.target.runs.Load()
	for range 3 { // on kept connections and on new ones
		refused := s.order()
		g.Expect(refused.err).NotTo(HaveOccurred())
		g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(refused.header.Get(verdict.Header)).To(Equal("not-run"))
		g.Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(refused.closes).To(BeTrue())
		g.Expect(s.target.runs.Load()).To(Equal(ran))
	}
	served := s.read()
	g.Expect(served.status).To(Equal(http.StatusOK), "short work still fits")
	g.Expect(served.closes).To(BeTrue())
}

// Guards against a request that waits for a target when the stop begins and is sent too late.
func TestARequestThatWaitsForATargetIsRefusedOnceItCannotEnd(t *testing.T) {
	g := NewWithT(t)
	s := newStopping(t, 10*time.Second)
	for range 4 {
		g.Expect(s.order().status).To(Equal(http.StatusOK))
	}
	ran := s.target.runs.Load()
	s.target.setLoad("3,0,3,100")
	got := make(chan result, 1)
	go func() { got <- s.order() }()
	g.Consistently(got, "30ms").ShouldNot(Receive())
	s.stopIn(5 * time.Second)
	s.target.setLoad("0,0,3,100")
	var refused result
	g.Eventually(got, eventual).Should(Receive(&refused))
	g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.header.Get(verdict.Header)).To(Equal("not-run"))
	g.Expect(s.target.runs.Load()).To(Equal(ran))
}

// Guards against requests of which nothing is known, and that are taken although they may last
// longer than the gateway.
func TestARequestOfUnknownLengthIsTakenDuringAStopIfItsDeadlineComesFirst(t *testing.T) {
	g := NewWithT(t)
	s := newStopping(t, 0)
	s.stopIn(15 * time.Second)
	g.Expect(s.order().status).To(Equal(http.StatusServiceUnavailable), "it may take 30 s")
	got := s.send(t.Context(), http.MethodPost, orderPath, names.Deadline, "14000")
	g.Expect(got.status).To(Equal(http.StatusOK))
}

// Guards against requests that are cut without an answer when the time for stopping runs out.
func TestARequestStillInFlightAtTheEndOfAStopGetsAFinalAnswer(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", hang(nil))
	f := newFixture(t, s)
	handler := f.serve()
	got := make(chan result, 1)
	go func() { got <- f.order() }()
	g.Eventually(s.runs.Load, eventual).Should(Equal(int32(1)))
	handler.StopAt(time.Now())
	var ended result
	g.Eventually(got, eventual).Should(Receive(&ended))
	g.Expect(ended.err).NotTo(HaveOccurred())
	g.Expect(ended.status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(ended.header.Get(verdict.Header)).To(Equal("may-have-run"))
}

package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline/pipelinetest"
	"github.com/sprucecrank/sprucecrank/verdict"
)

func TestARequestWithoutRoomIsNotRunAndToldWhenToComeBack(t *testing.T) {
	for name, c := range map[string]struct {
		usual, least, most time.Duration
	}{
		"bodies are held for seconds": {3 * time.Second, 3 * time.Second, 4500 * time.Millisecond},
		"none was held yet":           {0, time.Second, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			target := newStandin(t, "t1", "shop", "a", ok)
			f := newFixture(t, target)
			limits := memory.NewLimits(10 << 20)
			f.memory = membudget.New(membudget.Options{Limits: limits})
			f.options.UsualBodyTime = func() time.Duration { return c.usual }
			f.options.Draw = func() float64 { return 0.999 }
			f.start()
			full := f.memory.Hold(memory.Request, limits.Total()-(20<<10)) // a connection fits
			got := f.send(t.Context(), http.MethodPost, orderPath, names.Deadline, "500")
			g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(got.header.Get(verdict.Header)).To(Equal(verdict.NotRun.String()))
			pause, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(pause).To(And(BeNumerically(">", c.least.Seconds()+0.4), BeNumerically("<=", c.most.Seconds())))
			g.Expect(target.runs.Load()).To(BeZero())
			full.Release()
			g.Expect(f.order().status).To(Equal(http.StatusOK))
		})
	}
}

// A body waits for half of the time that its client and its route allow, so that the rest is left for
// its target.
func TestABodyWaitsForHalfOfTheTimeThatItsRequestHas(t *testing.T) {
	for name, c := range map[string]struct {
		path, deadline string
		want           time.Duration
	}{
		"the route's":      {orderPath, "", timeout / 2},
		"the client's":     {orderPath, "100", 50 * time.Millisecond},
		"a wrong deadline": {orderPath, "soon", timeout / 2},
		"no route":         {"/nowhere/", "100", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture(t)
			f.options.Clock = func() time.Time { return time.Unix(0, 0) }
			r := httptest.NewRequest(http.MethodPost, "http://shop.example"+c.path, nil)
			r.Header.Set(names.Deadline, c.deadline)
			g.Expect(f.serve().BodyPatience(r)).To(Equal(c.want))
		})
	}
}

// full has a gateway know another one that has no memory for what it relays, and returns how many
// requests that one was sent.
func (f *fixture) full() *atomic.Int32 {
	f.t.Helper()
	asked := &atomic.Int32{}
	f.knows(pipelinetest.Serve(f.t, pipeline.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(verdict.Header, verdict.NotRun.String())
		w.Header().Set("Sprucecrank-Relay-Reason", string(verdict.ReasonNoMemory))
		w.Header().Set("Retry-After", "2.500")
		w.WriteHeader(http.StatusServiceUnavailable)
	})}))
	return asked
}

// Guards against a gateway without memory that is asked over and over for the same request.
func TestAGatewayWithoutMemoryIsAskedOnceForARequest(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t, nowhere(t, "t0"))
	first, second := f.full(), f.full()
	f.start()
	got := f.order()
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(got.header.Get(verdict.Header)).To(Equal(verdict.NotRun.String()))
	g.Expect(got.header.Get("Retry-After")).To(Equal("2.500"))
	g.Expect([]int32{first.Load(), second.Load()}).To(Equal([]int32{1, 1}))
	f.order()
	g.Expect(first.Load()+second.Load()).To(Equal(int32(4)), "another request may find room there")
}

func TestAGatewayWithMemoryServesWhatAnotherOneHadNoneFor(t *testing.T) {
	g := NewWithT(t)
	target := newStandin(t, "t1", "shop", "a", ok)
	f := newFixture(t, nowhere(t, "t0"))
	f.full()
	f.relayedTo(newFixture(t, target))
	f.start()
	for range 10 {
		g.Expect(f.order().status).To(Equal(http.StatusOK))
	}
}

package forward_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// sleeper is a machine that is suspended: the gateway's clock counts the time, timers don't.
type sleeper struct{ slept atomic.Int64 }

func (s *sleeper) now() time.Time { return time.Now().Add(time.Duration(s.slept.Load())) }

func (s *sleeper) sleep(d time.Duration) { s.slept.Add(int64(d)) }

// asleep is a fixture on such a machine.
func asleep(f *fixture) (*sleeper, *forward.Handler) {
	s := &sleeper{}
	f.options.Clock = s.now
	return s, f.serve()
}

// A machine sleeps beyond a request's deadline, twice in a row, while the request is in one
// of its states. It is answered at once when the machine wakes, and is sent to nobody.
func TestARequestWhoseDeadlinePassedInASleepIsAnsweredAtOnce(t *testing.T) {
	full := func(s *standin) { s.setLoad("3,0,3,100") }
	silent := func(s *standin) { s.silent.Store(true) }
	for _, c := range []struct {
		name   string
		path   string
		before func(s *standin) // as it is when the request comes
		runs   int32            // until the machine sleeps
		status int
	}{
		{"waiting for a slot", readPath, full, 0, http.StatusServiceUnavailable},
		{"an order waiting for a slot", orderPath, full, 0, http.StatusServiceUnavailable},
		{"probing", readPath, silent, 0, http.StatusServiceUnavailable},
		{"sending", readPath, nil, 1, http.StatusGatewayTimeout},
		{"sending an order", orderPath, nil, 1, http.StatusGatewayTimeout},
	} {
		for _, slept := range []time.Duration{timeout - 20*time.Second, timeout, 2 * timeout} {
			t.Run(fmt.Sprint(c.name, ", ", slept), func(t *testing.T) {
				g := NewWithT(t)
				s := newStandin(t, "s1", "shop", "a", hang(nil))
				if c.before != nil {
					c.before(s)
				}
				f := newFixture(t, s)
				machine, handler := asleep(f)
				got := make(chan result, 1)
				go func() { got <- f.put(c.path, "caller", "an order") }()
				g.Eventually(s.runs.Load, eventual).Should(Equal(c.runs))
				g.Consistently(got, "30ms").ShouldNot(Receive())
				for range 2 {
					machine.sleep(slept)
					handler.Wake()
				}
				if c.before != nil {
					s.setLoad("0,0,3,100")
					s.silent.Store(false)
				}
				var ended result
				if 2*slept < timeout { // it goes on
					g.Eventually(s.runs.Load, eventual).Should(Equal(int32(1)))
					g.Consistently(got, "30ms").ShouldNot(Receive())
					return
				}
				g.Eventually(got, eventual).Should(Receive(&ended))
				g.Expect(ended.err).NotTo(HaveOccurred())
				g.Expect(ended.status).To(Equal(c.status))
				g.Expect(s.runs.Load()).To(Equal(c.runs), "it is sent no more")
				if c.runs == 0 {
					g.Expect(ended.header.Get(verdict.Header)).To(Equal("not-run"))
				}
			})
		}
	}
}

// Both sends of a request that was hedged end with its deadline.
func TestAHedgeEndsWithTheDeadlineThatPassedInASleep(t *testing.T) {
	g := NewWithT(t)
	first, second := newStandin(t, "s1", "shop", "a", hang(nil)), newStandin(t, "s2", "shop", "a", hang(nil))
	f := newFixture(t, first, second)
	f.options.Retry.Ratio = 10
	machine, handler := asleep(f)
	got := make(chan result, 1)
	go func() { got <- f.read() }()
	g.Eventually(func() int32 { return first.runs.Load() + second.runs.Load() }, eventual).Should(Equal(int32(2)))
	machine.sleep(timeout)
	handler.Wake()
	var ended result
	g.Eventually(got, eventual).Should(Receive(&ended))
	g.Expect(ended.status).To(Equal(http.StatusGatewayTimeout))
}

package forward_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
	"github.com/sprucecrank/sprucecrank/internal/gateway/fatal"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// The story that the tests of this file keep. On one day most targets of a service ended
// three times, one after the other, and most of its lookups were refused for 8 to 16 s,
// though few had come. One lookup ended each target that ran it. A gateway sent it to a
// second target once the first had broken off, so that it cost two; its caller repeated
// it, at other gateways as well, and nobody remembered what it had done: after three
// targets had ended under it, it reached 10 and 11 more.
//
// The evidence: of the lookups that failed in the first second each had broken off at two
// targets, 50 to 100 ms apart; of the targets that ended later most ran nothing else; the
// lines of those sends share one content and one caller and say target_ended.

// fatalBody is the body of the request that ends its targets.
const fatalBody = "an order that ends its targets"

// endsAtFatal has a target end when it runs the fatal request, and answer all others.
func endsAtFatal(s *standin) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) == fatalBody {
			s.end(w, r)
			return
		}
		ok(w, r)
	}
}

// newFragile makes targets that end when they run the fatal request.
func newFragile(t testing.TB, n int) []*standin {
	t.Helper()
	targets := make([]*standin, n)
	for i := range targets {
		targets[i] = newStandin(t, fmt.Sprint("s", i), "shop", "a", nil)
		targets[i].do = endsAtFatal(targets[i])
	}
	return targets
}

// put makes one request of a caller with a body.
func (f *fixture) put(path, caller, body string) result {
	f.t.Helper()
	id := fmt.Sprint("request-", f.next.Add(1))
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPut, f.url+path+"x", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set(names.RequestID, id)
	r.Header.Set("Authorization", caller)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return result{id: id, status: response.StatusCode, body: string(raw), header: response.Header, err: err}
}

// runsOf counts the requests that targets began to run.
func runsOf(targets []*standin) (n int) {
	for _, s := range targets {
		n += int(s.runs.Load())
	}
	return n
}

func TestARequestThatEndsItsTargetsIsRefusedAfterTheThird(t *testing.T) {
	for _, path := range []string{readPath, orderPath} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			targets := newFragile(t, 12)
			f := newFixture(t, targets...).start()
			var last result
			for range 10 {
				last = f.put(path, "caller", fatalBody)
				g.Expect(last.err).NotTo(HaveOccurred())
			}
			g.Expect(runsOf(targets)).To(Equal(3))
			g.Expect(last.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(last.header.Get(verdict.Header)).To(Equal("not-run"))
			pause, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(pause).To(BeNumerically(">", 1))
			for _, innocent := range []result{
				f.put(path, "caller", "another order"),
				f.put(path, "another caller", "another order"),
			} {
				g.Expect(innocent.status).To(Equal(http.StatusOK))
			}
		})
	}
}

// A route may send a request to several services, or be moved to another one: what ended a
// target of one service ends those of the next as well.
func TestAFatalRequestIsRefusedWhateverServiceItGoesTo(t *testing.T) {
	g := NewWithT(t)
	shop := newFragile(t, 8)
	var farm []*standin
	for i := range 8 {
		s := newStandin(t, fmt.Sprint("f", i), "farm", "a", nil)
		s.do = endsAtFatal(s)
		farm = append(farm, s)
	}
	f := newFixture(t, append(slices.Clone(shop), farm...)...)
	var toFarm atomic.Bool
	f.options.Draw = func() float64 {
		if toFarm.Load() {
			return 0.9
		}
		return 0
	}
	f.start()
	var last result
	for i := range 10 {
		toFarm.Store(i%2 == 0)
		last = f.put(splitPath, "caller", fatalBody)
		g.Expect(last.err).NotTo(HaveOccurred())
	}
	g.Expect(runsOf(shop)).To(BeNumerically(">", 0))
	g.Expect(runsOf(farm)).To(BeNumerically(">", 0))
	g.Expect(runsOf(shop) + runsOf(farm)).To(Equal(3))
	g.Expect(last.status).To(Equal(http.StatusServiceUnavailable))
}

// printOf is the fingerprint of a request that the fixture's put makes.
func (f *fixture) printOf(t testing.TB, logged *logLines, path, caller, body string) fingerprint.Fingerprint {
	t.Helper()
	line := logged.of(t, f.put(path, caller, body).id)
	return fingerprint.Fingerprint{Content: line.Content, Caller: line.Caller}
}

// watched is a fixture whose log lines and knowledge of fatal requests the test looks at.
func watched(f *fixture) (*fatal.Register, *logLines) {
	logged := &logLines{}
	f.options.Log = slog.New(slog.NewJSONHandler(logged, nil))
	f.options.Fatal = fatal.New(fatal.Options{})
	return f.options.Fatal, logged
}

// Update of the third end may come while a request waits for a target that has room.
func TestARequestThatWaitsIsRefusedOnceItIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", breakOff)
	f := newFixture(t, s)
	register, logged := watched(f)
	f.start()
	print := f.printOf(t, logged, orderPath, "caller", fatalBody) // broken off, by a target that lives
	s.setLoad("3,0,3,100")
	runs := s.runs.Load()
	got := make(chan result, 1)
	go func() { got <- f.put(orderPath, "caller", fatalBody) }()
	g.Consistently(got, "50ms").ShouldNot(Receive())
	for i := range 3 {
		register.RecordEnd(quarantine.Request{Fingerprint: print, Service: "shop"}, fmt.Sprint("elsewhere-", i), 0)
	}
	s.setLoad("0,0,3,100")
	var refused result
	g.Eventually(got, eventual).Should(Receive(&refused))
	g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(logged.of(t, refused.id).Reason).To(Equal(string(verdict.ReasonQuarantined)))
	g.Expect(s.runs.Load()).To(Equal(runs))
}

// From the second end on, a slow send gets no hedge and one that fails no retry: each might
// cost another target.
func TestASuspectRequestGetsNoSecondSend(t *testing.T) {
	for _, c := range []struct {
		name string
		ends int
		runs int32
	}{{"one target ended", 1, 2}, {"two ended", 2, 1}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			first, second := newStandin(t, "s1", "shop", "a", breakOff), newStandin(t, "s2", "shop", "a", breakOff)
			f := newFixture(t, first, second)
			f.options.Retry.Ratio = 10
			register, logged := watched(f)
			f.start()
			print := f.printOf(t, logged, readPath, "caller", fatalBody) // broken off, by targets that live
			for i := range c.ends {
				register.RecordEnd(quarantine.Request{Fingerprint: print, Service: "shop"}, fmt.Sprint("elsewhere-", i), 0)
			}
			before := first.runs.Load() + second.runs.Load()
			g.Expect(f.put(readPath, "caller", fatalBody).status).To(Equal(http.StatusBadGateway))
			g.Expect(first.runs.Load() + second.runs.Load() - before).To(Equal(c.runs))
		})
	}
}

// Targets that break off and live, or that fall silent, end nobody's request.
func TestRequestsOfTargetsThatLiveAreNeverQuarantined(t *testing.T) {
	for name, do := range map[string]http.HandlerFunc{
		"break off": breakOff,
		"fail":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"refuse":    refuse,
		"hang":      hang(nil),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var targets []*standin
			for i := range 8 {
				targets = append(targets, newStandin(t, fmt.Sprint("s", i), "shop", "a", do))
			}
			f := newFixture(t, targets...)
			register, _ := watched(f)
			f.start()
			for range 6 {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
				f.send(ctx, http.MethodGet, readPath, "Authorization", "caller")
				cancel()
			}
			g.Expect(register.Quarantined()).To(BeZero())
			updates, _ := register.Since(changes.Position{})
			g.Expect(updates).To(BeEmpty())
		})
	}
}

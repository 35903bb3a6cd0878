package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

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

package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/core/box/once"
	"github.com/sprucecrank/sprucecrank/verdict"
)

func requestWith(headers map[string][]string) *http.Request {
	r, _ := http.NewRequest(http.MethodGet, "http://box/a/b", nil)
	r.RemoteAddr = "10.0.0.1:5"
	for name, values := range headers {
		r.Header[http.CanonicalHeaderKey(name)] = values
	}
	return r
}

func TestHeadersOfOneConnectionAreNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	h := outbound(requestWith(map[string][]string{
		"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Keep-Alive": {"5"}, "Te": {"trailers"},
		"Upgrade": {"h2c"}, "X-Kept": {"1", "2"}, "X-Forwarded-For": {"192.0.2.1"},
	}), "id", 1500*time.Millisecond)
	for _, name := range []string{"Connection", "X-Private", "Keep-Alive", "Te", "Upgrade"} {
		g.Expect(h).NotTo(HaveKey(name))
	}
	g.Expect(h["X-Kept"]).To(Equal([]string{"1", "2"}))
	g.Expect(h.Get("X-Forwarded-For")).To(Equal("192.0.2.1, 10.0.0.1"))
	g.Expect(h.Get(HeaderRequestID)).To(Equal("id"))
	g.Expect(h.Get(HeaderDeadline)).To(Equal("1500"))
}

func TestATargetCannotSpeakForTheBox(t *testing.T) {
	g := NewWithT(t)
	h := passedOn(http.Header{
		"Sprucecrank-Verdict": {"not-run"}, "Sprucecrank-Reason": {"x"}, "Sprucecrank-Replayed": {"true"},
		"Target-Start": {"7"}, "Connection": {"X-Private"}, "X-Private": {"1"}, "X-Kept": {"1"},
	})
	g.Expect(h).To(Equal(http.Header{"X-Kept": {"1"}}))
}

func TestTheEarlierDeadlineCounts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	for text, want := range map[string]time.Duration{"": 3 * time.Second, "500": 500 * time.Millisecond, "9000": 3 * time.Second, "-1": 3 * time.Second, "x": 3 * time.Second} {
		r := requestWith(map[string][]string{HeaderDeadline: {text}})
		g.Expect(deadline(r, now, 3*time.Second)).To(Equal(now.Add(want)), text)
	}
}

func TestPrefixesCoverWholeSegmentsAndTheLongestWins(t *testing.T) {
	g := NewWithT(t)
	routes := NewRoutes([]Route{
		{Service: &policy.Service{Name: "short", Prefix: "/a"}}, {Service: &policy.Service{Name: "long", Prefix: "/a/b/"}},
	})
	for path, want := range map[string]string{"/a": "short", "/a/x": "short", "/a/b": "long", "/a/b/c": "long", "/ab": "", "/": ""} {
		route, ok := routes.match(path)
		g.Expect(ok).To(Equal(want != ""), path)
		if ok {
			g.Expect(route.Service.Name).To(Equal(want), path)
		}
	}
}

func FuzzHeaders(f *testing.F) {
	f.Add("close, X-A", "7", "id-1", "018f0000-0000-7000-8000-000000000000")
	f.Add(",,;", "99999999999999999999", strings.Repeat("x", 100), "\x00")
	f.Fuzz(func(t *testing.T, connection, ms, id, key string) {
		r := requestWith(map[string][]string{
			"Connection": {connection}, HeaderDeadline: {ms}, HeaderRequestID: {id}, HeaderKey: {key}, HeaderAttempt: {ms},
		})
		now := time.Unix(1700000000, 0)
		if d := deadline(r, now, time.Second); d.After(now.Add(time.Second)) || d.Before(now) {
			t.Fatalf("deadline %s", d)
		}
		if got := requestID(r); got == "" || len(got) > 64 || !printable(got) {
			t.Fatalf("request id %q", got)
		}
		if n, failure := attemptOf(r); failure == nil && (n < 0 || n > mostAttempts) {
			t.Fatalf("attempt %d", n)
		}
		if once.CheckKey(now, key) == nil && len(key) != 36 {
			t.Fatalf("accepted the key %q", key)
		}
		_ = outbound(r, "id", time.Second)
	})
}

func TestAFailedHedgeDoesNotHideThatTheOtherTryMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	notRun := verdict.New(verdict.NotRun, verdict.ReasonShed, "shed")
	mayHave := verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "cut")
	for _, order := range [][]*verdict.Error{{notRun, mayHave}, {mayHave, notRun}} {
		results := make(chan *try, 2)
		first, second := &try{failure: order[0]}, &try{failure: order[1]}
		results <- first
		results <- second
		h := &Handler{}
		g.Expect(h.settle(results, first, second).failure.Verdict()).To(Equal(verdict.MayHaveRun))
	}
}

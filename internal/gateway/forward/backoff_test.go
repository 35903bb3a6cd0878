package forward_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/internal/cli/timeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/signals"
)

// asksFor is a target that turns all requests away and asks for back-off.
func asksFor(retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", retryAfter)
		refuse(w, r)
	}
}

// aMinute is longer than any of these tests.
const aMinute = "60"

// ways are what makes a request look for a target where one is closed and another is well, and how
// it ends then.
var ways = map[string]struct {
	change func(closed, well *standin)
	status int
}{
	"a first send":                   {func(_, _ *standin) {}, http.StatusOK},
	"a repeat":                       {func(_, well *standin) { well.do = refuse }, http.StatusServiceUnavailable},
	"a repeat after a failure":       {func(_, well *standin) { well.do = breakOff }, http.StatusBadGateway},
	"a hedge":                        {func(_, well *standin) { well.do = lateTwice }, http.StatusOK},
	"fallback":                       {func(_, well *standin) { well.silent.Store(true) }, http.StatusOK},
	"a service that reports no load": {func(closed, well *standin) { closed.setLoad(""); well.setLoad("") }, http.StatusOK},
	"a target that looks better":     {func(_, well *standin) { well.setLoad("2,0,3,150") }, http.StatusOK},
}

// expectNoWayTo plays each way where close has closed one of two targets, and expects that nothing is
// written to it from then on, neither a request nor a probe.
func expectNoWayTo(t *testing.T, start func(t *testing.T, closed, well *standin) *fixture, close func(g *WithT, f *fixture, closed *standin)) {
	const requests = 12
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			closed, well := newStandin(t, "closed", "shop", "a", ok), newStandin(t, "well", "shop", "a", ok)
			f := start(t, closed, well)
			for range 20 {
				f.read() // hedges and repeats get a budget
			}
			close(g, f, closed)
			before := f.writtenTo(g, closed)
			way.change(closed, well)
			for range requests {
				g.Expect(f.read().status).To(Equal(way.status))
			}
			g.Expect(f.writtenTo(g, closed)).To(Equal(before))
		})
	}
}

// Whatever makes a request look for a target, one that asked for back-off gets nothing, neither a
// request nor a probe.
func TestNoWayLeadsToATargetInBackOff(t *testing.T) {
	start := func(t *testing.T, closed, well *standin) *fixture {
		f := newFixture(t, closed, well)
		f.options.Signals = signals.New(signals.Options{})
		return f.start()
	}
	expectNoWayTo(t, start, func(_ *WithT, f *fixture, resting *standin) {
		resting.do = asksFor(aMinute)
		for f.options.Signals.BackOffLeft(resting.Life()) == 0 {
			f.read()
		}
	})
}

func TestATrialLeavesATargetInBackOffAlone(t *testing.T) {
	g := NewWithT(t)
	tr := newTrial(t, 900, ok, asksFor(aMinute))
	tr.begin()
	for range 20 {
		g.Expect(tr.read().status).To(Equal(http.StatusOK))
	}
	g.Expect(tr.new.runs.Load()).To(BeNumerically("<=", 1))
}

// A request that had chosen a target when it asked another one for back-off is not sent to it.
func TestRequestsThatChoseATargetTogetherDoNotAllReachIt(t *testing.T) {
	const (
		together = 20
		apart    = 250 * time.Microsecond
		// probeTakes is so long that all requests have probed the target before the first of them
		// is turned away.
		probeTakes = together*apart + time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		resting, well := newSite("resting", "a", 0), newSite("well", "a", 0)
		resting.do = asksFor(aMinute)
		resting.setLoad("0,0,100,100")
		well.setLoad("0,0,100,100")
		resting.probeTakes, well.probeTakes = probeTakes, 4*probeTakes
		inRegions(t, []*site{resting, well}, func(g *WithT, f *regionFixture) {
			statuses := make(chan int, together)
			for i := range together {
				go func() {
					status, _ := f.get(readPath, fmt.Sprint("request-", i))
					statuses <- status
				}()
				time.Sleep(apart)
			}
			for range together {
				g.Expect(<-statuses).To(Equal(http.StatusOK))
			}
			g.Expect(resting.runs.Load()).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2)))
		})
	})
}

// Where all targets asked for back-off, a request is refused at once, without a probe, and told to
// come back once they take requests again.
func TestARequestIsRefusedAtOnceWhereAllTargetsAskedForBackOff(t *testing.T) {
	g := NewWithT(t)
	first, second := newStandin(t, "s1", "shop", "a", asksFor("50")), newStandin(t, "s2", "shop", "a", asksFor(aMinute))
	f := newFixture(t, first, second)
	var logs lockedBuffer
	f.options.Log = slog.New(slog.NewJSONHandler(&logs, nil))
	f.start()
	for first.runs.Load()+second.runs.Load() < 2 {
		f.order()
	}
	before, began := f.writtenTo(g, first, second), time.Now()
	got := f.order()
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	pause, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pause).To(BeNumerically("~", 50-time.Since(began).Seconds(), 10), "when the first takes requests, and some time more")
	g.Expect(pause).To(BeNumerically("<", 60))
	g.Expect(f.writtenTo(g, first, second)).To(Equal(before))
	g.Expect(logs.String()).To(ContainSubstring(`"reason":"targets-back-off"`))
	read, err := timeline.Read(strings.NewReader(logs.String()))
	g.Expect(err).NotTo(HaveOccurred())
	ids := read.NotServed()
	last, _ := read.Of(ids[len(ids)-1])
	g.Expect(last.Lines[0].PassedOver).To(ConsistOf(
		And(HaveField("Target", "s1"), HaveField("BackOff", true), HaveField("LeftMS", BeNumerically("~", 45000, 5000))),
		And(HaveField("Target", "s2"), HaveField("BackOff", true), HaveField("LeftMS", BeNumerically("~", 55000, 5000))),
	), "the log says which target asked, and how much was left")
}

// A back-off that ends within the time that a request may search is waited for.
func TestARequestWaitsForABackOffThatEndsSoon(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", asksFor("0.3"))
	f := newFixture(t, s).start()
	g.Expect(f.order().status).To(Equal(http.StatusServiceUnavailable))
	s.do = ok
	g.Expect(f.order().status).To(Equal(http.StatusOK))
}

// A target that starts again has asked for nothing, and what can't be read asks for nothing.
func TestABackOffIsThatOfOneStartOfATarget(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", asksFor(aMinute))
	f := newFixture(t, s)
	view := f.replaceable()
	f.start()
	g.Expect(f.order().status).To(Equal(http.StatusServiceUnavailable))
	s.do = ok
	g.Expect(f.order().status).To(Equal(http.StatusServiceUnavailable))
	again := s.Target
	again.Born++
	view.Store(snapshot.New(newTable(2, timeout), map[string][]catalog.Target{"shop": {again}}))
	g.Expect(f.order().status).To(Equal(http.StatusOK))
}

func TestWhatCannotBeReadAsksForNoBackOff(t *testing.T) {
	for _, value := range []string{"-3", "1e400", "soon", "", "0", "Thu, 03 Dec 1026 09:00:00 GMT"} {
		t.Run(fmt.Sprintf("%q", value), func(t *testing.T) {
			g := NewWithT(t)
			s := newStandin(t, "s1", "shop", "a", asksFor(value))
			f := newFixture(t, s).start()
			g.Expect(f.order().status).To(Equal(http.StatusServiceUnavailable))
			s.do = ok
			g.Expect(f.order().status).To(Equal(http.StatusOK))
		})
	}
}

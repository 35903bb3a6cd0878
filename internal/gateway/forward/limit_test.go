package forward_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
)

// setLimit has a target name a limit from now on; empty for none.
func (s *standin) setLimit(limit string) {
	if limit == "" {
		s.limit.Store(nil)
		return
	}
	s.limit.Store(&limit)
}

// fewest is the limit of a target that takes next to nothing: a request in five seconds.
const fewest = "0.2"

// Whatever makes a request look for a target, one that names a limit gets no more than that:
// here a request, and what was sent to it before it could tell.
func TestNoWayLeadsPastTheLimitOfATarget(t *testing.T) {
	const requests = 12
	for name, c := range map[string]struct {
		change func(inNeed, well *standin)
		status int
		untold int32 // what the target gets before it tells
	}{
		"a first send":                   {change: func(_, _ *standin) {}, status: http.StatusOK},
		"a repeat":                       {change: func(_, well *standin) { well.do = refuse }, status: http.StatusServiceUnavailable},
		"a repeat after a failure":       {change: func(_, well *standin) { well.do = breakOff }, status: http.StatusBadGateway},
		"a hedge":                        {change: func(_, well *standin) { well.do = lateTwice }, status: http.StatusOK},
		"fallback":                       {change: func(inNeed, well *standin) { inNeed.silent.Store(true); well.silent.Store(true) }, status: http.StatusOK, untold: 1},
		"a service that reports no load": {change: func(inNeed, well *standin) { inNeed.setLoad(""); well.setLoad("") }, status: http.StatusOK, untold: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			inNeed, well := newStandin(t, "in-need", "shop", "a", ok), newStandin(t, "well", "shop", "a", ok)
			f := newFixture(t, inNeed, well)
			f.options.Quota = limited(t)
			f.start()
			for range 20 {
				f.read() // hedges and repeats get a budget
			}
			inNeed.runs.Store(0)
			inNeed.setLimit(fewest)
			c.change(inNeed, well)
			others := 0
			for range requests {
				if f.read().status == c.status {
					others++
				}
			}
			g.Expect(inNeed.runs.Load()).To(BeNumerically("<=", 1+c.untold))
			g.Expect(others).To(BeNumerically(">=", requests-1-int(c.untold)))
		})
	}
}

// lateTwice answers so late that a hedge is looked for.
func lateTwice(w http.ResponseWriter, r *http.Request) {
	time.Sleep(150 * time.Millisecond)
	ok(w, r)
}

func TestATrialKeepsTheLimitOfItsTarget(t *testing.T) {
	g := NewWithT(t)
	tr := newTrial(t, 900, ok, ok)
	tr.options.Quota = limited(t)
	tr.new.setLimit(fewest)
	tr.begin()
	for range 20 {
		g.Expect(tr.read().status).To(Equal(http.StatusOK))
	}
	g.Expect(tr.new.runs.Load()).To(BeNumerically("<=", 1))
}

// Where all targets of a service have got what their limits allow, a request is refused at
// once, without a probe, and told when to come back.
func TestARequestIsRefusedAtOnceWhereAllTargetsHaveGotTheirLimits(t *testing.T) {
	g := NewWithT(t)
	first, second := newStandin(t, "s1", "shop", "a", ok), newStandin(t, "s2", "shop", "a", ok)
	first.setLimit(fewest)
	second.setLimit(fewest)
	f := newFixture(t, first, second)
	var logs lockedBuffer
	f.options.Log = slog.New(slog.NewJSONHandler(&logs, nil))
	f.options.Quota = limited(t)
	f.start()
	for range 4 {
		f.read() // takes what credit there is
	}
	before := f.writtenTo(g, first, second)
	got := f.order()
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	pause, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pause).To(BeNumerically(">", 0.15))
	g.Expect(f.writtenTo(g, first, second)).To(Equal(before))
	g.Expect(logs.String()).To(ContainSubstring(`"reason":"target-limits"`))
}

// A target that names no limit any more gets requests again, a target that starts again under
// its id has named none, and what other targets answer in its place tells nothing.
func TestALimitIsThatOfOneStartOfATarget(t *testing.T) {
	g := NewWithT(t)
	inNeed := newStandin(t, "in-need", "shop", "a", ok)
	inNeed.setLimit(fewest)
	f := newFixture(t, inNeed)
	f.options.Quota = limited(t)
	view := f.replaceable()
	f.start()
	for range 3 {
		f.read()
	}
	g.Expect(f.read().status).To(Equal(http.StatusServiceUnavailable))

	inNeed.setLimit("")
	g.Eventually(func() int { return f.read().status }, eventual).Should(Equal(http.StatusOK))

	inNeed.setLimit(fewest)
	g.Eventually(func() int { return f.read().status }, eventual).Should(Equal(http.StatusServiceUnavailable))
	inNeed.setLimit("")
	again := inNeed.Target
	again.Born++
	view.Store(snapshot.New(newTable(2, timeout), map[string][]catalog.Target{"shop": {again}}))
	g.Expect(f.read().status).To(Equal(http.StatusOK))
}

// What names no limit that can be read changes nothing.
func TestALimitThatIsNoNumberIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	f := newFixture(t, s)
	f.options.Quota = limited(t)
	f.start()
	for _, limit := range []string{"-3", "1e400", "many", ","} {
		s.setLimit(limit)
		got := f.read()
		g.Expect(got.status).To(Equal(http.StatusOK))
		g.Expect(got.header).NotTo(HaveKey(names.Limit))
	}
}

// Each target of a large service named a limit, and a request asked about one after the other:
// it was held for as long as there were more of them, and each got a probe.
func TestARequestIsRefusedSoonHoweverManyTargetsAreInNeed(t *testing.T) {
	const (
		targets = 120
		probe   = 40 * time.Millisecond
		atOnce  = 2 // targets are probed so many at a time
	)
	for name, send := range map[string]func(f *fixture) result{"lookup": (*fixture).read, "at most once": (*fixture).order} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var all []*standin
			for i := range targets {
				s := newStandin(t, fmt.Sprint("target-", i), "shop", "a", ok)
				s.probeTakes = probe
				s.setLimit(fewest)
				all = append(all, s)
			}
			f := newFixture(t, all...)
			f.options.Quota = limited(t)
			f.start()
			got := send(f) // before any has earned credit
			g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			probes := int32(0)
			for _, s := range all {
				probes += s.probes.Load()
			}
			rounds := int32(objective/5/probe) + 1 // in the fifth of the objective that a search may take
			g.Expect(probes).To(BeNumerically("<=", atOnce*rounds))
		})
	}
}

// Targets in need are idle, since they get little, and would be asked about before others.
func TestARequestFindsTheTargetThatIsNotInNeed(t *testing.T) {
	g := NewWithT(t)
	well := newStandin(t, "well", "shop", "a", ok)
	well.setLoad("1,0,3,100")
	all := []*standin{well}
	for i := range 30 {
		s := newStandin(t, fmt.Sprint("in-need-", i), "shop", "a", ok)
		s.setLimit(fewest)
		all = append(all, s)
	}
	f := newFixture(t, all...)
	f.options.Quota = limited(t)
	f.start()
	for range 40 {
		g.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	for _, s := range all[1:] {
		g.Expect(s.runs.Load()).To(BeNumerically("<=", 2))
	}
}

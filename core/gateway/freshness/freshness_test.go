package freshness_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/freshness"
)

const (
	self  = "gateway-1"
	other = "gateway-2"
)

var (
	timing = freshness.Timing{Fresh: time.Second, Watch: 2 * time.Second, WatchSlack: 200 * time.Millisecond, Outage: 3 * time.Second}
	start  = time.Unix(1000, 0)
)

// ranksBefore ranks other before self.
func ranksBefore(id, _ string) bool { return id == other }

func at(d time.Duration) time.Time { return start.Add(d) }

// answerWatches records that both watches were answered at the given time.
func answerWatches(t *freshness.Tracker, now time.Time) {
	t.RecordAnswer(t.Config(), now, self)
	t.RecordAnswer(t.Targets(), now, self)
}

func TestStateIsUnconfirmedUntilBothWatchesAreAnswered(t *testing.T) {
	g := NewWithT(t)
	tracker := freshness.New(timing, ranksBefore)
	g.Expect(tracker.Age(start)).To(Equal(freshness.Never))
	g.Expect(tracker.Confirmed()).To(BeFalse())
	tracker.RecordAnswer(tracker.Config(), start, self)
	g.Expect(tracker.Confirmed()).To(BeFalse(), "the targets are not known yet")
	g.Expect(tracker.RecordAnswer(tracker.Targets(), start, self)).To(BeTrue(), "nothing was known before")
	g.Expect(tracker.Age(at(time.Second))).To(Equal(time.Second))
	g.Expect(tracker.Origin()).To(Equal(self))
	g.Expect(tracker.Fresh(at(time.Second - 1))).To(BeTrue())
	g.Expect(tracker.Fresh(at(time.Second))).To(BeFalse())
}

func TestAgeIsThatOfTheOlderWatch(t *testing.T) {
	g := NewWithT(t)
	tracker := freshness.New(timing, ranksBefore)
	answerWatches(tracker, start)
	tracker.RecordAnswer(tracker.Config(), at(time.Second), self)
	g.Expect(tracker.Age(at(time.Second))).To(Equal(time.Second))
}

func TestConfirmByPeerNeverIncreasesAge(t *testing.T) {
	g := NewWithT(t)
	tracker := freshness.New(timing, ranksBefore)
	answerWatches(tracker, start)
	tracker.Confirm(at(-time.Second), other)
	g.Expect(tracker.Age(start)).To(BeZero(), "an older confirmation changes nothing")
	g.Expect(tracker.Origin()).To(Equal(self))
	g.Expect(tracker.Confirm(at(250*time.Millisecond), other)).To(BeFalse(), "the age was hardly reduced")
	g.Expect(tracker.Confirm(at(time.Second), other)).To(BeTrue(), "the age was much reduced")
	g.Expect(tracker.Confirm(at(1251*time.Millisecond), other)).To(BeTrue(), "reduced by half of the old age: peers may wait for it")
	g.Expect(tracker.UntilOld(100 * time.Millisecond)).To(Equal(400 * time.Millisecond))
	g.Expect(tracker.Origin()).To(Equal(other))
	g.Expect(tracker.PrecedingReaderAge(at(3251*time.Millisecond), self)).To(Equal(2 * time.Second))
}

func TestWatchIsLiveUntilItsAnswerIsOverdue(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(w *freshness.Watch)
		now     time.Duration
		isLive  bool
	}{
		"no call in progress, just answered": {func(*freshness.Watch) {}, 199 * time.Millisecond, true},
		"no call in progress for long":       {func(*freshness.Watch) {}, 200 * time.Millisecond, false},
		"waiting":                            {func(w *freshness.Watch) { w.Begin(start) }, 2199 * time.Millisecond, true},
		"waiting for too long":               {func(w *freshness.Watch) { w.Begin(start) }, 2200 * time.Millisecond, false},
		"failing":                            {func(w *freshness.Watch) { w.Begin(start); w.SetFailing(true) }, 0, false},
		"stopped":                            {func(w *freshness.Watch) { w.Stop() }, 0, false},
		"the call has ended":                 {func(w *freshness.Watch) { w.Begin(at(-time.Hour)); w.End() }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := freshness.New(timing, ranksBefore)
			answerWatches(tracker, start)
			c.prepare(tracker.Config())
			tracker.Targets().Begin(at(c.now))
			g.Expect(tracker.WatchesLive(at(c.now))).To(Equal(c.isLive))
		})
	}
}

func TestPingConfirmsStateWhileAllWatchesWait(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(w *freshness.Watch)
		age     time.Duration // one second after the answer, when the ping was answered
	}{
		"both wait":                 {func(*freshness.Watch) {}, 0},
		"one does not":              {func(w *freshness.Watch) { w.End() }, time.Second},
		"one fails":                 {func(w *freshness.Watch) { w.SetFailing(true) }, time.Second},
		"one started with the ping": {func(w *freshness.Watch) { w.Begin(at(time.Second)) }, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := freshness.New(timing, ranksBefore)
			answerWatches(tracker, start)
			tracker.Config().Begin(start)
			tracker.Targets().Begin(start)
			c.prepare(tracker.Targets())
			tracker.RecordPing(at(time.Second), self)
			g.Expect(tracker.Age(at(time.Second))).To(Equal(c.age))
		})
	}
}

func TestOutageRequiresLongFailureAndKnownTargets(t *testing.T) {
	for name, c := range map[string]struct {
		sinceConfirmed time.Duration
		failing        bool
		knowsTargets   bool
		outage         bool
	}{
		"unconfirmed for long, but no call failed":             {time.Minute, false, true, false},
		"a call failed a moment ago":                           {time.Second, true, true, false},
		"calls have failed for long":                           {time.Minute, true, true, true},
		"calls have failed for long, but no targets are known": {time.Minute, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const restoreDelay = 2 * time.Second
			tracker := freshness.New(timing, ranksBefore)
			tracker.Confirm(start, other)
			now := at(c.sinceConfirmed)
			tracker.Targets().SetFailing(c.failing)
			g.Expect(tracker.RecordReturn(now, c.knowsTargets)).To(Equal(c.outage))
			g.Expect(tracker.UntilRestored(now, restoreDelay) > 0).To(Equal(c.outage))
		})
	}
}

func TestTargetsAreReadOnlyAfterRestoreDelay(t *testing.T) {
	g := NewWithT(t)
	const restoreDelay = 2 * time.Second
	tracker := freshness.New(timing, ranksBefore)
	answerWatches(tracker, start)
	tracker.Config().SetFailing(true)
	g.Expect(tracker.RecordReturn(at(5*time.Second), true)).To(BeTrue())
	g.Expect(tracker.RecordReturn(at(6*time.Second), true)).To(BeFalse(), "one return per outage")
	g.Expect(tracker.UntilRestored(at(6*time.Second), restoreDelay)).To(Equal(time.Second))
	tracker.RecordUnavailable(at(6*time.Second), true)
	g.Expect(tracker.UntilRestored(at(6*time.Second), restoreDelay)).To(BeZero(), "the store failed again")
	g.Expect(tracker.RecordReturn(at(8*time.Second), true)).To(BeTrue())
	g.Expect(tracker.UntilRestored(at(10*time.Second), restoreDelay)).To(BeZero())
}

func TestReaderIsHighestRankedRecentReader(t *testing.T) {
	g := NewWithT(t)
	tracker := freshness.New(timing, func(id, other string) bool { return id < other })
	g.Expect(tracker.PrecedingReaderAge(start, "b")).To(Equal(freshness.Never), "no gateway reads")
	tracker.RecordReader(start, "c")
	g.Expect(tracker.PrecedingReaderAge(start, "b")).To(Equal(freshness.Never), "a lower-ranked gateway reads")
	tracker.RecordReader(at(-999*time.Millisecond), "a")
	g.Expect(tracker.PrecedingReaderAge(start, "b")).To(Equal(999*time.Millisecond), "slightly older, but ranked first")
	tracker.RecordReader(at(time.Millisecond), "c")
	id, _ := tracker.Reader(start)
	g.Expect(id).To(Equal("a"), "it still reads")
	tracker.RecordReader(at(2*time.Millisecond), "c")
	id, age := tracker.Reader(at(time.Second))
	g.Expect(id).To(Equal("c"), "the first no longer reads")
	g.Expect(age).To(Equal(998 * time.Millisecond))
	tracker.RecordReader(at(-999*time.Millisecond), "a")
	id, _ = tracker.Reader(at(time.Second))
	g.Expect(id).To(Equal("c"), "an old reading changes nothing")
	tracker.RecordReader(time.Time{}, "a")
	tracker.RecordReader(at(time.Second), "")
	id, _ = tracker.Reader(at(time.Second))
	g.Expect(id).To(Equal("c"))
}

func TestFailuresOfPeersIndicateAnOutage(t *testing.T) {
	g := NewWithT(t)
	tracker := freshness.New(timing, ranksBefore)
	tracker.Confirm(start, other)
	tracker.RecordFailure(at(-time.Millisecond))
	g.Expect(tracker.IsOutage(at(time.Minute), true)).To(BeFalse(), "the call failed before the state was confirmed")
	tracker.RecordFailure(at(time.Second))
	g.Expect(tracker.IsOutage(at(time.Minute), true)).To(BeTrue())
	g.Expect(tracker.IsOutage(at(2*time.Second), true)).To(BeFalse(), "the outage is too short")
	tracker.Confirm(at(2*time.Second), other)
	g.Expect(tracker.IsOutage(at(time.Minute), true)).To(BeFalse(), "the store was back")
}

func TestOldStateIsConfirmedByMuchYoungerState(t *testing.T) {
	g := NewWithT(t)
	tracker := freshness.New(timing, ranksBefore)
	g.Expect(tracker.CanConfirm(start, freshness.Never)).To(BeFalse(), "no state is known here either")
	answerWatches(tracker, start)
	g.Expect(tracker.CanConfirm(at(100*time.Millisecond), 500*time.Millisecond)).To(BeFalse(), "the state is not old")
	for _, c := range []struct{ theirs, ageGain time.Duration }{
		{502 * time.Millisecond, 249 * time.Millisecond}, // half the age, when the state has just become old
		{600 * time.Millisecond, 200 * time.Millisecond},
		{800 * time.Millisecond, 100 * time.Millisecond},
		{900 * time.Millisecond, 50 * time.Millisecond},
		{1040 * time.Millisecond, 50 * time.Millisecond},
		{2100 * time.Millisecond, 1050 * time.Millisecond}, // half the age, since no state is fresh
	} {
		g.Expect(tracker.CanConfirm(at(c.theirs-c.ageGain), c.theirs)).To(BeFalse(), "%v, younger by %v", c.theirs, c.ageGain)
		g.Expect(tracker.CanConfirm(at(c.theirs-c.ageGain-time.Millisecond), c.theirs)).To(BeTrue(), "%v, younger by more", c.theirs)
	}
}

// Two gateways whose ages differ, however slightly, and which get no other confirmation.
func TestOldStateIsConfirmedWhileStillFresh(t *testing.T) {
	for ageGain := 60 * time.Millisecond; ageGain < time.Second; ageGain += 20 * time.Millisecond {
		g := NewWithT(t)
		tracker := freshness.New(timing, ranksBefore)
		answerWatches(tracker, start)
		confirmed := false
		for age := ageGain; age < timing.Fresh; age += time.Millisecond {
			confirmed = confirmed || tracker.CanConfirm(at(age-ageGain), age)
		}
		g.Expect(confirmed).To(BeTrue(), "younger by %v", ageGain)
	}
}

func ExampleTracker() {
	tracker := freshness.New(timing, ranksBefore)
	tracker.Confirm(start, other)
	fmt.Println(tracker.Age(at(300*time.Millisecond)), tracker.Origin())
	// Output: 300ms gateway-2
}

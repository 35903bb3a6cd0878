package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
)

var start = time.Unix(1_000_000, 0)

func request(content, caller string) quarantine.Request {
	return quarantine.Request{Fingerprint: fingerprint.Fingerprint{Content: content, Caller: caller}, Service: "shop"}
}

// scenario is a ledger that records events one after the other, 10 ms apart.
type scenario struct {
	ledger *quarantine.Ledger
	now    time.Time
	ids    uint64
}

func newScenario() *scenario { return &scenario{ledger: quarantine.New(7), now: start} }

// ends records that a target ended under some requests.
func (s *scenario) ends(target string, under ...quarantine.Request) {
	s.now = s.now.Add(10 * time.Millisecond)
	for _, r := range under {
		s.ids++
		s.ledger.RecordEnd(s.now, r, quarantine.End{ID: s.ids, Target: target})
	}
}

func (s *scenario) answers(r quarantine.Request) { s.ledger.RecordAnswer(s.now, r) }

func (s *scenario) isQuarantined(r quarantine.Request) bool {
	return s.ledger.Verdicts().For(r.Fingerprint).IsQuarantined()
}

func TestRequestIsQuarantinedAfterThreeTargetsEnded(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	fatal := request("fatal", "c1")
	g.Expect(s.ledger.Verdicts().IsEmpty()).To(BeTrue())
	for i, suspect := range []bool{false, true} {
		s.ends(fmt.Sprint("i-", i), fatal)
		g.Expect(s.isQuarantined(fatal)).To(BeFalse())
		g.Expect(s.ledger.Verdicts().For(fatal.Fingerprint).IsSuspect()).To(Equal(suspect))
	}
	s.ends("i-2", fatal)
	g.Expect(s.isQuarantined(fatal)).To(BeTrue())
	g.Expect(s.ledger.Verdicts().For(fatal.Fingerprint).Targets()).To(Equal([]string{"i-0", "i-1", "i-2"}))
	g.Expect(s.ledger.Verdicts().IsEmpty()).To(BeFalse())
	otherService := fatal
	otherService.Service = "farm"
	g.Expect(s.isQuarantined(otherService)).To(BeTrue())
	for _, other := range []quarantine.Request{request("fatal", "c2"), request("another", "c1")} {
		g.Expect(s.isQuarantined(other)).To(BeFalse())
	}
}

func TestOneIncarnationOfATargetCountsOnce(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	fatal := request("fatal", "c1")
	s.ends("i-0", fatal, fatal, fatal)
	g.Expect(s.isQuarantined(fatal)).To(BeFalse())
	for range 2 { // it restarts with the same id
		s.now = s.now.Add(2 * time.Second)
		s.ends("i-0", fatal)
	}
	g.Expect(s.isQuarantined(fatal)).To(BeTrue())
}

func TestAnswerClearsARequest(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	often := request("often", "c1")
	for i := range 20 { // targets are killed while they run it, and others answer it
		s.ends(fmt.Sprint("i-", i), often)
		if i%2 == 1 {
			s.answers(often)
		}
		g.Expect(s.isQuarantined(often)).To(BeFalse())
	}
}

func TestRequestBesideAFatalOneIsNotQuarantined(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	fatal, beside := request("fatal", "c1"), request("beside", "c2")
	s.ends("i-0", fatal)
	for i := range 3 {
		s.ends(fmt.Sprint("i-", i+1), beside, fatal)
		g.Expect(s.isQuarantined(beside)).To(BeFalse())
	}
	g.Expect(s.isQuarantined(fatal)).To(BeTrue())
	g.Expect(s.ledger.Verdicts().For(beside.Fingerprint).IsSuspect()).To(BeFalse())
}

func TestTwoFatalRequestsAreBothQuarantined(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	first, second := request("first", "c1"), request("second", "c2")
	for i := range 5 {
		s.ends(fmt.Sprint("i-", i), first)
	}
	s.ends("i-5", first, second)
	s.ends("i-6", second)
	s.ends("i-7", second)
	g.Expect(s.isQuarantined(second)).To(BeFalse()) // one end may be attributed to the first
	s.ends("i-8", second)
	g.Expect(s.isQuarantined(first)).To(BeTrue())
	g.Expect(s.isQuarantined(second)).To(BeTrue())
}

func TestRequestOfManyCallersIsQuarantinedForAllIfNoneIsAnswered(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	beside := request("beside", "c9")
	for i := range 4 {
		g.Expect(s.isQuarantined(request("fatal", "new"))).To(BeFalse())
		under := []quarantine.Request{request("fatal", fmt.Sprint("c", i%3))}
		if i%2 == 0 {
			under = append(under, beside)
		}
		s.ends(fmt.Sprint("i-", i), under...)
	}
	g.Expect(s.isQuarantined(request("fatal", "new"))).To(BeTrue())
	g.Expect(s.ledger.Verdicts().For(beside.Fingerprint).IsSuspect()).To(BeFalse())

	s = newScenario()
	for i := range 9 { // some caller gets an answer, so the content is not fatal in itself
		s.ends(fmt.Sprint("i-", i), request("popular", fmt.Sprint("c", i)))
		if i%3 == 0 {
			s.answers(request("popular", "c99"))
		}
		g.Expect(s.isQuarantined(request("popular", "new"))).To(BeFalse())
	}
}

func TestCallerBesideTheSameRequestOfAnotherIsNotQuarantined(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	fatal, beside := request("path", "c1"), request("path", "c2")
	for i := range 6 {
		under := []quarantine.Request{fatal}
		if i%3 == 2 {
			under = append(under, beside)
		}
		s.ends(fmt.Sprint("i-", i), under...)
	}
	g.Expect(s.isQuarantined(fatal)).To(BeTrue())
	g.Expect(s.isQuarantined(beside)).To(BeFalse())
	g.Expect(s.isQuarantined(request("path", "c3"))).To(BeFalse())
}

func TestQuarantineLapsesIfTheRequestIsNotSeen(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	fatal := request("fatal", "c1")
	for i := range 3 {
		s.ends(fmt.Sprint("i-", i), fatal)
	}
	for range 20 { // it is refused as long as it keeps coming
		s.now = s.now.Add(quarantine.LapseAfter() - time.Second)
		s.ledger.Tick(s.now)
		g.Expect(s.isQuarantined(fatal)).To(BeTrue())
		g.Expect(s.ledger.RecordRefusal(s.now, fatal)).To(BeTrue())
		g.Expect(s.ledger.RecordRefusal(s.now, fatal)).To(BeFalse()) // sent already
	}
	s.now = s.now.Add(quarantine.LapseAfter())
	s.ledger.Tick(s.now)
	g.Expect(s.isQuarantined(fatal)).To(BeFalse())
	g.Expect(s.ledger.Size()).To(BeZero())
}

func TestRecordsAndUpdatesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	fatal := request("fatal", "c1")
	for i := range 100 {
		s.ends(fmt.Sprint("i-", i), fatal)
	}
	for i := range 1000 { // a hall loses power: each request ran at one target that ended
		s.ends("i-lost", request(fmt.Sprint("lost-", i), "c2"))
	}
	g.Expect(s.ledger.Size()).To(Equal(256))
	g.Expect(s.isQuarantined(fatal)).To(BeTrue())
	s.now = s.now.Add(time.Second)
	g.Expect(s.ledger.Tick(s.now)).To(BeTrue())
	updates, at := s.ledger.Since(s.now, changes.Position{})
	g.Expect(updates).To(HaveLen(32))
	for _, u := range updates {
		g.Expect(len(u.Ends)).To(BeNumerically("<=", 64))
	}
	sent := 0
	for ; len(updates) > 0; updates, at = s.ledger.Since(s.now, at) {
		sent += len(updates)
	}
	g.Expect(sent).To(Equal(256))
	g.Expect(at).To(Equal(s.ledger.Position()))
}

func TestPositionOfAnotherLedgerIsSentAllRecords(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	g.Expect(s.ledger.Position()).To(Equal(changes.Position{}))
	s.ends("i-0", request("a", "c1"))
	s.ends("i-1", request("a", "c1"))
	updates, _ := s.ledger.Since(s.now, changes.Position{Log: 8, Version: 99})
	g.Expect(updates).To(HaveLen(1))
}

func TestFirstEndIsSentOnlyIfNoAnswerFollows(t *testing.T) {
	g := NewWithT(t)
	s := newScenario()
	updateCount := func() int {
		updates, _ := s.ledger.Since(s.now, changes.Position{})
		return len(updates)
	}
	answered, lost := request("answered", "c1"), request("lost", "c1")
	s.ends("i-0", answered, lost)
	g.Expect(updateCount()).To(BeZero())
	s.answers(answered)
	g.Expect(s.ledger.Tick(s.now)).To(BeFalse())
	g.Expect(s.ledger.Size()).To(Equal(1))
	s.now = s.now.Add(time.Second)
	g.Expect(s.ledger.Tick(s.now)).To(BeTrue())
	g.Expect(updateCount()).To(Equal(1))
	g.Expect(s.ledger.Tick(s.now)).To(BeFalse())

	fatal := request("fatal", "c1")
	s.ends("i-1", fatal)
	s.ends("i-2", fatal)
	g.Expect(updateCount()).To(Equal(2))
}

// Gateways record ends and answers and merge updates in any order, repeatedly and late.
func TestLedgersConvergeInAnyOrderOfUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 3
		var ledgers [gateways]*quarantine.Ledger
		for i := range ledgers {
			ledgers[i] = quarantine.New(uint64(i + 1))
		}
		draw := func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		send := func(from, to int, now time.Time) bool {
			updates, _ := ledgers[from].Since(now, changes.Position{})
			return ledgers[to].Merge(now, updates)
		}
		now := start
		for i := range rapid.IntRange(0, 40).Draw(t, "events") {
			now = now.Add(time.Duration(draw(300, "pause")) * time.Millisecond)
			at := draw(gateways, "gateway")
			r := request(fmt.Sprint("r", draw(3, "content")), fmt.Sprint("c", draw(2, "caller")))
			switch draw(4, "event") {
			case 0:
				ledgers[at].RecordAnswer(now, r)
			case 1:
				send(at, draw(gateways, "to"), now)
			default:
				ledgers[at].RecordEnd(now, r, quarantine.End{ID: uint64(i + 1), Target: fmt.Sprint("i-", draw(6, "target"))})
			}
		}
		now = now.Add(time.Second)
		for _, l := range ledgers {
			l.Tick(now)
		}
		converged := false
		for range 10 {
			if converged = !slices.Contains([]bool{send(0, 1, now), send(1, 2, now), send(2, 0, now), send(1, 0, now)}, true); converged {
				break
			}
		}
		if !converged {
			t.Fatal("ledgers that have exchanged all records still have new ones")
		}
		for _, l := range ledgers[1:] {
			if got, want := l.Verdicts().Quarantined(), ledgers[0].Verdicts().Quarantined(); !slices.Equal(got, want) {
				t.Fatalf("one ledger quarantines %v, another %v", got, want)
			}
		}
	})
}

// Each gateway computes a time a little later than the one that sent it. If gateways with more
// ends than are kept kept the latest, they would replace each other's without end.
func TestExchangeTerminatesWithMoreEndsThanAreKept(t *testing.T) {
	const gateways = 6
	var ledgers [gateways]*quarantine.Ledger
	var positions [gateways][gateways]changes.Position
	random := rand.New(rand.NewPCG(1, 2))
	for i := range ledgers {
		ledgers[i] = quarantine.New(uint64(i + 1))
		for j := range 40 {
			at := start.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			ledgers[i].RecordEnd(at, request("fatal", "c1"), quarantine.End{ID: random.Uint64(), Target: fmt.Sprint("i-", i, "-", j)})
		}
	}
	now := start.Add(20 * time.Millisecond)
	send := func(from, to int) (isNew bool) {
		updates, at := ledgers[from].Since(now, positions[to][from])
		positions[to][from] = at
		return ledgers[to].Merge(now.Add(time.Duration(random.IntN(5))*time.Millisecond), updates) // the time in transit
	}
	isNew := false
	for range 20 {
		isNew = false
		for range gateways * gateways {
			now = now.Add(time.Millisecond)
			from := random.IntN(gateways)
			isNew = send(from, (from+1+random.IntN(gateways-1))%gateways) || isNew
		}
	}
	NewWithT(t).Expect(isNew).To(BeFalse())
}

// Updates come from other gateways, and from an object in the store that others may write.
func TestInvalidUpdateIsIgnored(t *testing.T) {
	g := NewWithT(t)
	good := func() quarantine.Update {
		return quarantine.Update{Content: "fatal", Service: "shop", Ends: []quarantine.End{{ID: 1, Target: "i-1", Caller: "c1"}}}
	}
	for _, change := range []func(u *quarantine.Update){
		func(u *quarantine.Update) { u.Content = "" },
		func(u *quarantine.Update) { u.Seen = -time.Hour },
		func(u *quarantine.Update) { u.Seen = quarantine.LapseAfter() },
		func(u *quarantine.Update) { u.Ends = nil },
		func(u *quarantine.Update) { u.Ends = make([]quarantine.End, 1000) },
		func(u *quarantine.Update) { u.Ends[0].Target = "" },
		func(u *quarantine.Update) { u.Ends[0].Ago = -time.Hour },
		func(u *quarantine.Update) { u.Ends[0].Excuse = 7 },
		func(u *quarantine.Update) { u.Ends[0].Excuse = -1 },
	} {
		u := good()
		change(&u)
		ledger := quarantine.New(1)
		g.Expect(ledger.Merge(start, []quarantine.Update{u})).To(BeFalse(), "%+v", u)
		g.Expect(ledger.Size()).To(BeZero())
	}
	ledger := quarantine.New(1)
	g.Expect(ledger.Merge(start, []quarantine.Update{good()})).To(BeTrue())
}

func ExampleLedger() {
	ledger := quarantine.New(1)
	fatal := request("order", "10.0.0.1")
	for i := range 3 {
		at := start.Add(time.Duration(i) * time.Second)
		ledger.RecordEnd(at, fatal, quarantine.End{ID: uint64(i), Target: fmt.Sprint("i-", i)})
	}
	fmt.Println(ledger.Verdicts().For(fatal.Fingerprint).IsQuarantined())
	// Output: true
}

// A hall loses power, or the path to it is reset, while a caller has the same harmless request
// under way at many of its targets. They end together, so the request did not end them.
func TestSimultaneousEndsCountOnce(t *testing.T) {
	g := NewWithT(t)
	ledger := quarantine.New(1)
	often := request("often", "c1")
	end := func(at time.Duration, target string, ran time.Duration) {
		ledger.RecordEnd(start.Add(at), often, quarantine.End{ID: uint64(at) + uint64(ran), Target: target, Ran: ran})
	}
	for i := range 10 { // observed some ms apart, as connections are reset one after the other
		end(time.Duration(i)*3*time.Millisecond, fmt.Sprint("i-", i), time.Duration(100+i)*time.Millisecond)
	}
	g.Expect(ledger.Verdicts().For(often.Fingerprint).IsSuspect()).To(BeFalse())
	g.Expect(ledger.Verdicts().For(request("often", "c2").Fingerprint).IsQuarantined()).To(BeFalse())
}

// The targets that end together also run requests of the same content of other callers.
func TestSimultaneousEndsDoNotQuarantineForAllCallers(t *testing.T) {
	g := NewWithT(t)
	ledger := quarantine.New(1)
	for i := range 10 {
		popular := request("popular", fmt.Sprint("c", i))
		ledger.RecordEnd(start, popular, quarantine.End{ID: uint64(i), Target: fmt.Sprint("i-", i), Ran: 50 * time.Millisecond})
	}
	g.Expect(ledger.Verdicts().Quarantined()).To(BeEmpty())
}

// A request that ends its targets within a millisecond, and one that takes seconds and has
// many attempts under way, are both quarantined.
func TestFatalRequestIsQuarantinedHoweverLongItRuns(t *testing.T) {
	for _, c := range []struct {
		name        string
		every, runs time.Duration
	}{
		{"quick, one after the other", 2 * time.Millisecond, time.Millisecond},
		{"slow, side by side", 100 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ledger := quarantine.New(1)
			fatal := request("fatal", "c1")
			for i := range 3 {
				at := start.Add(time.Duration(i) * c.every)
				ledger.RecordEnd(at, fatal, quarantine.End{ID: uint64(i), Target: fmt.Sprint("i-", i), Ran: c.runs})
			}
			g.Expect(ledger.Verdicts().For(fatal.Fingerprint).IsQuarantined()).To(BeTrue())
		})
	}
}

package reader_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

var timing = reader.Timing{Standby: time.Second, OthersFrom: 1300 * time.Millisecond, OthersBy: 1800 * time.Millisecond}

func TestUntilRead(t *testing.T) {
	const long = time.Hour
	withState := func(change func(*reader.State)) reader.State {
		s := reader.State{HasState: true, Confirmed: true, Uptime: long, OutrankedAge: long, PendingTriesAge: long, TriesAge: 100 * long, OfferAge: long}
		change(&s)
		return s
	}
	withoutState := func(change func(*reader.State)) reader.State {
		s := reader.State{PendingTriesAge: long, TriesAge: 100 * long, OfferAge: long, Draw: 0.5}
		change(&s)
		return s
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	half := reader.Delay(0.5, 500*time.Millisecond) // of the spread between OthersFrom and OthersBy
	for name, c := range map[string]struct {
		state reader.State
		want  time.Duration
	}{
		"no state, no peer found":                          {withoutState(func(s *reader.State) { s.HasNoPeers = true }), ms(1300) + half},
		"no state, early draw":                             {withoutState(func(s *reader.State) { s.Rank = 7; s.Draw = 0 }), ms(1300)},
		"no state, first in rank of those found":           {withoutState(func(s *reader.State) { s.Uptime, s.PeersKnownFor = ms(100), ms(100) }), ms(300)},
		"no state, first peers found recently":             {withoutState(func(s *reader.State) { s.Uptime, s.PeersKnownFor = ms(450), ms(50) }), ms(350)},
		"no state, a seed":                                 {withoutState(func(s *reader.State) { s.Seed = true }), ms(15)},
		"no state, a peer offers its state":                {withoutState(func(s *reader.State) { s.Seed = true; s.Uptime = ms(50); s.OfferAge = ms(100) }), ms(200)},
		"no state, the offer has timed out":                {withoutState(func(s *reader.State) { s.Seed = true; s.Uptime = ms(15); s.OfferAge = ms(301) }), 0},
		"no state, offers without end":                     {withoutState(func(s *reader.State) { s.Uptime, s.PeersKnownFor = ms(1800), ms(1800); s.OfferAge = 0 }), ms(-1400)},
		"no state, enough others try":                      {withoutState(func(s *reader.State) { s.Uptime, s.PeersKnownFor = long, long; s.PendingTriesAge = ms(100) }), ms(400) + half},
		"has state, has just started":                      {withState(func(s *reader.State) { s.Uptime = ms(100) }), ms(300)},
		"new fleet, has just started":                      {withoutState(func(s *reader.State) { s.FirstStart = true; s.Uptime = ms(200) }), time.Second},
		"the reader":                                       {withState(func(*reader.State) {}), 0},
		"the reader, but one of a better rank reads":       {withState(func(s *reader.State) { s.OutrankedAge = ms(10); s.Age = ms(10) }), ms(990)},
		"the reader, has run too briefly to know its rank": {withState(func(s *reader.State) { s.Uptime = ms(2999); s.Age = ms(400) }), ms(600)},
		"the same, but its state is not confirmed":         {withState(func(s *reader.State) { s.Uptime = ms(2999); s.Age = ms(1000) }), 0},
		"the same, but it is reading":                      {withState(func(s *reader.State) { s.Uptime = ms(2999); s.Age = ms(400); s.IsReading = true }), 0},
		"the reader of a new fleet":                        {reader.State{FirstStart: true, Uptime: long, OutrankedAge: long}, 0},
		"a standby":                                        {withState(func(s *reader.State) { s.Rank = 2; s.Age = ms(400) }), ms(600)},
		"a standby whose state is old":                     {withState(func(s *reader.State) { s.Rank = 1; s.Age = ms(1000); s.PendingTriesAge = 0 }), 0},
		"a follower, early draw":                           {withState(func(s *reader.State) { s.Rank = 3; s.Age = ms(1000) }), ms(300)},
		"a follower":                                       {withState(func(s *reader.State) { s.Rank = 3; s.Draw = 0.5; s.Age = ms(1000) }), ms(300) + half},
		"a follower, enough others try":                    {withState(func(s *reader.State) { s.Rank = 3; s.Draw = 0.5; s.Age = long; s.PendingTriesAge = ms(200) }), ms(300) + half},
		"a follower, enough others failed":                 {withState(func(s *reader.State) { s.Rank = 3; s.Age = ms(1400); s.TriesAge = ms(10) }), ms(50)},
		"a follower, failures go on for long":              {withState(func(s *reader.State) { s.Rank = 3; s.Age = ms(11300); s.TriesAge = ms(1000) }), ms(3000)},
		"a follower, the tries of others are long ago": {withState(func(s *reader.State) {
			s.Rank = 3
			s.Draw = 0.5
			s.Age = ms(1300) + half
			s.PendingTriesAge = time.Second
		}), 0},
		"a follower, state never confirmed": {withState(func(s *reader.State) { s.Rank = 3; s.Confirmed = false; s.Age = math.MaxInt64 }), ms(500) - long},
		"a standby of a new fleet without updates": {
			reader.State{Rank: 1, FirstStart: true, Uptime: 2 * time.Second, Age: math.MaxInt64, OutrankedAge: long}, ms(200)},
		"is reading, and no reader of a better rank is":     {withState(func(s *reader.State) { s.Rank = 1; s.IsReading = true }), time.Second - long},
		"is reading, and a reader of a better rank is back": {withState(func(s *reader.State) { s.Rank = 1; s.IsReading = true; s.OutrankedAge = 0; s.Age = long }), time.Second},
		"is reading before the settle time is over":         {withState(func(s *reader.State) { s.Rank = 5; s.Uptime = ms(399); s.IsReading = true }), ms(1)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(reader.UntilRead(c.state, timing)).To(BeNumerically("~", c.want, time.Microsecond))
		})
	}
}

func TestUntilStaleRead(t *testing.T) {
	const long = time.Hour
	for name, c := range map[string]struct {
		state reader.State
		want  time.Duration
	}{
		"early draw":              {reader.State{OfferAge: long}, 0},
		"late draw":               {reader.State{OfferAge: long, Draw: 0.5, Uptime: 40 * time.Millisecond}, 185 * time.Millisecond},
		"a peer offers its state": {reader.State{Uptime: long, OfferAge: 100 * time.Millisecond}, 200 * time.Millisecond},
		"the offer has timed out": {reader.State{Uptime: long, OfferAge: 300 * time.Millisecond}, 0},
		"tries of others do not delay a stale read": {reader.State{OfferAge: long, PendingTriesAge: 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(reader.UntilStaleRead(c.state)).To(BeNumerically("~", c.want, time.Microsecond))
		})
	}
}

// However many gateways stop receiving updates together, few read before they know of the
// first read, and all within the spread.
func TestFewGatewaysReadBeforeTheyKnowOfTheFirstReadInAnyFleetSize(t *testing.T) {
	const (
		spread = 750 * time.Millisecond
		notice = 50 * time.Millisecond // until all know of the first
	)
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		gateways int
		most     float64 // the average number that have begun when the first is known
	}{{2, 2}, {30, 2.5}, {473, 2.5}, {2072, 4}} {
		t.Run(strconv.Itoa(c.gateways), func(t *testing.T) {
			g := NewWithT(t)
			const rounds = 200
			early := 0
			for range rounds {
				delays := make([]time.Duration, c.gateways)
				for i := range delays {
					delays[i] = reader.Delay(random.Float64(), spread)
				}
				first := slices.Min(delays)
				for _, d := range delays {
					g.Expect(d).To(And(BeNumerically(">=", 0), BeNumerically("<=", spread)))
					if d < first+notice {
						early++
					}
				}
			}
			t.Logf("%.1f of %d begin", float64(early)/rounds, c.gateways)
			g.Expect(float64(early) / rounds).To(BeNumerically("<=", c.most))
		})
	}
}

func TestTriesAreAddedOnceAndHoldOthersBack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	var tries reader.Tries
	g.Expect(tries.Published(now)).To(BeEmpty())
	g.Expect(tries.Add(now, reader.Try{ID: "a", Number: 1})).To(BeTrue())
	g.Expect(tries.Add(now.Add(ms(900)), reader.Try{ID: "a", Number: 1})).To(BeFalse(), "the same try, received late")
	g.Expect(tries.Published(now)).To(Equal([]reader.Try{{ID: "a", Number: 1}}))
	g.Expect(tries.Add(now, reader.Try{ID: "a", Number: 1, Failed: true})).To(BeTrue(), "its failure was unknown")
	g.Expect(tries.AnyMissingIn(now, []reader.Try{{ID: "a", Number: 1}})).To(BeTrue())
	g.Expect(tries.Add(now, reader.Try{ID: "a", Number: 1, Failed: true})).To(BeFalse(), "its failure is known")
	g.Expect(tries.Add(now, reader.Try{ID: "a", Number: 1})).To(BeFalse(), "a failure is not reverted")
	g.Expect(tries.Published(now)).To(Equal([]reader.Try{{ID: "a", Number: 1, Failed: true}}))
	g.Expect(tries.Add(now, reader.Try{ID: "a", Number: 0})).To(BeFalse(), "an earlier try")
	g.Expect(tries.AnyMissingIn(now, nil)).To(BeTrue())
	g.Expect(tries.AnyMissingIn(now, tries.Published(now))).To(BeFalse())
	tries.Add(now, reader.Try{ID: "self", Number: 2})
	tries.Add(now, reader.Try{ID: "b", Number: 3, Ago: ms(10)})
	g.Expect(tries.PendingAge(now, "self")).To(BeNumerically(">", time.Hour), "two others are not enough")
	version := tries.Version()
	tries.Add(now, reader.Try{ID: "c", Number: 4, Ago: ms(5)})
	g.Expect(tries.Version()).NotTo(Equal(version))
	g.Expect(tries.Age(now.Add(ms(100)), "self")).To(Equal(ms(110)), "since the third try began")
	g.Expect(tries.PendingAge(now.Add(ms(100)), "self")).To(BeNumerically(">", time.Hour), "one of them has failed")
	tries.Add(now, reader.Try{ID: "d", Number: 5, Ago: ms(5)})
	g.Expect(tries.PendingAge(now.Add(ms(100)), "self")).To(Equal(ms(110)), "since the third try that may succeed began")
	tries.Add(now, reader.Try{ID: "e", Number: 6, Ago: ms(5)})
	g.Expect(tries.Add(now, reader.Try{ID: "old", Number: -1})).To(BeFalse(), "there are maxTries later ones")
	g.Expect(tries.Add(now.Add(time.Second), reader.Try{ID: "a", Number: 9})).To(BeTrue(), "another try of the same gateway")
	g.Expect(tries.Published(now.Add(time.Second))[0]).To(Equal(reader.Try{ID: "a", Number: 9}))
	g.Expect(tries.Published(now.Add(time.Minute))).To(BeEmpty())
	g.Expect(tries.AnyMissingIn(now.Add(1999*time.Millisecond), nil)).To(BeTrue())
	g.Expect(tries.AnyMissingIn(now.Add(2001*time.Millisecond), nil)).To(BeFalse(), "too old to be sent at once")
	late := now.Add(3500 * time.Millisecond)
	g.Expect(tries.Published(late)).To(BeEmpty())
	g.Expect(tries.Add(late, reader.Try{ID: "a", Number: 9, Ago: 1999 * time.Millisecond})).To(BeFalse(),
		"a late update about a known try is not new, or two gateways would exchange it without end")
}

// The exchange of tries between two gateways terminates, in whatever order and however late
// they received them.
func TestExchangeOfTriesTerminates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var one, other reader.Tries
		for _, tries := range []*reader.Tries{&one, &other} {
			for range rapid.IntRange(0, 9).Draw(t, "tries") {
				tries.Add(now, reader.Try{
					ID: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "id"), Number: rapid.Int64Range(0, 9).Draw(t, "number"),
					Ago: time.Duration(rapid.IntRange(0, 1500).Draw(t, "ago")) * time.Millisecond,
				})
			}
		}
		for _, try := range one.Published(now) {
			other.Add(now, try)
		}
		for _, try := range other.Published(now) {
			one.Add(now, try)
		}
		if one.AnyMissingIn(now, other.Published(now)) || other.AnyMissingIn(now, one.Published(now)) {
			t.Fatalf("%v and %v still differ", one.Published(now), other.Published(now))
		}
	})
}

func TestRestoreDelayIsLongerForFollowers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(reader.RestoreDelay(0, 2*time.Second)).To(Equal(2 * time.Second))
	g.Expect(reader.RestoreDelay(1, 2*time.Second)).To(Equal(2500 * time.Millisecond))
}

func ExampleUntil() {
	standby := reader.State{Rank: 1, HasState: true, Confirmed: true, Uptime: time.Minute, Age: 1200 * time.Millisecond}
	fmt.Println(reader.UntilRead(standby, timing) <= 0)
	// Output: true
}

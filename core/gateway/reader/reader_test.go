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

var timing = reader.Timing{Standby: time.Second, Alone: 1300 * time.Millisecond, Last: 1800 * time.Millisecond}

func TestUntil(t *testing.T) {
	const long = time.Hour
	knowing := func(change func(*reader.State)) reader.State {
		s := reader.State{Knows: true, Confirmed: true, Running: long, OutrankedAge: long, HeldFor: long, TriedFor: 100 * long, OfferAge: long}
		change(&s)
		return s
	}
	starting := func(change func(*reader.State)) reader.State {
		s := reader.State{HeldFor: long, TriedFor: 100 * long, OfferAge: long, Draw: 0.5}
		change(&s)
		return s
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	half := reader.Delay(0.5, 500*time.Millisecond) // of the spread between Alone and Last
	for name, c := range map[string]struct {
		state reader.State
		want  time.Duration
	}{
		"knows nothing, nobody found":           {starting(func(s *reader.State) { s.Alone = true }), ms(1300) + half},
		"knows nothing, early draw":             {starting(func(s *reader.State) { s.Rank = 7; s.Draw = 0 }), ms(1300)},
		"knows nothing, first of those found":   {starting(func(s *reader.State) { s.Running, s.InCompany = ms(100), ms(100) }), ms(300)},
		"knows nothing, has just found others":  {starting(func(s *reader.State) { s.Running, s.InCompany = ms(450), ms(50) }), ms(350)},
		"knows nothing, others turn to it":      {starting(func(s *reader.State) { s.Seed = true }), ms(15)},
		"knows nothing, another offers":         {starting(func(s *reader.State) { s.Seed = true; s.Running = ms(50); s.OfferAge = ms(100) }), ms(200)},
		"knows nothing, the offer came to none": {starting(func(s *reader.State) { s.Seed = true; s.Running = ms(15); s.OfferAge = ms(301) }), 0},
		"knows nothing, is offered for ever":    {starting(func(s *reader.State) { s.Running, s.InCompany = ms(1800), ms(1800); s.OfferAge = 0 }), ms(-1400)},
		"knows nothing, enough others try":      {starting(func(s *reader.State) { s.Running, s.InCompany = long, long; s.HeldFor = ms(100) }), ms(400) + half},
		"knows something, has just begun":       {knowing(func(s *reader.State) { s.Running = ms(100) }), ms(300)},
		"new fleet, has just begun":             {starting(func(s *reader.State) { s.FirstStart = true; s.Running = ms(200) }), time.Second},
		"the reader":                            {knowing(func(*reader.State) {}), 0},
		"the reader, but one before it reads":   {knowing(func(s *reader.State) { s.OutrankedAge = ms(10); s.Age = ms(10) }), ms(990)},
		"the reader, too new to know its rank":  {knowing(func(s *reader.State) { s.Running = ms(2999); s.Age = ms(400) }), ms(600)},
		"the same, but nobody confirms":         {knowing(func(s *reader.State) { s.Running = ms(2999); s.Age = ms(1000) }), 0},
		"the same, but it reads":                {knowing(func(s *reader.State) { s.Running = ms(2999); s.Age = ms(400); s.Reads = true }), 0},
		"the reader of a new fleet":             {reader.State{FirstStart: true, Running: long, OutrankedAge: long}, 0},
		"a standby":                             {knowing(func(s *reader.State) { s.Rank = 2; s.Age = ms(400) }), ms(600)},
		"a standby whose knowledge is old":      {knowing(func(s *reader.State) { s.Rank = 1; s.Age = ms(1000); s.HeldFor = 0 }), 0},
		"another, early draw":                   {knowing(func(s *reader.State) { s.Rank = 3; s.Age = ms(1000) }), ms(300)},
		"another":                               {knowing(func(s *reader.State) { s.Rank = 3; s.Draw = 0.5; s.Age = ms(1000) }), ms(300) + half},
		"another, enough others try":            {knowing(func(s *reader.State) { s.Rank = 3; s.Draw = 0.5; s.Age = long; s.HeldFor = ms(200) }), ms(300) + half},
		"another, enough others failed":         {knowing(func(s *reader.State) { s.Rank = 3; s.Age = ms(1400); s.TriedFor = ms(10) }), ms(50)},
		"the same, for long":                    {knowing(func(s *reader.State) { s.Rank = 3; s.Age = ms(11300); s.TriedFor = ms(1000) }), ms(3000)},
		"another, their tries are long ago":     {knowing(func(s *reader.State) { s.Rank = 3; s.Draw = 0.5; s.Age = ms(1300) + half; s.HeldFor = time.Second }), 0},
		"never confirmed":                       {knowing(func(s *reader.State) { s.Rank = 3; s.Confirmed = false; s.Age = math.MaxInt64 }), ms(500) - long},
		"a new fleet of which nothing was heard": {
			reader.State{Rank: 1, FirstStart: true, Running: 2 * time.Second, Age: math.MaxInt64, OutrankedAge: long}, ms(200)},
		"reads, and its own reading is fresh":     {knowing(func(s *reader.State) { s.Rank = 1; s.Reads = true }), time.Second - long},
		"reads, and one before it has come back":  {knowing(func(s *reader.State) { s.Rank = 1; s.Reads = true; s.OutrankedAge = 0; s.Age = long }), time.Second},
		"reads though others are not yet settled": {knowing(func(s *reader.State) { s.Rank = 5; s.Running = ms(399); s.Reads = true }), ms(1)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(reader.Until(c.state, timing)).To(BeNumerically("~", c.want, time.Microsecond))
		})
	}
}

func TestUntilStaleRead(t *testing.T) {
	const long = time.Hour
	for name, c := range map[string]struct {
		state reader.State
		want  time.Duration
	}{
		"early draw":                      {reader.State{OfferAge: long}, 0},
		"late draw":                       {reader.State{OfferAge: long, Draw: 0.5, Running: 40 * time.Millisecond}, 185 * time.Millisecond},
		"another gateway offers":          {reader.State{Running: long, OfferAge: 100 * time.Millisecond}, 200 * time.Millisecond},
		"the offer has come to nothing":   {reader.State{Running: long, OfferAge: 300 * time.Millisecond}, 0},
		"others try to read: it is cheap": {reader.State{OfferAge: long, HeldFor: 0}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(reader.UntilStaleRead(c.state)).To(BeNumerically("~", c.want, time.Microsecond))
		})
	}
}

// Of however many that fall silent together, few are early, and all are in time.
func TestFewAreEarlyOfHoweverMany(t *testing.T) {
	const (
		spread = 750 * time.Millisecond
		hear   = 50 * time.Millisecond // until all have heard of the first
	)
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		gateways int
		most     float64 // on average, that have begun when the first is heard of
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
					if d < first+hear {
						early++
					}
				}
			}
			t.Logf("%.1f of %d begin", float64(early)/rounds, c.gateways)
			g.Expect(float64(early) / rounds).To(BeNumerically("<=", c.most))
		})
	}
}

func TestTriesArePublishedOnceAndHoldOthersBack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	var tries reader.Tries
	g.Expect(tries.Published(now)).To(BeEmpty())
	g.Expect(tries.Note(now, reader.Try{ID: "a", Number: 1})).To(BeTrue())
	g.Expect(tries.Note(now.Add(ms(900)), reader.Try{ID: "a", Number: 1})).To(BeFalse(), "the same, by a long way")
	g.Expect(tries.Published(now)).To(Equal([]reader.Try{{ID: "a", Number: 1}}))
	g.Expect(tries.Note(now, reader.Try{ID: "a", Number: 1, Failed: true})).To(BeTrue(), "that it failed is news")
	g.Expect(tries.Lacking(now, []reader.Try{{ID: "a", Number: 1}})).To(BeTrue())
	g.Expect(tries.Note(now, reader.Try{ID: "a", Number: 1, Failed: true})).To(BeFalse(), "known")
	g.Expect(tries.Note(now, reader.Try{ID: "a", Number: 1})).To(BeFalse(), "never taken back")
	g.Expect(tries.Published(now)).To(Equal([]reader.Try{{ID: "a", Number: 1, Failed: true}}))
	g.Expect(tries.Note(now, reader.Try{ID: "a", Number: 0})).To(BeFalse(), "an earlier one")
	g.Expect(tries.Lacking(now, nil)).To(BeTrue())
	g.Expect(tries.Lacking(now, tries.Published(now))).To(BeFalse())
	tries.Note(now, reader.Try{ID: "self", Number: 2})
	tries.Note(now, reader.Try{ID: "b", Number: 3, Ago: ms(10)})
	g.Expect(tries.HeldFor(now, "self")).To(BeNumerically(">", time.Hour), "two others are not enough")
	version := tries.Version()
	tries.Note(now, reader.Try{ID: "c", Number: 4, Ago: ms(5)})
	g.Expect(tries.Version()).NotTo(Equal(version))
	g.Expect(tries.TriedFor(now.Add(ms(100)), "self")).To(Equal(ms(110)), "since the third of them began")
	g.Expect(tries.HeldFor(now.Add(ms(100)), "self")).To(BeNumerically(">", time.Hour), "one of them has failed")
	tries.Note(now, reader.Try{ID: "d", Number: 5, Ago: ms(5)})
	g.Expect(tries.HeldFor(now.Add(ms(100)), "self")).To(Equal(ms(110)), "since the third began that may succeed")
	tries.Note(now, reader.Try{ID: "e", Number: 6, Ago: ms(5)})
	g.Expect(tries.Note(now, reader.Try{ID: "old", Number: -1})).To(BeFalse(), "there are enough later ones")
	g.Expect(tries.Note(now.Add(time.Second), reader.Try{ID: "a", Number: 9})).To(BeTrue(), "again")
	g.Expect(tries.Published(now.Add(time.Second))[0]).To(Equal(reader.Try{ID: "a", Number: 9}))
	g.Expect(tries.Published(now.Add(time.Minute))).To(BeEmpty())
	g.Expect(tries.Lacking(now.Add(1999*time.Millisecond), nil)).To(BeTrue())
	g.Expect(tries.Lacking(now.Add(2001*time.Millisecond), nil)).To(BeFalse(), "no longer news")
	late := now.Add(3500 * time.Millisecond)
	g.Expect(tries.Published(late)).To(BeEmpty())
	g.Expect(tries.Note(late, reader.Try{ID: "a", Number: 9, Ago: 1999 * time.Millisecond})).To(BeFalse(),
		"word of it that was late is no news, or two gateways go on for ever")
}

// Two gateways that swap tries come to an end, in whatever order and however late they
// heard of them.
func TestTwoGatewaysSoonAgreeOnTries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var one, other reader.Tries
		for _, tries := range []*reader.Tries{&one, &other} {
			for range rapid.IntRange(0, 9).Draw(t, "tries") {
				tries.Note(now, reader.Try{
					ID: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "id"), Number: rapid.Int64Range(0, 9).Draw(t, "number"),
					Ago: time.Duration(rapid.IntRange(0, 1500).Draw(t, "ago")) * time.Millisecond,
				})
			}
		}
		for _, told := range one.Published(now) {
			other.Note(now, told)
		}
		for _, told := range other.Published(now) {
			one.Note(now, told)
		}
		if one.Lacking(now, other.Published(now)) || other.Lacking(now, one.Published(now)) {
			t.Fatalf("%v and %v go on", one.Published(now), other.Published(now))
		}
	})
}

func TestTargetsAreReadLaterByFollowersAfterAnOutage(t *testing.T) {
	g := NewWithT(t)
	g.Expect(reader.RestoreDelay(0, 2*time.Second)).To(Equal(2 * time.Second))
	g.Expect(reader.RestoreDelay(1, 2*time.Second)).To(Equal(2500 * time.Millisecond))
}

func ExampleUntil() {
	standby := reader.State{Rank: 1, Knows: true, Confirmed: true, Running: time.Minute, Age: 1200 * time.Millisecond}
	fmt.Println(reader.Until(standby, timing) <= 0)
	// Output: true
}

package reader_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

var timing = reader.Timing{Standby: time.Second, Alone: 1300 * time.Millisecond}

func TestUntil(t *testing.T) {
	const long = time.Hour
	for name, c := range map[string]struct {
		state reader.State
		want  time.Duration
	}{
		"knows nothing: clients wait":             {reader.State{Rank: 7, Running: 0}, 0},
		"knows something, has just begun":         {reader.State{Rank: 0, Knows: true, Running: 100 * time.Millisecond}, 300 * time.Millisecond},
		"new fleet, has just begun":               {reader.State{Rank: 0, FirstStart: true, Running: 200 * time.Millisecond}, time.Second},
		"the reader":                              {reader.State{Rank: 0, Knows: true, Running: long}, 0},
		"the reader of a new fleet":               {reader.State{Rank: 0, FirstStart: true, Running: long}, 0},
		"a standby":                               {reader.State{Rank: 2, Knows: true, Confirmed: true, Running: long, Age: 400 * time.Millisecond}, 600 * time.Millisecond},
		"a standby whose knowledge is old":        {reader.State{Rank: 1, Knows: true, Confirmed: true, Running: long, Age: time.Second}, 0},
		"another":                                 {reader.State{Rank: 3, Knows: true, Confirmed: true, Running: long, Age: time.Second}, 390 * time.Millisecond},
		"another far down":                        {reader.State{Rank: 900, Knows: true, Confirmed: true, Running: long, Age: time.Second}, 600 * time.Millisecond},
		"never confirmed":                         {reader.State{Rank: 3, Knows: true, Running: long, Age: time.Duration(math.MaxInt64)}, 1390*time.Millisecond - time.Duration(math.MaxInt64)},
		"a new fleet of which nothing was heard":  {reader.State{Rank: 1, FirstStart: true, Running: 2 * time.Second, Age: time.Duration(math.MaxInt64)}, 200 * time.Millisecond},
		"reads, and its own reading is fresh":     {reader.State{Rank: 1, Knows: true, Confirmed: true, Running: long, Reads: true, OutrankedAge: long}, time.Second - long},
		"reads, and one before it has come back":  {reader.State{Rank: 1, Knows: true, Confirmed: true, Running: long, Reads: true, OutrankedAge: 0, Age: long}, time.Second},
		"reads though others are not yet settled": {reader.State{Rank: 5, Knows: true, Running: 399 * time.Millisecond, Reads: true}, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(reader.Until(c.state, timing)).To(Equal(c.want))
		})
	}
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

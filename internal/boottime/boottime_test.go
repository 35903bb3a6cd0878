package boottime

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// machine has three clocks that a test drives apart.
type machine struct {
	steady, day, slept atomic.Int64 // since the start
	asked              atomic.Int64 // how often it was asked for slept
}

func (m *machine) read() (steady, day time.Duration) {
	return time.Duration(m.steady.Load()), time.Duration(m.day.Load())
}

func (m *machine) suspended() (time.Duration, error) {
	m.asked.Add(1)
	return time.Duration(m.slept.Load()), nil
}

func (m *machine) pass(d time.Duration) {
	m.steady.Add(int64(d))
	m.day.Add(int64(d))
}

// sleep suspends the machine, which its steady clock does not count.
func (m *machine) sleep(d time.Duration) {
	m.day.Add(int64(d))
	m.slept.Add(int64(d))
}

func (m *machine) clock() *Clock {
	c, err := newClock(time.Unix(1_000_000, 0), m.read, m.suspended)
	if err != nil {
		panic(err) // it never is
	}
	return c
}

func TestSuspendedTimeCounts(t *testing.T) {
	g := NewWithT(t)
	m := &machine{}
	c := m.clock()
	woke := make(chan time.Duration, 10)
	c.OnWake(func(slept time.Duration) { woke <- slept })
	began := c.Now()
	for _, asleep := range []time.Duration{100 * time.Millisecond, 3 * time.Second, time.Minute, time.Minute} {
		before := c.Now()
		m.sleep(asleep)
		g.Expect(c.Now().Sub(before)).To(Equal(asleep), "at the first look")
		g.Expect(<-woke).To(Equal(asleep))
	}
	g.Expect(c.Now().Sub(began)).To(Equal(2*time.Minute + 3100*time.Millisecond))
	m.pass(time.Hour)
	c.Now()
	g.Consistently(woke, "20ms").ShouldNot(Receive())
}

func TestTheSystemsNoiseIsNoSleep(t *testing.T) {
	g := NewWithT(t)
	m := &machine{}
	c := m.clock()
	c.OnWake(func(time.Duration) { t.Error("it did not sleep") })
	before := c.Now()
	m.sleep(minSlept - 1)
	m.pass(checkEvery)
	g.Expect(c.Now().Sub(before)).To(Equal(checkEvery))
}

func TestAStepOfTheTimeOfDayMovesNothing(t *testing.T) {
	g := NewWithT(t)
	m := &machine{}
	c := m.clock()
	before := c.Now()
	for _, step := range []time.Duration{time.Hour, -3 * time.Hour, 10 * time.Millisecond} {
		m.day.Add(int64(step))
		g.Expect(c.Now()).To(Equal(before))
	}
	asked := m.asked.Load()
	for range 100 { // and the system is asked no more than once for each
		c.Now()
	}
	g.Expect(m.asked.Load()).To(Equal(asked))
}

// The machine sleeps, and the time of day is stepped back by as much meanwhile.
func TestASleepThatTheTimeOfDayHidesIsFoundWithinASecond(t *testing.T) {
	g := NewWithT(t)
	m := &machine{}
	c := m.clock()
	before := c.Now()
	m.sleep(3 * time.Second)
	m.day.Add(-int64(3 * time.Second))
	m.pass(checkEvery)
	g.Expect(c.Now().Sub(before)).To(Equal(3*time.Second + checkEvery))
}

func TestASystemWithoutTheClockIsSaidAndServed(t *testing.T) {
	g := NewWithT(t)
	m := &machine{}
	c, err := newClock(time.Unix(1_000_000, 0), m.read, func() (time.Duration, error) { return 0, errors.New("no such clock") })
	g.Expect(err).To(HaveOccurred())
	before := c.Now()
	m.pass(2 * checkEvery)
	g.Expect(c.Now().Sub(before)).To(Equal(2 * checkEvery))
}

func TestTheSystemsClockRuns(t *testing.T) {
	g := NewWithT(t)
	c, err := New()
	g.Expect(err).NotTo(HaveOccurred())
	before := c.Now()
	g.Eventually(func() bool { return c.Now().After(before) }).Should(BeTrue())
	g.Expect(time.Since(before)).To(BeNumerically("<", time.Minute), "it began at the time of day")
}

// By hand, one run beside other load: 81 ns, 57 of time.Now, 546 of asking the system.
func BenchmarkNow(b *testing.B) {
	c, err := New()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("clock", func(b *testing.B) {
		for b.Loop() {
			c.Now()
		}
	})
	b.Run("time.Now", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
	b.Run("system", func(b *testing.B) {
		for b.Loop() {
			if _, err := suspended(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Package boottime gives a clock that counts the time for which the machine is suspended,
// and that no step of the time of day moves. Go's own steady clock stands still while a
// machine sleeps: after it, knowledge, deadlines and connections look younger than they
// are.
//
// The system's CLOCK_BOOTTIME is that clock, but each look at it is a system call. So a
// Clock goes by Go's steady clock, which costs none, and asks the system only when the time
// of day has moved against it (which it does by as much as the machine slept, or when it is
// stepped), and once a second. Where the system has no such clock, suspended time is not
// counted; New says so.
//
// # Usage
//
//	clock, err := boottime.New()
//	clock.OnWake(func(slept time.Duration) { ... })
//	age := clock.Now().Sub(seen)
package boottime

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSlept is the shortest sleep that counts: far above what two looks at the
	// system's clocks differ by, far below any age that decides something.
	minSlept = 5 * time.Millisecond
	// checkEvery is how often the system is asked though the time of day gives no reason:
	// it may have been stepped back by as much as the machine slept.
	checkEvery = time.Second
	// looks is how often the system's clocks are looked at until nothing came between, and
	// maxApart how long a look may take.
	looks    = 3
	maxApart = time.Millisecond
)

// Clock counts suspended time. It is safe for concurrent use.
type Clock struct {
	// read gives by how much the steady clock and the time of day have moved since the
	// start, suspended for how long the machine has slept since.
	read      func() (steady, day time.Duration)
	suspended func() (time.Duration, error)
	epoch     time.Time // the start, without the steady clock's reading
	// apart is by how much the time of day has moved against the steady clock, asleep for
	// how long the machine has slept, checked when the system was last asked, since start.
	apart, asleep, checked atomic.Int64

	mu     sync.Mutex
	onWake func(slept time.Duration)
}

// New makes a clock that begins at the time of day. An error says that the system does not
// count suspended time; the clock is usable all the same.
func New() (*Clock, error) {
	start := time.Now()
	epoch := start.Round(0)
	read := func() (steady, day time.Duration) {
		now := time.Now()
		return now.Sub(start), now.Round(0).Sub(epoch)
	}
	return newClock(epoch, read, suspended)
}

func newClock(epoch time.Time, read func() (steady, day time.Duration), suspended func() (time.Duration, error)) (*Clock, error) {
	c := &Clock{read: read, epoch: epoch, onWake: func(time.Duration) {}}
	before, err := suspended()
	c.suspended = func() (time.Duration, error) {
		total, err := suspended()
		return total - before, err
	}
	if err != nil {
		c.suspended = func() (time.Duration, error) { return 0, nil }
		return c, fmt.Errorf("the system does not tell for how long it was suspended: %w", err)
	}
	return c, nil
}

// OnWake has a function called, on a goroutine of its own, each time that the machine is
// found to have slept. It must be set before the clock is used by others.
func (c *Clock) OnWake(f func(slept time.Duration)) { c.onWake = f }

// Now is the time. Only times of one clock can be compared.
func (c *Clock) Now() time.Time {
	steady, day := c.read()
	apart := day - steady
	if moved := apart - time.Duration(c.apart.Load()); moved.Abs() >= minSlept || steady-time.Duration(c.checked.Load()) >= checkEvery {
		c.check(steady, apart)
	}
	return c.epoch.Add(steady + time.Duration(c.asleep.Load()))
}

// check asks the system for how long it has slept.
func (c *Clock) check(steady, apart time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apart.Store(int64(apart))
	c.checked.Store(int64(steady))
	asleep, err := c.suspended()
	slept := asleep - time.Duration(c.asleep.Load())
	if err != nil || slept < minSlept {
		return
	}
	c.asleep.Store(int64(asleep))
	go c.onWake(slept)
}

// suspended is for how long the machine has been suspended since it started.
func suspended() (time.Duration, error) {
	var apart time.Duration
	for range looks {
		before, err := systemClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		boot, err := systemClock(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, err
		}
		after, err := systemClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, err
		}
		apart = boot - after
		if after-before < maxApart {
			break
		}
	}
	return apart, nil
}

func systemClock(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Package boottime provides a clock that counts the time for which the machine is suspended
// and that is not affected by steps of the wall clock. Go's own monotonic clock stops while
// a machine is suspended, so that afterwards known state, deadlines and connections look
// younger than they are.
//
// The system's CLOCK_BOOTTIME is such a clock, but each reading of it is a system call. A
// Clock is therefore based on Go's monotonic clock, which needs none, and reads the system's
// clocks only when the wall clock has moved relative to it (by the time of a suspension, or
// by a step), and once a second. Where the system has no such clock, suspended time is not
// counted, and New returns an error.
//
// # Usage
//
//	clock, err := boottime.New()
//	clock.OnResume(func(suspended time.Duration) { ... })
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
	// minSuspension is the shortest suspension that is counted: far above the difference
	// between two readings of the system's clocks, far below any age that a decision
	// depends on.
	minSuspension = 5 * time.Millisecond
	// checkInterval is how often the system's clocks are read even if the wall clock has not
	// moved: it may have been stepped back by as much as the machine was suspended.
	checkInterval = time.Second
	// maxReads is how often the system's clocks are read at most to get a reading that was not
	// interrupted, and maxReadTime is how long such a reading may take.
	maxReads    = 3
	maxReadTime = time.Millisecond
)

// Clock counts suspended time. It is safe for concurrent use.
type Clock struct {
	// readClocks returns by how much the monotonic clock and the wall clock have moved since
	// the start, readSuspended for how long the machine has been suspended since then.
	readClocks    func() (monotonic, wall time.Duration)
	readSuspended func() (time.Duration, error)
	wallStart     time.Time // the start, without a monotonic reading
	// All three are counted from the start: offset is by how much the wall clock has moved
	// relative to the monotonic clock, suspendedTotal is for how long the machine has been
	// suspended, and lastCheck is the monotonic time at which the system was last asked.
	offset, suspendedTotal, lastCheck atomic.Int64

	mu       sync.Mutex
	onResume func(suspended time.Duration)
}

// New returns a clock that starts at the current wall-clock time. It returns an error if the
// system does not count suspended time; the clock is usable nevertheless.
func New() (*Clock, error) {
	start := time.Now()
	wallStart := start.Round(0)
	read := func() (monotonic, wall time.Duration) {
		now := time.Now()
		return now.Sub(start), now.Round(0).Sub(wallStart)
	}
	return newClock(wallStart, read, systemSuspended)
}

func newClock(wallStart time.Time, read func() (monotonic, wall time.Duration), suspended func() (time.Duration, error)) (*Clock, error) {
	c := &Clock{readClocks: read, wallStart: wallStart, onResume: func(time.Duration) {}}
	atStart, err := suspended()
	c.readSuspended = func() (time.Duration, error) {
		total, err := suspended()
		return total - atStart, err
	}
	if err != nil {
		c.readSuspended = func() (time.Duration, error) { return 0, nil }
		return c, fmt.Errorf("the system does not report how long it was suspended: %w", err)
	}
	return c, nil
}

// OnResume sets a function that is called in its own goroutine whenever the clock detects
// that the machine was suspended. It must be set before other goroutines use the clock.
func (c *Clock) OnResume(f func(suspended time.Duration)) { c.onResume = f }

// Now returns the current time. Only times of the same Clock can be compared.
func (c *Clock) Now() time.Time {
	monotonic, wall := c.readClocks()
	offset := wall - monotonic
	if moved := offset - time.Duration(c.offset.Load()); moved.Abs() >= minSuspension || monotonic-time.Duration(c.lastCheck.Load()) >= checkInterval {
		c.check(monotonic, offset)
	}
	return c.wallStart.Add(monotonic + time.Duration(c.suspendedTotal.Load()))
}

// check reads from the system for how long the machine has been suspended.
func (c *Clock) check(monotonic, offset time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset.Store(int64(offset))
	c.lastCheck.Store(int64(monotonic))
	total, err := c.readSuspended()
	newlySuspended := total - time.Duration(c.suspendedTotal.Load())
	if err != nil || newlySuspended < minSuspension {
		return
	}
	c.suspendedTotal.Store(int64(total))
	go c.onResume(newlySuspended)
}

// systemSuspended returns for how long the machine has been suspended since it booted.
func systemSuspended() (time.Duration, error) {
	var offset time.Duration
	for range maxReads {
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
		offset = boot - after
		if after-before < maxReadTime {
			break
		}
	}
	return offset, nil
}

func systemClock(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

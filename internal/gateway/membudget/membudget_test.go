package membudget_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

const mb = 1 << 20

// newBudget returns one with room for 48 MB of bodies.
func newBudget() *membudget.Budget {
	return membudget.New(membudget.Options{Limits: memory.NewLimits(100 * mb)})
}

func TestAHoldIsCountedUntilItIsReleased(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	b := membudget.New(membudget.Options{Clock: func() time.Time { return now }})
	hold := b.Hold(memory.Body, 10)
	hold.Resize(30)
	g.Expect(b.Usage(memory.Body).Held()).To(Equal(int64(30)))
	now = now.Add(time.Second)
	hold.Release()
	hold.Release()
	hold.Resize(40)
	u := b.Usage(memory.Body)
	g.Expect([]int64{u.Held(), u.Peak(), int64(u.Holds())}).To(Equal([]int64{0, 30, 1}))
	g.Expect(u.HeldFor()).To(Equal(time.Second))
}

func TestABodyGetsRoomWaitsOrIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		length   int64
		patience time.Duration
		cancel   bool
		err      error
		took     time.Duration
	}{
		"there is room":            {8 * mb, 0, false, nil, 0},
		"it may not wait":          {9 * mb, 0, false, membudget.ErrNoRoom, 0},
		"room comes in time":       {9 * mb, 3 * time.Second, false, nil, 2 * time.Second},
		"room comes too late":      {9 * mb, time.Second, false, membudget.ErrNoRoom, time.Second},
		"it can never fit":         {49 * mb, 3 * time.Second, false, membudget.ErrTooLarge, 0},
		"its client does not wait": {9 * mb, 3 * time.Second, true, context.DeadlineExceeded, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := newBudget()
				other, err := b.Await(t.Context(), 40*mb, 0)
				g.Expect(err).NotTo(HaveOccurred())
				time.AfterFunc(2*time.Second, other.Release)
				ctx := t.Context()
				if c.cancel {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, time.Second)
					defer cancel()
				}
				began := time.Now()
				hold, err := b.Await(ctx, c.length, c.patience)
				if c.err != nil {
					g.Expect(err).To(MatchError(c.err))
				} else {
					g.Expect(err).NotTo(HaveOccurred())
				}
				g.Expect(time.Since(began)).To(Equal(c.took))
				hold.Release()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				g.Expect(b.Usage(memory.Body).Held()).To(BeZero())
				g.Expect(b.Counts().Waiting()).To(BeZero())
			})
		})
	}
}

func TestMoreMemoryGivesRoomToBodiesThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		b.Hold(memory.Body, 40*mb)
		time.AfterFunc(time.Second, func() { b.SetLimits(memory.NewLimits(200 * mb)) })
		_, err := b.Await(t.Context(), 20*mb, time.Minute)
		g.Expect(err).NotTo(HaveOccurred())
	})
}

func TestHoldersAreAskedToGiveMemoryBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBudget()
		idle := b.Hold(memory.Connection, 54*mb)
		asked := int64(0)
		b.OnShortage(func(s membudget.Shortage) int64 {
			g.Expect(s.OfBodies()).To(BeFalse())
			asked += s.Bytes()
			idle.Release()
			return 54 * mb
		})
		_, ok := b.TryHold(memory.Request, mb)
		g.Expect(ok).To(BeTrue())
		g.Expect(asked).To(BeZero(), "there was room")
		_, ok = b.TryHold(memory.Connection, mb)
		g.Expect(ok).To(BeTrue())
		g.Expect(asked).To(Equal(int64(mb)))
	})
}

// Guards against connections that are closed for want of room which they don't take up.
func TestAShortageOfBodiesIsToldFromOneOfOthers(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		bodies, others int64
		ofBodies       bool
	}{{40 * mb, 0, true}, {10 * mb, 40 * mb, false}} {
		b := newBudget()
		b.Hold(memory.Body, c.bodies)
		b.Hold(memory.Connection, c.others)
		var short membudget.Shortage
		b.OnShortage(func(s membudget.Shortage) int64 {
			short = s
			return 0
		})
		_, err := b.Await(t.Context(), 10*mb, 0)
		g.Expect(err).To(MatchError(membudget.ErrNoRoom))
		g.Expect(short.Bytes()).To(Equal(int64(10 * mb)))
		g.Expect(short.OfBodies()).To(Equal(c.ofBodies))
	}
}

// Guards against a heap that grows beside its garbage, and against a collector that runs for each body.
func TestTheMemoryOfABodyCountsUntilItIsCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		runs := 0
		b := membudget.New(membudget.Options{Limits: memory.NewLimits(100 * mb), Collect: func() { runs++ }})
		for range 2 {
			hold, err := b.Await(t.Context(), 20*mb, 0)
			g.Expect(err).NotTo(HaveOccurred())
			hold.Release()
		}
		g.Expect(runs).To(BeZero(), "there was room")
		hold, err := b.Await(t.Context(), 48*mb, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(runs).To(Equal(1))
		began := time.Now()
		for range 100 {
			hold.Release()
			hold, err = b.Await(t.Context(), 48*mb, time.Minute)
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(runs).To(Equal(101))
		g.Expect(time.Since(began)).To(BeNumerically(">=", 100*50*time.Millisecond))
		hold.Release()
		_, ok := b.TryHold(memory.Request, 30*mb)
		g.Expect(ok).To(BeFalse(), "the last one may not be collected yet, and the collector ran a moment ago")
		time.Sleep(50 * time.Millisecond)
		_, ok = b.TryHold(memory.Request, 30*mb)
		g.Expect(ok).To(BeTrue())
	})
}

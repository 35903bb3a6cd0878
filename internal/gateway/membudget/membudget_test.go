package membudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

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

func TestWithoutABudgetNothingIsCounted(t *testing.T) {
	var b *membudget.Budget
	hold := b.Hold(memory.Body, 10)
	hold.Resize(20)
	hold.Release()
}

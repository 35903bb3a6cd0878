package memory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
)

func TestUsageCountsBytesHoldsAndTime(t *testing.T) {
	g := NewWithT(t)
	l := memory.NewLedger()
	l.Add(memory.Body, 100)
	l.Add(memory.Body, 10)
	l.Resize(memory.Body, 10, 50)
	l.Remove(memory.Body, 100, 2*time.Second)
	u := l.Usage(memory.Body)
	g.Expect([]int64{u.Held(), u.Peak(), int64(u.Holds())}).To(Equal([]int64{50, 150, 1}))
	g.Expect(u.HeldFor()).To(Equal(2 * time.Second))
	g.Expect(l.Usage(memory.Send)).To(Equal(memory.Usage{}), "each holder has its own counts")
}

func TestEachHolderHasAName(t *testing.T) {
	g := NewWithT(t)
	names := map[string]bool{}
	for _, h := range memory.Holders() {
		names[h.String()] = true
	}
	g.Expect(names).To(HaveLen(len(memory.Holders())))
}

package gateway

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestLimitOfAnswersIsAShareOfTheConfiguredMemory(t *testing.T) {
	for memory, want := range map[float64]int64{184: 23 << 20, 536: 67 << 20, 0: 64 << 20} {
		g := NewWithT(t)
		g.Expect(memoryLimits(Settings{MemoryMB: memory}).Answers()).To(Equal(want))
	}
}

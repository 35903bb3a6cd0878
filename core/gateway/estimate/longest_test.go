package estimate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/estimate"
)

func TestTheLongestFollowsADurationUpAtOnceAndDownSlowly(t *testing.T) {
	g := NewWithT(t)
	s := estimate.New()
	s.RecordDuration("order", time.Second)
	s.RecordDuration("order", time.Second)
	g.Expect(s.Longest("order")).To(BeZero(), "too few to tell")
	s.RecordDuration("order", 10*time.Second)
	g.Expect(s.Longest("order")).To(Equal(10 * time.Second))
	for range 35 {
		s.RecordDuration("order", time.Second)
	}
	g.Expect(s.Longest("order")).To(BeNumerically("~", 5500*time.Millisecond, 100*time.Millisecond))
	g.Expect(s.Longest("read")).To(BeZero())
}

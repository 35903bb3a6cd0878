package discovery

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestEarlierOrUnrelatedPositionDoesNotCover(t *testing.T) {
	for _, c := range []struct {
		at, position string
		covers       bool
	}{
		{"", "", true}, {"a.3", "a.3", true}, {"a.4", "a.3", true}, {"a.2", "a.3", false},
		{"b.9", "a.3", false}, {"", "a.3", false}, {"a.3", "", false}, {"garbage", "a.3", false},
	} {
		NewWithT(t).Expect(covers(c.at, c.position)).To(Equal(c.covers), "%q of %q", c.at, c.position)
	}
}

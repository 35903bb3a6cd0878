package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A gateway is bound by what the store says from watch_trust_s after the end of an
// outage on: the time in which entries come back and that time do not add up.
func TestTargetsAreReadBeforeAGatewayIsBoundByThemAgain(t *testing.T) {
	for name, c := range map[string]struct {
		restore, trust float64
		want           time.Duration
	}{
		"entries are back soon": {2.3, 3, 2300 * time.Millisecond},
		"entries are back late": {4, 3, 2400 * time.Millisecond},
		"little time":           {2.3, 1, 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := timing(Settings{RestoreWithin: c.restore, WatchTrust: c.trust, ApplyWithin: 2})
			g.Expect(got.RestoreWithin).To(Equal(c.want))
			g.Expect(got.RestoreWithin).To(BeNumerically("<", got.OutageAfter))
		})
	}
}

package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// From watch_trust_s after the end of an outage on, a gateway must follow the store. The
// time in which entries reappear is part of that time and must not be added to it.
func TestTargetsAreReadBeforeAGatewayMustFollowTheStoreAgain(t *testing.T) {
	for name, c := range map[string]struct {
		restore, trust float64
		want           time.Duration
	}{
		"entries reappear early": {2.3, 3, 2300 * time.Millisecond},
		"entries reappear late":  {4, 3, 2400 * time.Millisecond},
		"short watch trust":      {2.3, 1, 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := timing(Settings{RestoreWithin: c.restore, WatchTrust: c.trust, ApplyWithin: 2})
			g.Expect(got.RestoreWithin).To(Equal(c.want))
			g.Expect(got.RestoreWithin).To(BeNumerically("<", got.OutageAfter))
		})
	}
}

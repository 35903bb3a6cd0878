package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a check that counts requests by their arrival alone, or none that was held back.
func TestColdRequestsCountWhereTheyWereSentAndArrivedWithinASecond(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		arrivals []coldArrival
		most     int
	}{
		"at once":                            {[]coldArrival{{100 * ms, 101 * ms}, {200 * ms, 201 * ms}, {1099 * ms, 1099 * ms}}, 3},
		"over more than a second":            {[]coldArrival{{100 * ms, 101 * ms}, {200 * ms, 201 * ms}, {1101 * ms, 1102 * ms}}, 2},
		"held for less than a second":        {[]coldArrival{{100 * ms, 1000 * ms}, {101 * ms, 1000 * ms}, {999 * ms, 1000 * ms}}, 3},
		"held for more than a second":        {[]coldArrival{{100 * ms, 1200 * ms}, {101 * ms, 1200 * ms}, {999 * ms, 1200 * ms}}, 1},
		"one held beside ones that were not": {[]coldArrival{{999 * ms, 1000 * ms}, {100 * ms, 1200 * ms}, {1100 * ms, 1200 * ms}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := &records{cold: map[string][]coldArrival{"i-1": c.arrivals, "i-2": c.arrivals[:1]}}
			most, _ := r.mostCold()
			NewWithT(t).Expect(most).To(Equal(c.most))
		})
	}
}

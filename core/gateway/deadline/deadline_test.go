package deadline_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/deadline"
)

var began = time.Unix(1000, 0)

func TestTheEarlierOfRouteAndClientHolds(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, allowed time.Duration
		request, client  time.Duration
	}{
		"the route alone":           {2 * time.Second, deadline.NotGiven, 2 * time.Second, 2 * time.Second},
		"the client waits less":     {2 * time.Second, time.Second, time.Second, time.Second},
		"the client waits longer":   {2 * time.Second, 5 * time.Second, 2 * time.Second, 5 * time.Second},
		"the client waits no more":  {2 * time.Second, 0, 0, 0},
		"neither names one":         {0, deadline.NotGiven, 30 * time.Second, 30 * time.Second},
		"the client, and no route":  {0, time.Minute, 30 * time.Second, time.Minute},
		"a time-out that is no one": {-time.Second, deadline.NotGiven, 30 * time.Second, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := deadline.New(began, c.timeout, c.allowed)
			g.Expect(d.Request().Sub(began)).To(Equal(c.request))
			g.Expect(d.Client().Sub(began)).To(Equal(c.client))
		})
	}
}

func TestParseMilliseconds(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]time.Duration{"": deadline.NotGiven, "0": 0, "1500": 1500 * time.Millisecond, "3600000": time.Hour} {
		got, err := deadline.ParseMilliseconds(text)
		g.Expect(err).NotTo(HaveOccurred(), text)
		g.Expect(got).To(Equal(want), text)
	}
	for _, text := range []string{"-1", "3600001", "1.5", "soon", "99999999999999999999"} {
		got, err := deadline.ParseMilliseconds(text)
		g.Expect(err).To(MatchError(deadline.ErrMilliseconds), text)
		g.Expect(got).To(Equal(deadline.NotGiven), text)
	}
}

func ExampleNew() {
	d := deadline.New(began, 2*time.Second, 1500*time.Millisecond)
	fmt.Println(d.Request().Sub(began))
	// Output: 1.5s
}

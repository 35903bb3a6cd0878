package deadline_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/deadline"
)

var received = time.Unix(1000, 0)

func TestEarlierOfRouteAndClientDeadlineApplies(t *testing.T) {
	for name, c := range map[string]struct {
		timeout, allowed time.Duration
		request, client  time.Duration
	}{
		"the route only":           {2 * time.Second, deadline.Unspecified, 2 * time.Second, 2 * time.Second},
		"the client waits less":    {2 * time.Second, time.Second, time.Second, time.Second},
		"the client waits longer":  {2 * time.Second, 5 * time.Second, 2 * time.Second, 5 * time.Second},
		"the client does not wait": {2 * time.Second, 0, 0, 0},
		"neither specifies a time": {0, deadline.Unspecified, 30 * time.Second, 30 * time.Second},
		"the client only":          {0, time.Minute, 30 * time.Second, time.Minute},
		"a negative timeout":       {-time.Second, deadline.Unspecified, 30 * time.Second, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := deadline.New(received, c.timeout, c.allowed)
			g.Expect(d.Request().Sub(received)).To(Equal(c.request))
			g.Expect(d.Client().Sub(received)).To(Equal(c.client))
		})
	}
}

func TestParseMilliseconds(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]time.Duration{"": deadline.Unspecified, "0": 0, "1500": 1500 * time.Millisecond, "3600000": time.Hour} {
		got, err := deadline.ParseMilliseconds(text)
		g.Expect(err).NotTo(HaveOccurred(), text)
		g.Expect(got).To(Equal(want), text)
	}
	for _, text := range []string{"-1", "3600001", "1.5", "soon", "99999999999999999999"} {
		got, err := deadline.ParseMilliseconds(text)
		g.Expect(err).To(MatchError(deadline.ErrMilliseconds), text)
		g.Expect(got).To(Equal(deadline.Unspecified), text)
	}
}

func ExampleNew() {
	d := deadline.New(received, 2*time.Second, 1500*time.Millisecond)
	fmt.Println(d.Request().Sub(received))
	// Output: 1.5s
}

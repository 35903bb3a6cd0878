package discovery

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/member"
)

func TestAnOutageNeedsOwnCallsThatFailed(t *testing.T) {
	for name, c := range map[string]struct {
		silent time.Duration
		broken bool
		outage bool
	}{
		"nobody told anything, but no call failed": {time.Minute, false, false},
		"a call failed a moment ago":               {time.Second, true, false},
		"calls have failed for long":               {time.Minute, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Now()
			f := New(Options{
				Self: member.Box{ID: "self"}, Clock: func() time.Time { return now },
				Timing: Timing{OutageAfter: 3 * time.Second, Restore: 2 * time.Second},
			})
			f.apply("store", func(c *catalog.Catalog) (bool, bool) {
				return false, c.Replace(7, []catalog.Target{{ID: "s1", Service: "shop"}})
			})
			f.confirm(now, "reader")
			now = now.Add(c.silent)
			f.targets.broken = c.broken
			g.Expect(f.isRestoring()).To(Equal(c.outage))
		})
	}
}

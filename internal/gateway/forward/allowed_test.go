package forward_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
)

// Whatever makes a request look for another target, it reaches none outside the regions
// that its route allows, not even by a probe.
func TestNoWayLeadsOutOfTheRegionsThatARouteAllows(t *testing.T) {
	noWayLeadsOut(t, func(f *regionFixture, allowed []string) { f.regions = allowed })
}

// A workspace allowed some regions alone, and its requests went to all.
func TestNoWayLeadsOutOfTheRegionsThatAWorkspaceAllows(t *testing.T) {
	noWayLeadsOut(t, func(f *regionFixture, allowed []string) { f.workspaceRegions = allowed })
}

// Both bind where both name regions.
func TestNoWayLeadsOutOfTheRegionsThatRouteAndWorkspaceAllow(t *testing.T) {
	noWayLeadsOut(t, func(f *regionFixture, allowed []string) {
		f.regions, f.workspaceRegions = append([]string{"south"}, allowed...), append([]string{"east"}, allowed...)
	})
}

// noWayLeadsOut has what a test says allow some regions.
func noWayLeadsOut(t *testing.T, allow func(f *regionFixture, allowed []string)) {
	t.Helper()
	for name, c := range map[string]struct {
		allowed []string
		change  func(near *site)
		gone    bool // near has no entry
		status  int
		reason  string // empty if it was served
		before  int    // requests that give hedges a budget
		runs    int32  // at near
	}{
		"a first send": {allowed: []string{"north"}, change: func(*site) {}, status: http.StatusOK, runs: 1},
		"a first send while near is full": {
			allowed: []string{"north"}, change: func(near *site) { near.setLoad("3,9,3,100") }, status: http.StatusServiceUnavailable, reason: "too-late"},
		"overflow": {
			allowed: []string{"north"}, change: func(*site) {}, gone: true, status: http.StatusServiceUnavailable, reason: "region-not-allowed"},
		"a repeat": {
			allowed: []string{"north"}, change: func(near *site) { near.do = refuse }, status: http.StatusServiceUnavailable, reason: "target-unreachable", runs: 1},
		"a hedge": {
			allowed: []string{"north"}, change: func(near *site) { near.do = late }, before: 20, status: http.StatusOK, runs: 1},
		"fallback": {
			allowed: []string{"north"}, change: func(near *site) { near.dark.Store(true) }, status: http.StatusServiceUnavailable, reason: "target-unreachable"},
		"a service that reports no load": {
			allowed: []string{"north"}, change: func(near *site) { near.setLoad(""); near.dark.Store(true) }, status: http.StatusServiceUnavailable, reason: "target-unreachable"},
		"a region that nobody knows": {
			allowed: []string{"west"}, change: func(*site) {}, status: http.StatusServiceUnavailable, reason: "region-not-allowed"},
		"no region left": {
			allowed: []string{}, change: func(*site) {}, status: http.StatusServiceUnavailable, reason: "region-not-allowed"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := newSite("near", "b", 0), newSite("far", "c", oneWay)
				inRegions(t, []*site{near, far}, func(g *WithT, f *regionFixture) {
					for range c.before {
						f.read()
					}
					near.runs.Store(0)
					c.change(near)
					allow(f, c.allowed)
					f.show(near.Target, far.Target)
					if c.gone {
						f.show(far.Target)
					}
					status, _, took := f.read()
					g.Expect(status).To(Equal(c.status))
					g.Expect(near.runs.Load()).To(Equal(c.runs))
					g.Expect(far.dials.Load()).To(BeZero())
					g.Expect(far.runs.Load()).To(BeZero())
					if c.reason != "" {
						g.Expect(f.lines("not served")).To(ConsistOf(ContainSubstring(`"reason":"` + c.reason + `"`)))
					}
					if c.reason == "region-not-allowed" {
						g.Expect(took).To(BeZero(), "no search that can't find anything")
					}
				})
			})
		})
	}
}

// late answers so late that a hedge is looked for, and in time for the route.
func late(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * lookup)
	ok(w, r)
}

func TestARouteThatAllowsAnotherRegionAloneIsServedThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far, farther := newSite("near", "a", 0), newSite("far", "c", oneWay), newSite("farther", "d", oneWay)
		inRegions(t, []*site{near, far, farther}, func(g *WithT, f *regionFixture) {
			f.regions = []string{"south"}
			f.show(near.Target, far.Target, farther.Target)
			for range 5 {
				status, _, _ := f.read()
				g.Expect(status).To(Equal(http.StatusOK))
			}
			g.Expect(far.runs.Load()).To(Equal(int32(5)))
			g.Expect(near.dials.Load() + farther.dials.Load()).To(BeZero())
		})
	})
}

// A request drawn for a version on trial goes to the version in service where that
// version's targets stand in no region that is allowed.
func TestATrialStaysInTheRegionsThatARouteAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := newSite("near", "a", 0), newSite("far", "c", oneWay)
		near.Version, far.Version = "v1", "v2"
		inRegions(t, []*site{near, far}, func(g *WithT, f *regionFixture) {
			f.regions = []string{"north"}
			f.show(near.Target)
			order := catalog.Rollout{Service: "shop", Version: "v2", State: catalog.RolloutRunning, Permille: 900}
			f.view = f.view.WithRollouts(map[string]rollout.Assignment{
				"shop": rollout.Assign(order, []catalog.Target{near.Target, far.Target}, true),
			})
			for range 20 {
				status, _, _ := f.read()
				g.Expect(status).To(Equal(http.StatusOK))
			}
			g.Expect(far.dials.Load()).To(BeZero())
		})
	})
}

package catalog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

func incarnation(born int64, address string, leaving bool) catalog.Target {
	return catalog.Target{ID: "i-1", Service: "shop", Address: address, Hall: "a", Slots: 3, Leaving: leaving, Born: born}
}

// The known state of a target after a sequence of updates about its incarnations is the same
// whether they come as changes, as lists or from a peer.
func TestLatestIncarnationOfATargetWins(t *testing.T) {
	first, second := incarnation(1, "10.0.0.1:80", false), incarnation(2, "10.0.0.2:80", false)
	for name, c := range map[string]struct {
		updates []catalog.Target
		want    catalog.Target
	}{
		"restart at another address":                              {[]catalog.Target{first, second}, second},
		"restart at the same address":                             {[]catalog.Target{first, incarnation(2, first.Address, false)}, incarnation(2, first.Address, false)},
		"restart after leaving":                                   {[]catalog.Target{incarnation(1, first.Address, true), second}, second},
		"three incarnations, of which the second left":            {[]catalog.Target{first, incarnation(2, first.Address, true), incarnation(3, second.Address, false)}, incarnation(3, second.Address, false)},
		"late update of the previous incarnation":                 {[]catalog.Target{second, first}, second},
		"late update that the previous incarnation is leaving":    {[]catalog.Target{second, incarnation(1, first.Address, true)}, second},
		"start time decreases twice":                              {[]catalog.Target{incarnation(3, first.Address, false), second, first}, incarnation(3, first.Address, false)},
		"an incarnation that left does not return":                {[]catalog.Target{second, incarnation(2, second.Address, true), second}, incarnation(2, second.Address, true)},
		"update without a start time is of the known incarnation": {[]catalog.Target{second, incarnation(0, second.Address, true)}, incarnation(2, second.Address, true)},
		"start time after an update without one":                  {[]catalog.Target{incarnation(0, first.Address, true), second}, second},
		"no start times: a target that left does not return":      {[]catalog.Target{incarnation(0, first.Address, true), incarnation(0, first.Address, false)}, incarnation(0, first.Address, true)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			watched, listed, merged := catalog.New(), catalog.New(), catalog.New()
			watched.Replace(1, nil)
			merged.Replace(1, nil)
			for i, update := range c.updates {
				revision := uint64(i + 2)
				watched.Advance(revision, []catalog.Change{{Revision: revision, Target: update}})
				listed.Replace(revision, []catalog.Target{update})
				merged.Merge(watched.Since(merged.Position()))
			}
			for _, cat := range []*catalog.Catalog{watched, listed, merged} {
				g.Expect(cat.Targets()).To(ConsistOf(c.want))
			}
		})
	}
}

func TestLateUpdateOfAnEndedIncarnationDoesNotRestoreTheTarget(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.Replace(1, nil)
	c.Advance(2, []catalog.Change{{Revision: 2, Target: incarnation(2, "10.0.0.2:80", false)}})
	c.Advance(3, []catalog.Change{{Revision: 3, Target: catalog.Target{ID: "i-1"}, Gone: true}})
	c.Advance(4, []catalog.Change{{Revision: 4, Target: incarnation(1, "10.0.0.1:80", false)}})
	g.Expect(c.Targets()).To(BeEmpty())
	c.Advance(5, []catalog.Change{{Revision: 5, Target: incarnation(2, "10.0.0.2:80", false)}})
	g.Expect(c.Targets()).To(HaveLen(1))
}

func TestCheckRejectsATargetWithAMissingOrInvalidField(t *testing.T) {
	g := NewWithT(t)
	good := incarnation(1, "10.0.0.1:80", false)
	g.Expect(good.Check()).To(Succeed())
	for _, change := range []func(*catalog.Target){
		func(t *catalog.Target) { t.ID = "" },
		func(t *catalog.Target) { t.Service = "" },
		func(t *catalog.Target) { t.Hall = "" },
		func(t *catalog.Target) { t.Slots = 0 },
		func(t *catalog.Target) { t.Address = "" },
		func(t *catalog.Target) { t.Address = "10.0.0.1" },
		func(t *catalog.Target) { t.Address = "nowhere:80" },
	} {
		bad := good
		change(&bad)
		g.Expect(bad.Check()).NotTo(Succeed(), "%+v", bad)
	}
}

// A target has advertised that it is leaving, and its entry in the store does not show it, or
// shows it late.
func TestMarkLeavingAppliesToOneIncarnationOnly(t *testing.T) {
	target := incarnation(2, "10.0.0.1:80", false)
	restarted := incarnation(3, "10.0.0.1:80", false)
	change := func(c *catalog.Catalog, revision uint64, t catalog.Target, gone bool) {
		c.Advance(revision, []catalog.Change{{Revision: revision, Target: t, Gone: gone}})
	}
	for name, c := range map[string]struct {
		leaving catalog.Life
		then    func(c *catalog.Catalog)
		want    []catalog.Target
	}{
		"no further update":                       {target.Life(), func(*catalog.Catalog) {}, []catalog.Target{incarnation(2, target.Address, true)}},
		"its entry is written again":              {target.Life(), func(c *catalog.Catalog) { change(c, 3, target, false) }, []catalog.Target{incarnation(2, target.Address, true)}},
		"all entries are read again":              {target.Life(), func(c *catalog.Catalog) { c.Replace(3, []catalog.Target{target}) }, []catalog.Target{incarnation(2, target.Address, true)}},
		"its entry lapses and returns":            {target.Life(), func(c *catalog.Catalog) { change(c, 3, target, true); change(c, 4, target, false) }, []catalog.Target{incarnation(2, target.Address, true)}},
		"it ends":                                 {target.Life(), func(c *catalog.Catalog) { change(c, 3, target, true) }, nil},
		"it restarts":                             {target.Life(), func(c *catalog.Catalog) { change(c, 3, restarted, false) }, []catalog.Target{restarted}},
		"late update of the previous incarnation": {incarnation(1, "", false).Life(), func(*catalog.Catalog) {}, []catalog.Target{target}},
		"unknown target":                          {catalog.Life{ID: "i-9"}, func(*catalog.Catalog) {}, []catalog.Target{target}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cat := catalog.New()
			cat.Replace(2, []catalog.Target{target})
			at := cat.Position()
			g.Expect(cat.MarkLeaving(c.leaving)).To(Equal(c.leaving == target.Life()))
			g.Expect(cat.MarkLeaving(c.leaving)).To(BeFalse(), "the second call changes nothing")
			g.Expect(cat.Position()).To(Equal(at))
			c.then(cat)
			g.Expect(cat.Targets()).To(ConsistOf(c.want))
		})
	}
}

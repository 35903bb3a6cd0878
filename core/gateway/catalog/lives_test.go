package catalog_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

func life(born int64, address string, leaving bool) catalog.Target {
	return catalog.Target{ID: "i-1", Service: "shop", Address: address, Hall: "a", Slots: 3, Leaving: leaving, Born: born}
}

// What is believed of a target after word of its lives, one after the other, as changes, as
// lists, and as another gateway tells them.
func TestALifeOfATargetFollowsTheOneBefore(t *testing.T) {
	first, second := life(1, "10.0.0.1:80", false), life(2, "10.0.0.2:80", false)
	for name, c := range map[string]struct {
		updates []catalog.Target
		want    catalog.Target
	}{
		"it starts again at another address":         {[]catalog.Target{first, second}, second},
		"it starts again at the same address":        {[]catalog.Target{first, life(2, first.Address, false)}, life(2, first.Address, false)},
		"one that left starts again":                 {[]catalog.Target{life(1, first.Address, true), second}, second},
		"three lives, of which the second left":      {[]catalog.Target{first, life(2, first.Address, true), life(3, second.Address, false)}, life(3, second.Address, false)},
		"late word of the life before":               {[]catalog.Target{second, first}, second},
		"late word that the life before leaves":      {[]catalog.Target{second, life(1, first.Address, true)}, second},
		"the time goes back, and back again":         {[]catalog.Target{life(3, first.Address, false), second, first}, life(3, first.Address, false)},
		"the same life leaves and does not return":   {[]catalog.Target{second, life(2, second.Address, true), second}, life(2, second.Address, true)},
		"word without a time is of the life known":   {[]catalog.Target{second, life(0, second.Address, true)}, life(2, second.Address, true)},
		"a time after word that had none":            {[]catalog.Target{life(0, first.Address, true), second}, second},
		"no times at all: what left does not return": {[]catalog.Target{life(0, first.Address, true), life(0, first.Address, false)}, life(0, first.Address, true)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			watched, listed, told := catalog.New(), catalog.New(), catalog.New()
			watched.Replace(1, nil)
			told.Replace(1, nil)
			for i, update := range c.updates {
				revision := uint64(i + 2)
				watched.Advance(revision, []catalog.Change{{Revision: revision, Target: update}})
				listed.Replace(revision, []catalog.Target{update})
				told.Merge(watched.Since(told.Position()))
			}
			for _, c2 := range []*catalog.Catalog{watched, listed, told} {
				g.Expect(c2.Targets()).To(ConsistOf(c.want))
			}
		})
	}
}

func TestALateUpdateOfALifeThatIsOverBringsNothingBack(t *testing.T) {
	g := NewWithT(t)
	c := catalog.New()
	c.Replace(1, nil)
	c.Advance(2, []catalog.Change{{Revision: 2, Target: life(2, "10.0.0.2:80", false)}})
	c.Advance(3, []catalog.Change{{Revision: 3, Target: catalog.Target{ID: "i-1"}, Gone: true}})
	c.Advance(4, []catalog.Change{{Revision: 4, Target: life(1, "10.0.0.1:80", false)}})
	g.Expect(c.Targets()).To(BeEmpty())
	c.Advance(5, []catalog.Change{{Revision: 5, Target: life(2, "10.0.0.2:80", false)}})
	g.Expect(c.Targets()).To(HaveLen(1))
}

func TestATargetWithoutWhatASendNeedsIsNone(t *testing.T) {
	g := NewWithT(t)
	good := life(1, "10.0.0.1:80", false)
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

// A target that said itself that it leaves, and whose entry does not say so, or says so late.
func TestATargetThatSaysThatItLeavesStaysLeavingForThatLife(t *testing.T) {
	target := life(2, "10.0.0.1:80", false)
	again := life(3, "10.0.0.1:80", false)
	change := func(c *catalog.Catalog, revision uint64, t catalog.Target, gone bool) {
		c.Advance(revision, []catalog.Change{{Revision: revision, Target: t, Gone: gone}})
	}
	for name, c := range map[string]struct {
		said catalog.Life
		then func(c *catalog.Catalog)
		want []catalog.Target
	}{
		"nothing more is heard":        {target.Life(), func(*catalog.Catalog) {}, []catalog.Target{life(2, target.Address, true)}},
		"its entry is written again":   {target.Life(), func(c *catalog.Catalog) { change(c, 3, target, false) }, []catalog.Target{life(2, target.Address, true)}},
		"all entries are read again":   {target.Life(), func(c *catalog.Catalog) { c.Replace(3, []catalog.Target{target}) }, []catalog.Target{life(2, target.Address, true)}},
		"its entry lapses and is back": {target.Life(), func(c *catalog.Catalog) { change(c, 3, target, true); change(c, 4, target, false) }, []catalog.Target{life(2, target.Address, true)}},
		"it ends":                      {target.Life(), func(c *catalog.Catalog) { change(c, 3, target, true) }, nil},
		"it starts again":              {target.Life(), func(c *catalog.Catalog) { change(c, 3, again, false) }, []catalog.Target{again}},
		"late word of the life before": {life(1, "", false).Life(), func(*catalog.Catalog) {}, []catalog.Target{target}},
		"of one that is not known":     {catalog.Life{ID: "i-9"}, func(*catalog.Catalog) {}, []catalog.Target{target}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cat := catalog.New()
			cat.Replace(2, []catalog.Target{target})
			at := cat.Position()
			g.Expect(cat.MarkLeaving(c.said)).To(Equal(c.said == target.Life()))
			g.Expect(cat.MarkLeaving(c.said)).To(BeFalse(), "said once")
			g.Expect(cat.Position()).To(Equal(at))
			c.then(cat)
			g.Expect(cat.Targets()).To(ConsistOf(c.want))
		})
	}
}

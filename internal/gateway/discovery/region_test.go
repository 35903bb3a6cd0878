package discovery

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// inNorth is a gateway that knows version 1 and one target.
func inNorth(t *testing.T) *Follower {
	t.Helper()
	places := locality.New("a", "", map[string]string{"a": "north", "b": "north", "c": "south"})
	f := New(Options{
		Self: member.Box{ID: "self", Hall: "a"}, Places: func() *locality.Map { return places },
		Timing: Timing{SilentAfter: time.Second, PollSlack: 300 * time.Millisecond},
		Decode: func([]byte) (*routing.Table, error) { return routing.New(routing.Config{Version: 1}), nil },
	})
	f.apply("test", func(c *catalog.Catalog) catalog.Changed {
		c.ConfirmConfig(1)
		c.SetConfig(1, []byte("one"))
		c.Replace(4, []catalog.Target{{ID: "t1", Service: "shop"}})
		return catalog.Changed{}
	})
	return f
}

func madeOf(revision uint64, id string) []catalog.Change {
	return []catalog.Change{{Revision: revision, Target: catalog.Target{ID: id, Service: "shop"}}}
}

func TestNewsThatOvertakesOthersIsAskedForInstead(t *testing.T) {
	g := NewWithT(t)
	f, before := inNorth(t), inNorth(t).position()
	other := inNorth(t)
	tell := func(revision uint64, id string, base catalog.Position) UpdateArgs {
		other.apply("test", func(c *catalog.Catalog) catalog.Changed {
			return catalog.Changed{Targets: c.Advance(revision, madeOf(revision, id))}
		})
		n := &neighbour{peer: member.Box{ID: "far", Hall: "c"}, at: base}
		return UpdateArgs{At: other.position(), News: other.newsFor(n), Base: base, From: n.peer}
	}
	first := tell(5, "t2", before)
	second := tell(6, "t3", first.At)
	g.Expect(f.answer(second, &UpdateReply{})).To(Succeed())
	g.Expect(f.position()).To(Equal(before), "what lies between is missing")
	g.Expect(f.otherRegionOffers).To(HaveLen(1), "so it is asked for")
	g.Expect(f.answer(first, &UpdateReply{})).To(Succeed())
	g.Expect(f.position()).To(Equal(first.At))
	g.Expect(f.answer(second, &UpdateReply{})).To(Succeed())
	g.Expect(f.position()).To(Equal(second.At))
	g.Expect(f.Snapshot().ByService()["shop"]).To(HaveLen(3))
	g.Expect(f.answer(first, &UpdateReply{})).To(Succeed())
	g.Expect(f.position()).To(Equal(second.At), "old news changes nothing")
}

func TestUpdatesAreSentToOtherRegionsAlone(t *testing.T) {
	g := NewWithT(t)
	f := inNorth(t)
	behind := f.position()
	f.apply("test", func(c *catalog.Catalog) catalog.Changed {
		return catalog.Changed{Config: c.SetConfig(2, []byte("two"))}
	})
	far, near := member.Box{ID: "far", Hall: "c"}, member.Box{ID: "near", Hall: "b"}
	g.Expect(f.newsFor(&neighbour{peer: near, at: behind}).IsEmpty()).To(BeTrue())
	g.Expect(f.newsFor(&neighbour{peer: far}).IsEmpty()).To(BeTrue(), "one that knows nothing asks for all")
	g.Expect(f.newsFor(&neighbour{peer: far, at: f.position()}).IsEmpty()).To(BeTrue())
	news := f.newsFor(&neighbour{peer: far, at: behind})
	body, err := inflate(news.Config)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("two"))
	g.Expect(news.Changes).To(BeEmpty())
}

func TestAnswersOfOtherRegionsMayTakeLonger(t *testing.T) {
	g := NewWithT(t)
	f := inNorth(t)
	g.Expect(f.answerSlack(member.Box{Hall: "b"})).To(Equal(300 * time.Millisecond))
	g.Expect(f.answerSlack(member.Box{Hall: "c"})).To(Equal(700 * time.Millisecond))
	g.Expect(f.dialSlack(member.Box{Hall: "b"})).To(Equal(100 * time.Millisecond))
	g.Expect(f.dialSlack(member.Box{})).To(Equal(500*time.Millisecond), "of a seed, nothing is known")
	one := New(Options{Self: member.Box{ID: "self", Hall: "a"}, Timing: f.options.Timing})
	g.Expect(one.dialSlack(member.Box{Hall: "z"})).To(Equal(100*time.Millisecond), "all is one region")
}

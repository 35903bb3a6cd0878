package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/member"
)

func ids(boxes []member.Box) []string {
	out := make([]string, 0, len(boxes))
	for _, b := range boxes {
		out = append(out, b.ID)
	}
	return out
}

func TestAllRankTheSameAndPassOverWhoLeavesOrFails(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	boxes := []member.Box{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	var views []*member.View
	for _, self := range boxes {
		v := member.New(self)
		for _, b := range boxes {
			v.Heard(now, b)
		}
		views = append(views, v)
	}
	order := ids(views[0].Ranked(now, "reader", 10))
	g.Expect(order).To(HaveLen(4))
	for _, v := range views {
		g.Expect(ids(v.Ranked(now, "reader", 10))).To(Equal(order))
		g.Expect(ids(v.Ranked(now, "reader", 2))).To(Equal(order[:2]))
	}
	other := views[0]
	if order[0] == "a" {
		other = views[1]
	}
	other.Fail(now, order[0])
	g.Expect(ids(other.Ranked(now, "reader", 10))).NotTo(ContainElement(order[0]))
	other.Heard(now, member.Box{ID: order[0]})
	g.Expect(ids(other.Ranked(now, "reader", 10))).To(Equal(order))
	other.Leave(now, order[0])
	g.Expect(ids(other.Ranked(now, "reader", 10))).NotTo(ContainElement(order[0]))
}

func TestWordOfABoxThatIsGoneDiesOut(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	a, b := member.New(member.Box{ID: "a"}), member.New(member.Box{ID: "b"})
	a.Heard(now, member.Box{ID: "gone"})
	for range 60 { // a and b go on telling each other of it
		now = now.Add(500 * time.Millisecond)
		b.Sighted(now, a.Sightings(now))
		a.Sighted(now, b.Sightings(now))
	}
	g.Expect(ids(a.Ranked(now, "reader", 10))).To(ConsistOf("a", "b"))
	g.Expect(ids(b.Ranked(now, "reader", 10))).To(ConsistOf("a", "b"))
}

func TestWhatTwoBoxesTellEachOtherDoesNotGrowWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	v := member.New(member.Box{ID: "self", Hall: "hall-0"})
	for i := range 500 {
		v.Heard(now, member.Box{ID: fmt.Sprint("box-", i), Hall: fmt.Sprint("hall-", i%4)})
	}
	duties := []member.Role{{Name: "reader"}}
	for _, hall := range v.Halls() {
		duties = append(duties, member.Role{Name: "relay/" + hall, Hall: hall})
	}
	told := v.SightingsFor(now, duties, 5)
	g.Expect(told[0].Box.ID).To(Equal("self"))
	g.Expect(len(told)).To(BeNumerically("<=", 1+5*5))
	other := member.New(member.Box{ID: "other", Hall: "hall-1"})
	other.Sighted(now, told)
	first := ids(v.Ranked(now, "reader", 1))
	g.Expect(ids(other.Ranked(now, "reader", 600))).To(ContainElement(first[0]))
}

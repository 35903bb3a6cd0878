package forward_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
)

// evacuated is the fixture's view with some targets left out, as discovery makes it.
func (f *fixture) evacuated(left map[string][]catalog.Target, out int) *snapshot.Snapshot {
	return snapshot.New(newTable(2, timeout), left).WithEvacuated(map[string]int{"shop": out})
}

func TestAServiceThatStandsInEvacuatedHallsAloneIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newStandin(t, "s1", "shop", "a", ok)
	f := newFixture(t, s)
	f.view = f.evacuated(nil, 1)
	f.start()
	began := time.Now()
	got := f.order()
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(began)).To(BeNumerically("<", objective/5), "no search that can't find anything")
	g.Expect(got.header.Get("Sprucecrank-Verdict")).To(Equal("not-run"))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(BeNumerically(">", 0))
	g.Expect(s.runs.Load()).To(BeZero())
}

// A request that waits at full targets of a hall that is evacuated meanwhile goes to
// another, and the sends that were not made are not made there either.
func TestWhatWaitsIsPlacedElsewhereOnceAHallIsEvacuated(t *testing.T) {
	g := NewWithT(t)
	leaves, stays := newStandin(t, "leaves", "shop", "a", ok), newStandin(t, "stays", "shop", "b", ok)
	leaves.setLoad("3,9,3,100")
	stays.setLoad("3,9,3,100")
	f := newFixture(t, leaves, stays)
	view := f.replaceable()
	f.start()
	waits := make(chan result)
	go func() { waits <- f.read() }()
	time.Sleep(objective / 40) // some rounds
	view.Store(f.evacuated(map[string][]catalog.Target{"shop": {stays.Target}}, 1))
	time.Sleep(objective / 40) // a round that began before it
	leaves.setLoad("0,0,3,100")
	time.Sleep(objective / 40)
	stays.setLoad("0,0,3,100")
	g.Expect((<-waits).status).To(Equal(http.StatusOK))
	g.Expect(leaves.runs.Load()).To(BeZero())
	g.Expect(stays.runs.Load()).To(Equal(int32(1)))
}

func TestASecondSendLeavesAnEvacuatedHallOut(t *testing.T) {
	g := NewWithT(t)
	left := newStandin(t, "left", "shop", "b", ok)
	var f *fixture
	var view atomic.Pointer[snapshot.Snapshot]
	sheds := newStandin(t, "sheds", "shop", "a", func(w http.ResponseWriter, r *http.Request) {
		view.Store(f.evacuated(nil, 2))
		refuse(w, r)
	})
	f = newFixture(t, sheds, left)
	view.Store(f.view)
	f.options.Snapshot = view.Load
	left.setLoad("3,9,3,100")
	f.start()
	g.Expect(f.order().status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(sheds.runs.Load()).To(Equal(int32(1)))
	g.Expect(left.runs.Load()).To(BeZero())
}

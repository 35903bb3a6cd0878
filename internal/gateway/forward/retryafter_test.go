package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// comesBack makes an order as a client does that has some repeats and comes back when it
// is told to. It returns how often it was refused and how long it waited in all.
func (f *fixture) comesBack(g *WithT, repeats int) (served bool, waited time.Duration) {
	for range 1 + repeats {
		got := f.order()
		if got.status == http.StatusOK {
			return true, waited
		}
		g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		waited += time.Duration(after * float64(time.Second))
	}
	return false, waited
}

// sheds is a target that promises not to have run some of what it gets.
func sheds(does func(n int32) bool) http.HandlerFunc {
	var n atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if does(n.Add(1)) {
			refuse(w, r)
			return
		}
		ok(w, r)
	}
}

// Targets that have free slots and shed half of what they get: whoever is refused comes
// back within its objective. Told to wait for a part of its time, 0.4 to 1.3 s of 4, it was
// late.
func TestWhoeverIsShedComesBackInTimeWhereThereIsRoom(t *testing.T) {
	g := NewWithT(t)
	half := sheds(func(n int32) bool { return n%4 < 2 })
	f := newFixture(t, newStandin(t, "s1", "shop", "a", half), newStandin(t, "s2", "shop", "a", half)).start()
	for range 20 {
		served, waited := f.comesBack(g, 2)
		g.Expect(served).To(BeTrue())
		g.Expect(waited).To(BeNumerically("<", objective/10))
	}
}

// Where all that is sent is shed a client must not burn its few repeats at once: it comes
// back over the time that it has, and is served by a service that opens meanwhile.
func TestAtADoorThatIsShutNobodyBurnsItsRepeats(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	for i := range 8 {
		s := newStandin(t, fmt.Sprint("s", i), "shop", "a", refuse)
		f.view.ByService()["shop"] = append(f.view.ByService()["shop"], s.Target)
	}
	f.start()
	for range 10 {
		f.order() // it is found out that the door is shut
	}
	served, waited := f.comesBack(g, 2)
	g.Expect(served).To(BeFalse())
	g.Expect(waited).To(BeNumerically(">", time.Second))
}

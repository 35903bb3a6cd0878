package store_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
)

func newClient(t *testing.T) (*platformsim.Server, *store.Client) {
	sim := platformsim.New()
	server := httptest.NewServer(sim.Handler())
	t.Cleanup(server.Close)
	return sim, store.New(store.Options{Address: server.Listener.Addr().String()})
}

func never(store.Object) bool { return false }

func TestWhatThePlatformRejectsIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	sim, c := newClient(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	tooLarge := []byte(`"` + strings.Repeat("x", store.MaxValue) + `"`)
	_, err := c.Objects().PutSettled(ctx, "a", tooLarge, 0, never)
	g.Expect(err).To(MatchError(store.ErrRejected))
	g.Expect(sim.Calls().Writes).To(Equal(uint64(1)))
}

func TestALostAnswerIsSettledByTheSameUpdate(t *testing.T) {
	g := NewWithT(t)
	sim, c := newClient(t)
	sim.SetFaults(platformsim.Faults{LoseWrites: 1})
	time.AfterFunc(100*time.Millisecond, func() { sim.SetFaults(platformsim.Faults{}) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	version, err := c.Objects().PutSettled(ctx, "a", []byte(`1`), 0, func(o store.Object) bool { return string(o.Value) == "1" })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(version).To(Equal(uint64(1)))
	g.Expect(sim.Objects("a")).To(HaveLen(1))
}

func TestAConflictTellsWhatStands(t *testing.T) {
	g := NewWithT(t)
	_, c := newClient(t)
	_, err := c.Put(t.Context(), "a", []byte(`1`), 0)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Objects().PutSettled(t.Context(), "a", []byte(`2`), 0, never)
	var conflict *store.ConflictError
	g.Expect(err).To(BeAssignableToTypeOf(conflict))
	g.Expect(err).To(MatchError(store.ErrConflict))
}

func TestAWatchGivesWhatCameAfterARevision(t *testing.T) {
	g := NewWithT(t)
	_, c := newClient(t)
	for _, key := range []string{"a/1", "b/1", "a/2"} {
		_, err := c.Put(t.Context(), key, []byte(`1`), 0)
		g.Expect(err).NotTo(HaveOccurred())
	}
	events, err := c.Watch(t.Context(), "a/", 1, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(events.Objects).To(HaveLen(1))
	g.Expect(events.Objects[0].Key).To(Equal("a/2"))
	g.Expect(events.Revision).To(Equal(uint64(3)))
}

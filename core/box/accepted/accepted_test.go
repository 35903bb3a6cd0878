package accepted_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/box/accepted"
)

// TestVersionsNeverDecreaseAndDigestsAgreeAfterASync offers entries repeatedly and in
// random order to two sets: no version decreases, and equal versions give equal digests.
func TestVersionsNeverDecreaseAndDigestsAgreeAfterASync(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sets := []*accepted.Set{accepted.New(), accepted.New()}
		for range rapid.IntRange(1, 60).Draw(rt, "offers") {
			e := accepted.Entry{
				Key:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"),
				Version: rapid.Uint64Range(1, 9).Draw(rt, "version"),
			}
			s := sets[rapid.IntRange(0, 1).Draw(rt, "set")]
			before, _ := s.Get(e.Key)
			replaced := s.Offer(time.Now(), e)
			after, _ := s.Get(e.Key)
			if after.Version < before.Version || replaced != (e.Version > before.Version) {
				rt.Fatalf("%s changed from %d to %d after an offer of %d", e.Key, before.Version, after.Version, e.Version)
			}
		}
		for _, e := range sets[0].NewerThan(sets[1].Versions()) {
			sets[1].Offer(time.Now(), e)
		}
		for _, e := range sets[1].NewerThan(sets[0].Versions()) {
			sets[0].Offer(time.Now(), e)
		}
		if sets[0].Digest() != sets[1].Digest() {
			rt.Fatal("the digests differ after a sync in both directions")
		}
	})
}

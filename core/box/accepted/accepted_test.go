package accepted_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sprucecrank/sprucecrank/core/box/accepted"
)

// TestVersionsOnlyGrow offers entries in any order, again and again, to two
// books: no version falls, and equal digests mean equal versions.
func TestVersionsOnlyGrow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		books := []*accepted.Book{accepted.New(), accepted.New()}
		for range rapid.IntRange(1, 60).Draw(rt, "offers") {
			e := accepted.Entry{
				Key:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"),
				Version: rapid.Uint64Range(1, 9).Draw(rt, "version"),
			}
			b := books[rapid.IntRange(0, 1).Draw(rt, "book")]
			before, _ := b.Get(e.Key)
			taken := b.Offer(time.Now(), e)
			after, _ := b.Get(e.Key)
			if after.Version < before.Version || taken != (e.Version > before.Version) {
				rt.Fatalf("%s went from %d to %d, offered %d", e.Key, before.Version, after.Version, e.Version)
			}
		}
		for _, e := range books[0].NewerThan(books[1].Versions()) {
			books[1].Offer(time.Now(), e)
		}
		for _, e := range books[1].NewerThan(books[0].Versions()) {
			books[0].Offer(time.Now(), e)
		}
		if books[0].Digest() != books[1].Digest() {
			rt.Fatal("after a swap both ways the digests differ")
		}
	})
}

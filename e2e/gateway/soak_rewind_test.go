package gateway_test

import (
	"math/rand/v2"
	"time"

	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

// rewriteWithin is how soon targets and operators have written again what the store lost.
const rewriteWithin = 2 * time.Second

// rewind has the store be away for a moment and come back from a copy that is some time old.
// What its operator and the targets wrote since they write again.
func (w *world) rewind(random *rand.Rand, lasts time.Duration) {
	older := w.store.Copy()
	time.Sleep(lasts)
	w.store.Fail(503)
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	w.store.Return(older)
	w.store.Recover()
	time.Sleep(time.Duration(random.Int64N(int64(rewriteWithin))))
	w.configure(w.version.Load())
	for _, hall := range []string{"hall-0", "hall-1"} {
		w.store.Remove(storetest.Evacuations, hall) // one that goes on is ordered again by its event
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.targets {
		b.rewrite()
	}
}

// rewrite has the target write its entry again, if it lives and stays; one that leaves or has
// ended lets its entry lapse.
func (b *soakTarget) rewrite() {
	if b.leaving.Load() {
		b.world.store.Remove(storetest.Servers, b.id)
		return
	}
	b.register("ready")
}

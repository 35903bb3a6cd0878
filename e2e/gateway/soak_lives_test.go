package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

// startAgain ends a target, and starts it again under its id a moment later, at another
// address. Now and then it had said that it leaves before.
func (w *world) startAgain(random *rand.Rand, lasts time.Duration) {
	b := w.pickTarget(random)
	if b == nil {
		return
	}
	if random.IntN(2) == 0 {
		b.register("draining")
		time.Sleep(lasts / 4)
	}
	b.leaving.Store(true)
	b.proxy.Close()
	_ = b.server.Close()
	time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startTarget(b.id, b.service, b.hall, "")
}

// overwrite has another writer spoil a target's entry for a while, and put one of its own
// beside it at an address where nobody is.
func (w *world) overwrite(random *rand.Rand, lasts time.Duration) {
	b := w.pickTarget(random)
	if b == nil {
		return
	}
	stray := fmt.Sprint("stray-", random.Uint64())
	w.store.Put(storetest.Servers, stray, spoiled(random, storetest.ServerEntry(b.service, strayAddress, "ready")))
	w.store.Put(storetest.Servers, b.id, spoiled(random, b.entry("ready")))
	time.Sleep(lasts)
	w.store.Remove(storetest.Servers, stray)
	if !b.leaving.Load() {
		b.register("ready")
	}
}

// strayAddress is where nobody listens (RFC 5737).
const strayAddress = "192.0.2.1:80"

// spoiled is an entry that names no target.
func spoiled(random *rand.Rand, entry storetest.Object) any {
	damages := []any{nil, "text", 1.5, []int{1}, storetest.Object{}, true}
	damage := damages[random.IntN(len(damages))]
	switch random.IntN(5) {
	case 0:
		return damage
	case 1:
		entry["address"] = damage
	case 2:
		entry["status"] = damage
	case 3:
		entry["status"].(storetest.Object)["state"] = "resting"
	default:
		delete(entry["information"].(storetest.Object), []string{"service", "zone", "version", "slots"}[random.IntN(4)])
	}
	return entry
}

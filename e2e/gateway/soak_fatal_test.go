package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

const (
	// soakFatalMost is how many times a request may reach targets later than soakContact
	// after three have ended under it.
	soakFatalMost = 3
	soakContact   = 3 * time.Second
	// soakDownFor is how long after its end a target is there again, and soakLapse how long
	// its entry stays.
	soakDownFor = time.Second
	soakLapse   = 2 * time.Second
	// fatalQuery marks requests that end their targets; its value tells them apart.
	fatalQuery = "fatal"
)

// fatals are the requests of a soak that end the targets which run them.
type fatals struct {
	mu sync.Mutex
	// runs are when each ran, since the soak began, and whether nothing was amiss then.
	runs map[string][]fatalRun
	sent atomic.Int64
}

type fatalRun struct {
	at   time.Duration
	calm bool
}

// began notes that a target begins to run one.
func (f *fatals) began(name string, run fatalRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[name] = append(f.runs[name], run)
}

// count is how often one has run.
func (f *fatals) count(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs[name])
}

// names lists those under which three targets or more have ended.
func (f *fatals) names() (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, runs := range f.runs {
		if len(runs) >= soakFatalMost {
			names = append(names, name)
		}
	}
	return names
}

// endBy ends the target's process since it runs a fatal request: nobody listens at its
// address any more. Another one comes soon, and its entry lapses.
func (b *soakTarget) endBy(name string) {
	b.world.fatals.began(name, fatalRun{at: time.Since(b.world.began), calm: b.world.calm()})
	if !b.leaving.CompareAndSwap(false, true) {
		return
	}
	b.proxy.Close()
	_ = b.server.Close()
	b.world.after.Go(func() {
		time.Sleep(soakDownFor)
		b.world.addTarget(b.service, "")
		time.Sleep(soakLapse - soakDownFor)
		b.world.store.Remove(storetest.Servers, b.id)
	})
}

// sendFatal has a caller send a request that ends targets for a while, at any gateway.
func (w *world) sendFatal(random *rand.Rand, lasts time.Duration) {
	name := fmt.Sprint(random.Uint64())
	for began := time.Now(); time.Since(began) < lasts; {
		w.fatalAttempt(w.gateways[random.IntN(len(w.gateways))], name)
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// fatalAttempt is one attempt; refused says that the gateway refuses it for longer than it
// would for want of targets.
func (w *world) fatalAttempt(g *soakGateway, name string) (refused bool) {
	id := fmt.Sprint("fatal-", w.fatals.sent.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), clientTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.clients.Address()+"/read/x?"+fatalQuery+"="+name, nil)
	if err != nil {
		w.t.Error(err)
		return false
	}
	r.Host = "shop.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(clientTime.Milliseconds()))
	r.Header.Set("Authorization", "caller of "+name)
	w.records.ended(id, outcome{method: r.Method, uri: r.URL.RequestURI(), began: time.Since(w.began)})
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false // the way there was cut
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		w.t.Errorf("%s, which ends its targets, was answered", id)
	}
	pause, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return err == nil && response.StatusCode == http.StatusServiceUnavailable && pause > clientTime.Seconds()
}

// settleFatal looks, once all faults have been over for soakContact, whether all gateways
// together send a fatal request to targets a few times at most, and end by refusing it,
// whatever was amiss before.
func (w *world) settleFatal(g *WithT) {
	g.Eventually(func() time.Duration { return time.Since(w.began) - w.healed }, eventual).Should(BeNumerically(">", soakContact))
	for _, name := range w.fatals.names() {
		before := w.fatals.count(name)
		for _, gateway := range w.gateways {
			for range soakFatalMost {
				w.fatalAttempt(gateway, name)
			}
		}
		g.Expect(w.fatals.count(name)-before).To(BeNumerically("<=", soakFatalMost), "BUDGET: request %s, under which three targets had ended", name)
		for _, gateway := range w.gateways {
			g.Eventually(func() bool { return w.fatalAttempt(gateway, name) }, eventual).Should(BeTrue(), "%s does not refuse request %s", gateway.id, name)
		}
	}
}

// checkFatal looks at how often each fatal request reached targets later than soakContact
// after the third had ended, while nothing was amiss.
func (w *world) checkFatal() {
	w.fatals.mu.Lock()
	defer w.fatals.mu.Unlock()
	for name, runs := range w.fatals.runs {
		late := 0
		for i, run := range runs {
			if i >= soakFatalMost && run.calm && run.at > runs[soakFatalMost-1].at+soakContact {
				late++
			}
		}
		if late > soakFatalMost {
			w.t.Errorf("BUDGET: request %s, under which three targets had ended, reached %d more: %v", name, late, runs)
		}
		w.t.Logf("request %s ended %d targets, %d of them late", name, len(runs), late)
	}
}

// fatalName is the value by which a fatal request is told; empty for others.
func fatalName(r *http.Request) string {
	if !strings.Contains(r.URL.RawQuery, fatalQuery+"=") {
		return ""
	}
	return r.URL.Query().Get(fatalQuery)
}

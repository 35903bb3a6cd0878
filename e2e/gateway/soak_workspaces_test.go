package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

const (
	// keyedClients is how many clients show keys, beside the others.
	keyedClients = 3
	// keyedPath is that of the route that needs a key.
	keyedPath = "/keyed/"
	// Workspaces of the soak: one with a fixed key, one with a limit that its clients pass, and
	// one whose key comes and goes.
	openWorkspace, limitedWorkspace, guestWorkspace = "mill", "harbour", "guest"
	// limitedRate and limitedBurst are the limit; in any window of limitedWindow a share and a
	// number of requests more may run, by the users' rule.
	limitedRate, limitedBurst = 8.0, 8.0
	limitedWindow             = 5 * time.Second
	limitedMost               = (limitedRate*5+limitedBurst)*1.1 + 20
	// inForceWithin is how long after a key was taken away it may still be in force, with some
	// time for the clocks of a busy machine.
	inForceWithin = 3 * time.Second
)

// keys are those of the guests, one after the other, and what became of requests that showed
// any key.
type keys struct {
	guest atomic.Int64 // the number of the key in force; those before were taken away
	mu    sync.Mutex
	// taken is when each guest's key was taken away.
	taken map[int64]time.Time
	// shown holds the workspace of the key that each request showed.
	shown map[string]string
	// limited are the times at which requests of the workspace with a limit ran, once each.
	limited map[string]time.Time
}

func newKeys() *keys {
	return &keys{taken: map[int64]time.Time{}, shown: map[string]string{}, limited: map[string]time.Time{}}
}

func guestKey(n int64) string { return fmt.Sprint("guest-key-", n) }

// workspaces are those of a configuration.
func (k *keys) workspaces() []storetest.Object {
	return []storetest.Object{
		{"name": openWorkspace, "apiKeys": []string{"mill-key-1", "mill-key-2"}, "priority": 2},
		{"name": limitedWorkspace, "apiKeys": []string{"harbour-key"}, "ratePerS": limitedRate, "burstSize": limitedBurst},
		{"name": guestWorkspace, "apiKeys": []string{guestKey(k.guest.Load())}},
	}
}

// revoke takes the guests' key away and gives them another.
func (w *world) revoke(*rand.Rand, time.Duration) {
	before := w.keys.guest.Add(1) - 1
	w.configure(w.version.Load() + 1)
	w.keys.mu.Lock()
	defer w.keys.mu.Unlock()
	w.keys.taken[before] = time.Now()
}

// takenFor is how long ago a guest's key was taken away; 0 where it was not.
func (k *keys) takenFor(n int64) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, ok := k.taken[n]; ok {
		return time.Since(at)
	}
	return 0
}

// ran notes a request that a target began to run, and checks whose it is said to be.
func (k *keys) ran(w *world, id string, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	want, keyed := k.shown[id]
	got := r.Header["Tenant-Name"]
	if keyed && !slices.Equal(got, []string{want}) || !keyed && len(got) > 0 {
		w.t.Errorf("UNASKED %s: a request of workspace %q ran as one of %q", id, want, got)
	}
	if shown := r.Header["Authorization"]; len(shown) > 0 {
		w.t.Errorf("KEY %s: the target saw %q", id, shown)
	}
	if _, counted := k.limited[id]; want == limitedWorkspace && !counted {
		k.limited[id] = time.Now()
	}
}

// keyed is a client that shows keys until ctx ends.
func (w *world) keyed(ctx context.Context, seed uint64, n int) {
	random := rand.New(rand.NewPCG(seed, uint64(n)+2000))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		w.keyedRequest(client, random, fmt.Sprintf("keyed-%d-%d-%d", seed, n, i))
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// keyedRequest makes one request with a key: of any workspace, one that was taken away, or
// one that nobody ever had.
func (w *world) keyedRequest(client *http.Client, random *rand.Rand, id string) {
	guest := w.keys.guest.Load()
	key, workspace := "mill-key-1", openWorkspace
	switch random.IntN(6) {
	case 0, 1, 2:
		key, workspace = "harbour-key", limitedWorkspace
	case 3:
		guest = max(guest-int64(random.IntN(2)), 0)
		key, workspace = guestKey(guest), guestWorkspace
	case 4:
		key, workspace = fmt.Sprint("made-up-", random.IntN(1000)), ""
	}
	w.keys.mu.Lock()
	w.keys.shown[id] = workspace
	w.keys.mu.Unlock()
	calm, taken := w.calm(), w.keys.takenFor(guest)
	status, header := w.show(client, w.gateways[random.IntN(len(w.gateways))], id, key)
	switch {
	case status == http.StatusOK && workspace == "":
		w.t.Errorf("ROUTE %s: a request ran under a key that nobody ever had", id)
	case status == http.StatusOK && workspace == guestWorkspace && taken > inForceWithin && calm:
		w.t.Errorf("CONFIG %s: a request ran under a key that was taken away %v before", id, taken)
	case status == http.StatusUnauthorized && (workspace == openWorkspace || workspace == limitedWorkspace):
		w.t.Errorf("DENIED %s: 401 for a key of every configuration", id)
	case status == http.StatusTooManyRequests && workspace != limitedWorkspace:
		w.t.Errorf("QUOTA %s: 429 for workspace %q, which has no limit", id, workspace)
	case status == http.StatusTooManyRequests && header.Get("Retry-After") == "":
		w.t.Errorf("%s was refused by its quota without a word on when to come back", id)
	}
}

// show makes a request with a key at a gateway; the status is 0 where there is no whole answer.
func (w *world) show(client *http.Client, g *soakGateway, id, key string) (status int, header http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.clients.Address()+keyedPath+"x?q="+id, nil)
	if err != nil {
		w.t.Error(err)
		return 0, nil
	}
	r.Host = "shop.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Tenant-Name", "not-mine")
	o := outcome{method: r.Method, uri: r.URL.RequestURI(), began: time.Since(w.began)}
	w.records.ended(id, o)
	response, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, nil
	}
	o.status, o.ended = response.StatusCode, time.Since(w.began)
	w.records.ended(id, o)
	return response.StatusCode, response.Header
}

// checkQuota holds what ran of the workspace with a limit against it.
func (w *world) checkQuota() {
	var times []time.Time
	for _, at := range w.keys.limited {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= limitedWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	if float64(most) > limitedMost {
		w.t.Errorf("QUOTA: %d requests of a workspace ran within %v, %.0f are allowed", most, limitedWindow, limitedMost)
	}
	w.t.Logf("%d requests of the workspace with a limit ran, %d of them within %v", len(times), most, limitedWindow)
}

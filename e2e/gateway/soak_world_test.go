package gateway_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/standin/faultproxy"
	"github.com/sprucecrank/sprucecrank/platform/storetest"
)

const (
	soakSlots    = 3
	soakAttempts = 2
	soakRatio    = 0.2
	// soakColdRate is how many requests a second a cold target bears, and soakColdMost
	// how many may be sent to it and reach it within any second, by the users' rule.
	soakColdRate = 2.5
	soakColdMost = soakColdRate*1.5 + 8
	// clientTime is how long a client of the soak waits.
	clientTime = 4 * time.Second
)

// behaviour is what a target of the soak does with requests.
type behaviour int32

const (
	behaves behaviour = iota
	isSlow
	breaksOff
	losesAnswers
	refusesAll
	failsAll
	behaviours
)

// soakTarget is one start of a target: it tells its load and keeps a record of
// each request that reaches it.
type soakTarget struct {
	id, service, hall string
	records           *records
	// coldUntil is when it is warm again, in ns since the soak began.
	coldUntil atomic.Int64
	world     *world
	running   atomic.Int32
	behaviour atomic.Int32
	leaving   atomic.Bool
	// limit is what it names as its limit; nil for none.
	limit atomic.Pointer[namedLimit]
	// backOff is for how long it asks gateways for back-off, in ns, as it turns them away; 0 for
	// not. saysLeaving says that it leaves, in all its answers.
	backOff     atomic.Int64
	saysLeaving atomic.Bool
	// invalid says that its answers are none.
	invalid  atomic.Bool
	arrivals atomic.Int64
	server   *http.Server
	address  string
	proxy    *faultproxy.Proxy
	born     int64 // when this life of it began, in ms
}

// entry is what the target says of itself in the store.
func (b *soakTarget) entry(state string) storetest.Object {
	entry := storetest.ServerEntryIn(b.hall, b.service, b.proxy.Address(), state)
	entry["born"] = b.born
	return entry
}

// register writes the target's entry.
func (b *soakTarget) register(state string) {
	b.world.store.Put(storetest.Servers, b.id, b.entry(state))
}

func (b *soakTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	does := behaviour(b.behaviour.Load())
	slowness := 100
	if does == isSlow {
		slowness = 500
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,%d", b.running.Load(), soakSlots, slowness))
	limit := b.limit.Load()
	if limit != nil {
		w.Header().Set("Server-Limit", limit.text)
	}
	saysLeaving := b.saysLeaving.Load()
	if saysLeaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		if left := b.coldFor(); left > 0 {
			w.Header().Set("Warmup-Remaining-Ms", fmt.Sprint(left.Milliseconds()+1))
		}
		if b.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expected-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.arrivals.Add(1)
	limit.arrived()
	if b.coldFor() > 0 {
		b.arrivedCold(r)
	}
	invalid := b.invalid.Load()
	if invalid && b.resetUpload(w, r, id) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // cut on its way: not run
	}
	full := b.running.Add(1) > soakSlots
	defer b.running.Add(-1)
	came := arrival{
		target: b.id, service: b.service, method: r.Method, uri: r.RequestURI, body: string(body),
		sender: b.proxy.OriginOf(r.RemoteAddr), at: time.Since(b.world.began), saidLeaving: saysLeaving,
	}
	if backOff := time.Duration(b.backOff.Load()); full || does == refusesAll || backOff > 0 {
		came.backOff = backOff
		b.records.arrived(id, came)
		b.turnAway(w, backOff)
		return
	}
	came.ran = true
	b.records.arrived(id, came)
	b.world.keys.ran(b.world, id, r)
	if name := fatalName(r); name != "" {
		b.endBy(name)
		panic(http.ErrAbortHandler) // no answer, also where another request has just ended it
	}
	b.work(r.Context(), does)
	if invalid {
		b.answerInvalidly(w, id)
		return
	}
	switch does {
	case breaksOff:
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "half of an answer")
		panic(http.ErrAbortHandler)
	case losesAnswers:
		panic(http.ErrAbortHandler)
	case failsAll:
		w.Header().Set("Server-Signature", b.id)
		w.WriteHeader(http.StatusInternalServerError)
	default:
		w.Header().Set("Server-Signature", b.id)
		_, _ = io.WriteString(w, "answer to "+id)
	}
}

// arrivedCold records a request that came while the target is cold.
func (b *soakTarget) arrivedCold(r *http.Request) {
	at := time.Since(b.world.began)
	a := coldArrival{sent: at, at: at}
	if sent := b.proxy.SentAt(r.RemoteAddr); !sent.IsZero() {
		a.sent = sent.Sub(b.world.began)
	}
	b.records.mu.Lock()
	defer b.records.mu.Unlock()
	b.records.cold[b.id] = append(b.records.cold[b.id], a)
}

// coldFor is for how much longer the target is cold.
func (b *soakTarget) coldFor() time.Duration {
	return time.Duration(b.coldUntil.Load()) - time.Since(b.world.began)
}

func (b *soakTarget) work(ctx context.Context, does behaviour) {
	work := 10 * time.Millisecond
	if does == isSlow {
		work *= 5
	}
	if b.coldFor() > 0 {
		work *= 2
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
	}
}

// arrival is a request as a target got it.
type arrival struct {
	target, service, method, uri, body string
	ran                                bool
	// sender is the gateway that sent it, which for a relayed request is not the one that took it.
	sender faultproxy.Origin
	// at is when it came, since the soak began, backOff what the target asked for in its answer, and
	// saidLeaving that it said there that it leaves.
	at, backOff time.Duration
	saidLeaving bool
}

// outcome is how a request ended for its client.
type outcome struct {
	method, uri, body string
	status            int
	cut               bool
	// began and ended are times since the soak began; ended is 0 if no answer came.
	began, ended time.Duration
}

// records holds what clients and targets saw.
type records struct {
	mu       sync.Mutex
	arrivals map[string][]arrival
	outcomes map[string]outcome
	// cold are the requests that came to targets that were cold, by target.
	cold map[string][]coldArrival
}

// coldArrival is when a request was sent to a cold target and when it reached it, since the soak
// began. What a bad network holds back for long reaches its target long after it was sent.
type coldArrival struct{ sent, at time.Duration }

// mostCold is the most requests that were sent to a cold target and reached it within one second,
// and to which.
func (r *records) mostCold() (most int, target string) {
	for id, arrivals := range r.cold {
		for _, last := range arrivals {
			in := 0
			for _, other := range arrivals {
				if other.at <= last.at && other.sent > last.at-time.Second {
					in++
				}
			}
			if in > most {
				most, target = in, id
			}
		}
	}
	return most, target
}

func (r *records) arrived(id string, a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id] = append(r.arrivals[id], a)
}

func (r *records) ended(id string, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[id] = o
}

// soakGateway is a gateway process behind a proxy for each kind of caller.
type soakGateway struct {
	*process
	index   int
	clients *faultproxy.Proxy
	peers   *faultproxy.Proxy
	store   *faultproxy.Proxy
	mu      sync.Mutex // held while the process is exchanged
	life    atomic.Int32
	pid     atomic.Int64
	// down says that the process is stopped or about to be.
	down atomic.Bool
}

// world is a store, targets and gateways, and proxies between all of them.
type world struct {
	t        *testing.T
	random   *rand.Rand
	store    *storetest.Store
	records  *records
	gateways []*soakGateway
	mu       sync.Mutex
	targets  []*soakTarget
	limits   []*namedLimit // all that targets named
	started  int           // targets so far
	origins  *origins
	version  atomic.Int64
	lives    atomic.Int32
	trouble  atomic.Int32 // faults under way other than planned stops
	clean    atomic.Int64 // when the latest of them ended, in ns since began
	began    time.Time
	healed   time.Duration // when all faults were over, since began
	fatals   fatals
	keys     *keys
	// peaks are the most memory that gateways used.
	peaks peaks
	// frozen and harmed are when gateways were frozen and ways to targets harmed.
	frozen, harmed spans
	after          sync.WaitGroup // what goes on beyond the event that began it
}

const (
	targetsAService = 4
	soakService     = "shop"
	otherService    = "farm"
)

func newWorld(t *testing.T, seed uint64, gateways int) *world {
	t.Helper()
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(),
		records: &records{arrivals: map[string][]arrival{}, outcomes: map[string]outcome{}, cold: map[string][]coldArrival{}},
		fatals:  fatals{runs: map[string][]fatalRun{}},
		keys:    newKeys(),
	}
	w.origins = &origins{processes: w.processes}
	var address string
	w.store, address = storetest.New(t)
	w.configure(1)
	for range targetsAService {
		w.addTarget(soakService, "")
		w.addTarget(otherService, "")
	}
	var seeds []string
	for i := range gateways {
		g := &soakGateway{process: newProcess(t, fmt.Sprint("gateway-", i), address, &[]string{}), index: i}
		g.clients, g.peers, g.store = w.proxy(g.addresses["listen"]), w.proxy(g.addresses["peer_listen"]), w.proxy(address)
		g.extra = storetest.Object{"peer_advertise": g.peers.Address(), "hall": fmt.Sprint("hall-", i%2), "watch_trust_s": 3, "restore_within_s": 2.3, "evacuate_within_s": 5, "quota_tolerance": 20, "memory_mb": soakMemory}
		seeds = append(seeds, g.peers.Address())
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		g.write(g.store.Address(), seeds[:min(len(seeds), 3)])
		w.start(g)
	}
	return w
}

func (w *world) proxy(target string) *faultproxy.Proxy {
	w.t.Helper()
	return w.proxyOf(target, func(net.Addr, net.Addr) faultproxy.Origin { return faultproxy.Origin{} })
}

// processes returns the gateways by their process ids.
func (w *world) processes() map[int]faultproxy.Origin {
	processes := map[int]faultproxy.Origin{}
	for _, g := range w.gateways {
		processes[int(g.pid.Load())] = faultproxy.Origin{Name: g.id, Life: g.life.Load()}
	}
	return processes
}

func (w *world) proxyOf(target string, origin func(client, own net.Addr) faultproxy.Origin) *faultproxy.Proxy {
	w.t.Helper()
	p, err := faultproxy.NewWithOrigins(target, origin)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(p.Close)
	return p
}

func (w *world) start(g *soakGateway) {
	g.life.Add(1)
	w.lives.Add(1)
	g.start()
	g.pid.Store(int64(g.command.Process.Pid))
	g.down.Store(false)
}

// addTarget starts a target, at the address of one that has ended if one is given.
func (w *world) addTarget(service, address string) *soakTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	return w.startTarget(fmt.Sprint("i-", w.started), service, fmt.Sprint("hall-", w.started/2%2), address)
}

// startTarget begins a life of a target; the lock is held. It returns nil where somebody
// else has the address now.
func (w *world) startTarget(id, service, hall, address string) *soakTarget {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil
	}
	b := &soakTarget{
		id: id, service: service, hall: hall, records: w.records, address: listener.Addr().String(), world: w,
		born: time.Now().UnixMilli(),
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	w.t.Cleanup(func() { _ = b.server.Close() })
	b.proxy = w.proxyOf(b.address, w.origins.of)
	w.targets = append(w.targets, b)
	b.register("ready")
	return b
}

// pickTarget draws one that is not leaving, unless few of its service are left.
func (w *world) pickTarget(random *rand.Rand) *soakTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	var staying []*soakTarget
	for _, b := range w.targets {
		if !b.leaving.Load() {
			staying = append(staying, b)
		}
	}
	b := staying[random.IntN(len(staying))]
	left := 0
	for _, other := range staying {
		if other.service == b.service {
			left++
		}
	}
	if left < targetsAService {
		return nil
	}
	return b
}

// oldestRoute is how many versions a route stays.
const oldestRoute = 3

// configure puts a configuration in force whose routes tell its version.
func (w *world) configure(version int64) {
	rules := []storetest.Object{w.rule("/read/", "safe", soakService), w.rule("/book/", "unsafe", soakService), w.rule("/far/", "safe", otherService), w.rule(keyedPath, "safe", soakService)}
	rules[len(rules)-1]["public"] = false
	for v := max(version-oldestRoute+1, 1); v <= version; v++ {
		rules = append(rules, w.rule(versionPath(v), "safe", soakService))
	}
	w.store.Put(storetest.Config, "main", storetest.Object{
		"version": version, "tenants": w.keys.workspaces(), "limits": storetest.Object{"maxBodyBytes": soakBody},
		"listeners": []storetest.Object{{"hostname": "shop.example", "rules": rules}},
		"clusters": []storetest.Object{
			{"name": soakService, "healthCheckPath": "/health", "maxConnections": 200, "warmupPerS": soakColdRate},
			{"name": otherService, "healthCheckPath": "/health", "maxConnections": 200, "warmupPerS": soakColdRate},
		},
	})
	w.version.Store(version)
}

func (w *world) rule(prefix, kind, service string) storetest.Object {
	return storetest.Object{
		"name": prefix, "kind": kind, "targetLatencyS": 0.5, "priority": 1, "public": true,
		"matchCriteria": storetest.Object{"pathPrefix": prefix},
		"action":        storetest.Object{"service": service, "timeoutS": 3, "maxAttempts": soakAttempts},
	}
}

func versionPath(version int64) string { return fmt.Sprintf("/v%d/", version) }

// heal ends all faults that are still under way.
func (w *world) heal() {
	w.store.Recover()
	w.healed = time.Since(w.began)
	for _, g := range w.gateways {
		for _, p := range []*faultproxy.Proxy{g.clients, g.peers, g.store} {
			p.Set(faultproxy.Fault{})
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.targets {
		b.behaviour.Store(int32(behaves))
		b.proxy.Set(faultproxy.Fault{})
	}
}

// arrivalsAt counts what reached the targets that leave.
func (w *world) arrivalsAtLeaving() (n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.targets {
		if b.leaving.Load() {
			n += b.arrivals.Load()
		}
	}
	return n
}

// arrivalsIn counts what reached the targets of a hall.
func (w *world) arrivalsIn(hall string) (n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.targets {
		if b.hall == hall {
			n += b.arrivals.Load()
		}
	}
	return n
}

// ids lists the requests that were made, in order.
func (r *records) ids() []string { return slices.Sorted(maps.Keys(r.outcomes)) }

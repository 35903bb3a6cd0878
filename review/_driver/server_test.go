//go:build review

package driver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	serverSlots = 3
	serverQueue = 6
)

// run is what servers saw of one client attempt.
type run struct {
	arrivals int
	runs     int
	server   string
	tenant   string
	began    time.Time
}

// runs are those of all attempts.
type runs struct {
	mu  sync.Mutex
	all map[string]*run
}

func newRuns() *runs { return &runs{all: map[string]*run{}} }

func (r *runs) note(id string, change func(*run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := r.all[id]
	if one == nil {
		one = &run{}
		r.all[id] = one
	}
	change(one)
}

func (r *runs) get(id string) run {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.all[id]; one != nil {
		return *one
	}
	return run{}
}

// server stands in for a server of a service. It is sound: it works on some requests at a time,
// queues a few more, tells its load, answers in full, and never ends.
type server struct {
	id      string
	address string
	work    time.Duration
	record  *record
	runs    *runs
	slots   chan struct{}
	// spoils says of each answer whether the server hands out wrong bytes in it; nil for never.
	spoils func() bool

	mu      sync.Mutex
	running int
	waiting int
}

// newServer starts a server and writes its entry into the store.
func newServer(s *store, rec *record, rs *runs, id, service, zone string, work time.Duration) *server {
	listener := listen()
	b := &server{id: id, address: listener.Addr().String(), work: work, record: rec, runs: rs, slots: make(chan struct{}, serverSlots)}
	web := &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = web.Serve(listener) }()
	s.put("servers", id, object{
		"address":     b.address,
		"information": object{"service": service, "version": "v1", "zone": zone, "slots": serverSlots},
		"status":      object{"state": "ready", "sequence": 1, "warmupRemainingS": 0},
	})
	return b
}

func (b *server) count(running, waiting int) (full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if running == 0 && waiting > 0 && b.waiting >= serverQueue {
		return true
	}
	b.running += running
	b.waiting += waiting
	return false
}

func (b *server) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.waiting
}

func (b *server) load() string {
	running, waiting := b.counts()
	return fmt.Sprintf("%d,%d,%d,100", running, waiting, serverSlots)
}

// ServeHTTP implements http.Handler.
func (b *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", b.load())
	if b.spoils != nil && b.spoils() {
		running, waiting := b.counts()
		wrong := fmt.Sprintf("%d,%d,%d%09d,100", running, waiting, serverSlots, rand.IntN(1_000_000_000))
		w.Header().Set("Server-Load", wrong)
		b.record.line("spoiled   an answer of %s to %s: Server-Load %s", b.id, r.URL.Path, wrong)
	}
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.runs.note(id, func(o *run) { o.arrivals++ })
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !b.takeSlot(r, deadline) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		b.count(-1, 0)
		<-b.slots
	}()
	b.runs.note(id, func(o *run) {
		o.runs++
		o.server, o.tenant, o.began = b.id, r.Header.Get("Tenant-Name"), time.Now()
	})
	b.record.line("run       %s at %s, tenant %q", id, b.id, r.Header.Get("Tenant-Name"))
	select {
	case <-time.After(min(b.work, time.Until(deadline))):
	case <-r.Context().Done():
		b.record.line("dropped   %s at %s: its connection closed", id, b.id)
		return
	}
	w.Header().Set("Server-Signature", b.id+"."+id)
	if time.Now().After(deadline) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

// takeSlot waits for a slot; false if the queue is full, the deadline passed or the caller left.
func (b *server) takeSlot(r *http.Request, deadline time.Time) bool {
	if b.count(0, 1) {
		return false
	}
	defer b.count(0, -1)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case b.slots <- struct{}{}:
		b.count(1, 0)
		return true
	case <-timer.C:
		return false
	case <-r.Context().Done():
		return false
	}
}

//go:build review

package driver

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is how many objects a page of a list holds.
const pageSize = 500

type object = map[string]any

// store stands in for the platform's metadata store: lists, watches, stale lists, and writes on
// condition of a revision. It is always sound and keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	log      []change
	woken    chan struct{}
	address  string
}

// change is one event of the history.
type change struct {
	kind  string
	event object
	at    uint64
}

func newStore() *store {
	s := &store{kinds: map[string]map[string]object{}, woken: make(chan struct{})}
	listener := listen()
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// put writes the specification of an object, as the operator or a server does.
func (s *store) put(kind, name string, specification any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, specification)
}

// set writes an object at the next revision; the lock is held.
func (s *store) set(kind, name string, specification any) object {
	s.revision++
	o := object{
		"metadata":      object{"name": name, "revision": s.revision, "made": s.revision, "finalizers": []string{}, "deleting": false},
		"specification": specification, "status": nil,
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	s.log = append(s.log, change{kind: kind, event: object{"object": o, "gone": false}, at: s.revision})
	close(s.woken)
	s.woken = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case name != "":
		s.get(w, kind, name)
	case query.Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, kind, query.Get("after"))
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []object{}, false
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if name <= after {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.kinds[kind][name])
	}
	writeJSON(w, http.StatusOK, object{"items": items, "more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		events, at, woken := s.since(kind, from)
		if over || len(events) > 0 {
			writeJSON(w, http.StatusOK, object{"events": events, "at": at})
			return
		}
		select {
		case <-woken:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(kind string, from uint64) (events []object, at uint64, woken <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []object{}
	for _, c := range s.log {
		if c.kind == kind && c.at > from {
			events = append(events, c.event)
		}
	}
	return events, s.revision, s.woken
}

// write creates an object or replaces its specification, on condition of its revision if one is given.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Specification any `json:"specification"`
	}
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, exists := s.kinds[kind][name]
	if exists {
		revision := now["metadata"].(object)["revision"].(uint64)
		if r.Method == http.MethodPost || sent.Metadata.Revision != 0 && sent.Metadata.Revision != revision {
			writeJSON(w, http.StatusConflict, now)
			return
		}
	} else if r.Method == http.MethodPut {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, s.set(kind, name, sent.Specification))
}

// writeJSON answers a call; a caller that has gone needs no answer.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// listen opens a free port on loopback.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	return listener
}

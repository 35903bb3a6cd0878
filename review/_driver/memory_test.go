//go:build review

package driver

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyLimit is maxBodyBytes, memoryMB the memory of a machine, as the pages' examples give them.
	bodyLimit = 67108864
	memoryMB  = 284
	// uploadBytes is the body of a large request, below the limit.
	uploadBytes = 40000000
	// uploads is how many of them come to a machine at once.
	uploads = 3
	// restartAfter is how soon the platform starts a process again that ended.
	restartAfter = 500 * time.Millisecond
)

func init() { cases["memory"] = memoryCase }

// memoryCase has clients send a few large bodies that keep within the limits of the configuration,
// beside small requests on kept connections.
func memoryCase(dir string, rec *record, trouble bool) (broken bool) {
	s, rs := newStore(), newRuns()
	s.put("config", "main", object{
		"version": 7, "limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": bodyLimit, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []object{{"hostname": "jobdesk.example", "rules": []object{{
			"name": "approve", "kind": "unsafe", "targetLatencyS": 0.3, "priority": 1,
			"matchCriteria": object{"pathPrefix": "/approve/"},
			"action":        object{"service": "jobdesk", "timeoutS": 1.2, "maxAttempts": 2},
		}}}},
		"clusters": []object{{"name": "jobdesk", "healthCheckPath": "/health", "maxConnections": 260}},
	})
	for i := range 8 {
		newServer(s, rec, rs, fmt.Sprintf("i-%d", i), "jobdesk", "silom", 120*time.Millisecond)
	}
	var seeds []string
	for i := range 3 {
		g := newGateway(dir, fmt.Sprintf("frontend-silom-%d", i+1), "silom", s, rec, object{"memory_mb": memoryMB})
		seeds = append(seeds, g.address("peer_listen"))
		started = append(started, g)
	}
	var watching sync.WaitGroup
	over := make(chan struct{})
	ends := make([]atomic.Int64, len(started))
	for i, g := range started {
		g.settings["seeds"] = seeds
		g.start()
		watching.Go(func() { watchMemory(g, &ends[i], over) })
	}
	awaitReady(started...)
	time.Sleep(2 * time.Second)
	var cut, unanswered atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, g := range started {
		for n := range 5 {
			clients.Go(func() { smallRequests(g, fmt.Sprintf("small-%d-%d", i, n), rec, rs, stop, &cut, &unanswered) })
		}
	}
	time.Sleep(3 * time.Second)
	for round := range 3 {
		for i, g := range started {
			if trouble {
				for n := range uploads {
					upload(g, fmt.Sprintf("large-%d-%d-%d", round, i, n), rec, &clients)
				}
			}
		}
		time.Sleep(5 * time.Second)
	}
	close(stop)
	clients.Wait()
	close(over)
	watching.Wait()
	machines := 0
	for i, g := range started {
		rec.say("%s: ended %d times for its memory", g.id, ends[i].Load())
		if ends[i].Load() >= 3 {
			machines++
		}
	}
	rec.say("LOST: %d requests from kept connections were passed on to a sound server and then cut without an answer; 3 are allowed (%d more from new connections)", cut.Load(), unanswered.Load())
	rec.say("Fault: on %d machines processes ended three times", machines)
	return cut.Load() > 3
}

// watchMemory is the platform: it ends a process that goes over the machine's memory, and starts it again.
func watchMemory(g *gateway, ends *atomic.Int64, over <-chan struct{}) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	most := int64(0)
	for {
		select {
		case <-over:
			g.record.say("%s: at most %d MB", g.id, most>>20)
			return
		case <-tick.C:
		}
		used := g.resident()
		most = max(most, used)
		if used <= memoryMB<<20 {
			continue
		}
		g.record.line("memory    %s uses %d MB of %d", g.id, used>>20, memoryMB)
		g.signal(syscall.SIGKILL)
		<-g.end()
		ends.Add(1)
		time.Sleep(restartAfter)
		g.start()
	}
}

// smallRequests sends one request after the other on a kept connection.
func smallRequests(g *gateway, name string, rec *record, rs *runs, stop <-chan struct{}, cut, unanswered *atomic.Int64) {
	c := &client{address: g.address("listen")}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(80 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		a := c.do(request{method: http.MethodPost, host: "jobdesk.example", path: "/approve/" + name, id: id, deadline: 2500 * time.Millisecond, body: make([]byte, 400)})
		if a.err == nil {
			rec.line("answered  %s by %s: %d", id, g.id, a.status)
			continue
		}
		seen := rs.get(id)
		rec.line("unanswered %s by %s: %v; kept connection %t, arrivals at servers %d", id, g.id, a.err, a.kept, seen.arrivals)
		switch {
		case a.deadline || seen.arrivals == 0:
		case a.kept:
			cut.Add(1)
		default:
			unanswered.Add(1)
		}
	}
}

// upload sends a large request beside all others.
func upload(g *gateway, id string, rec *record, under *sync.WaitGroup) {
	under.Go(func() {
		c := &client{address: g.address("listen")}
		defer c.close()
		rec.line("sent      %s to %s: a body of %d bytes, %d are allowed", id, g.id, uploadBytes, bodyLimit)
		a := c.do(request{method: http.MethodPost, host: "jobdesk.example", path: "/approve/large", id: id, deadline: 10 * time.Second, body: make([]byte, uploadBytes)})
		rec.line("ended     %s by %s: status %d, error %v", id, g.id, a.status, a.err)
	})
}

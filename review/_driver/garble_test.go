//go:build review

package driver

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleShare of the servers spoil garbleOf of their answers, for garbleTime.
	garbleShare = 0.5
	garbleOf    = 0.02
	garbleTime  = 5 * time.Second
	// routeTimeout is timeoutS, heldTooLong how much longer a request may be without an answer.
	routeTimeout = time.Second
	heldTooLong  = 500 * time.Millisecond
	// fewestHeld is from how many of them on the case counts it: the rules have this bound beside it, for
	// requests that run past their route's timeout.
	fewestHeld = 8
	// clientDeadline is what the clients wait.
	clientDeadline = 2500 * time.Millisecond
)

func init() { cases["garble"] = garbleCase }

// held counts the requests that were unanswered at their route's timeout, and of those the ones that
// were half a second later.
type held struct{ sent, answered, unanswered, stillUnanswered atomic.Int64 }

// garbleCase has half of the servers spoil a few of their answers for some seconds.
func garbleCase(dir string, rec *record, trouble bool) (broken bool) {
	s, rs := newStore(), newRuns()
	s.put("config", "main", object{
		"version": 7, "limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []object{{"hostname": "viewer.example", "rules": []object{{
			"name": "preview", "kind": "safe", "targetLatencyS": 0.25, "priority": 2,
			"matchCriteria": object{"pathPrefix": "/preview/"},
			"action":        object{"service": "viewer", "timeoutS": routeTimeout.Seconds(), "maxAttempts": 2},
		}}}},
		"clusters": []object{{"name": "viewer", "healthCheckPath": "/health", "maxConnections": 260}},
	})
	var spoiling atomic.Bool
	const servers = 10
	for i := range servers {
		b := newServer(s, rec, rs, fmt.Sprintf("i-%d", i), "viewer", "silom", 90*time.Millisecond)
		if i < garbleShare*servers {
			b.spoils = func() bool { return spoiling.Load() && rand.Float64() < garbleOf }
		}
	}
	var seeds []string
	for i := range 3 {
		g := newGateway(dir, fmt.Sprintf("frontend-silom-%d", i+1), "silom", s, rec, nil)
		seeds = append(seeds, g.address("peer_listen"))
		started = append(started, g)
	}
	for _, g := range started {
		g.settings["seeds"] = seeds
		g.start()
	}
	awaitReady(started...)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var before, during, after held
	now := atomic.Pointer[held]{}
	now.Store(&before)
	for _, g := range started {
		for n := range 10 {
			clients.Go(func() { previews(g, n, rec, &now, stop) })
		}
	}
	time.Sleep(5 * time.Second)
	now.Store(&during)
	spoiling.Store(trouble)
	time.Sleep(garbleTime)
	spoiling.Store(false)
	time.Sleep(contact)
	now.Store(&after)
	time.Sleep(7 * time.Second)
	for _, g := range started {
		rec.say("%s: ready %t", g.id, g.ready())
	}
	close(stop)
	clients.Wait()
	calm := before.say(rec, "sent before")
	spoilt := during.say(rec, "sent while servers spoil answers, and up to 3 s later")
	well := after.say(rec, "sent later than 3 s after all servers are well")
	return calm || spoilt || well
}

// say tells what happened in a part of the case, and whether the rule was broken in it.
func (h *held) say(rec *record, part string) (broken bool) {
	unanswered, still := h.unanswered.Load(), h.stillUnanswered.Load()
	rec.say("CONFIG, %s: %d sent, %d answered; %d were unanswered at their route's timeoutS, %d of them half a second later", part, h.sent.Load(), h.answered.Load(), unanswered, still)
	return still >= fewestHeld && 2*still > unanswered
}

// contact is contactS.
const contact = 3 * time.Second

// previews sends one request after the other to a machine.
func previews(g *gateway, n int, rec *record, now *atomic.Pointer[held], stop <-chan struct{}) {
	c := &client{address: g.address("listen")}
	defer c.close()
	tick := time.NewTicker(150 * time.Millisecond)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		h, began := now.Load(), time.Now()
		h.sent.Add(1)
		id := fmt.Sprintf("%s-%d-%d", g.id, n, i)
		a := c.do(request{method: http.MethodGet, host: "viewer.example", path: "/preview/x", id: id, deadline: clientDeadline})
		took := time.Since(began)
		rec.line("answered  %s by %s after %.3f s: %d %v", id, g.id, took.Seconds(), a.status, a.err)
		if a.err == nil {
			h.answered.Add(1)
		}
		if took > routeTimeout {
			h.unanswered.Add(1)
		}
		if took > routeTimeout+heldTooLong {
			h.stillUnanswered.Add(1)
		}
	}
}

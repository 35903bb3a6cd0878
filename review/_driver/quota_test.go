//go:build review

package driver

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The bounds of the deployment (demands/LATER.md) and a tenant's limit.
const (
	quotaRate      = 50.0
	quotaBurst     = 10.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaTolerance = 20.0
	quotaMost      = (quotaRate*5+quotaBurst)*(1+quotaOvershoot) + quotaTolerance
	// tenantOffers is what the tenant asks of each of two machines, in requests a second.
	tenantOffers = 100
	// backAfter is when a machine is back after a loss of power, seedsBackAfter when those are that the
	// settings name as seeds.
	backAfter      = 500 * time.Millisecond
	seedsBackAfter = 5500 * time.Millisecond
)

func init() { cases["quota"] = quotaCase }

// quotaCase takes the power from all five machines at once. Two are back soon, the three that the
// settings name as seeds some seconds later. A tenant asks the two for more than its limit all the time.
func quotaCase(dir string, rec *record, trouble bool) (broken bool) {
	s, rs := newStore(), newRuns()
	s.put("config", "main", object{
		"version": 7, "limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants": []object{{"name": "recife", "apiKeys": []string{"key-1"}, "ratePerS": quotaRate, "burstSize": quotaBurst}},
		"listeners": []object{{"hostname": "claims.example", "rules": []object{{
			"name": "status-check", "kind": "safe", "targetLatencyS": 0.4, "priority": 2,
			"matchCriteria": object{"pathPrefix": "/status/"},
			"action":        object{"service": "claim-status", "timeoutS": 1.2, "maxAttempts": 2},
		}}}},
		"clusters": []object{{"name": "claim-status", "healthCheckPath": "/health", "maxConnections": 260}},
	})
	for i := range 8 {
		newServer(s, rec, rs, fmt.Sprintf("i-%d", i), "claim-status", "recife-a", 40*time.Millisecond)
	}
	var seeds []string
	for i := range 5 {
		g := newGateway(dir, fmt.Sprintf("frontend-recife-a-%d", i+1), "recife-a", s, rec, object{"quota_tolerance": quotaTolerance})
		if i < 3 {
			seeds = append(seeds, g.address("peer_listen"))
		}
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
	for _, g := range started[3:] {
		clients.Go(func() { tenant(g, rec, stop) })
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for _, g := range started {
			g.kill()
		}
		time.Sleep(backAfter)
		for _, g := range started[3:] {
			g.start()
		}
		time.Sleep(seedsBackAfter - backAfter)
		for _, g := range started[:3] {
			g.start()
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	most, at := busiestWindow(rs)
	rec.say("QUOTA: at most %d requests of the tenant, from %.1f s on, ran within %v on all servers; %.0f are allowed", most, at.Sub(rec.began).Seconds(), quotaWindow, quotaMost)
	return float64(most) > quotaMost
}

// busiestWindow returns the most requests of the tenant that began to run within a window.
func busiestWindow(rs *runs) (most int, at time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var times []time.Time
	for _, one := range rs.all {
		if one.runs > 0 && one.tenant == "recife" {
			times = append(times, one.began)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for last, now := range times {
		for now.Sub(times[first]) >= quotaWindow {
			first++
		}
		if n := last - first + 1; n > most {
			most, at = n, times[first]
		}
	}
	return most, at
}

// tenant has many clients of one tenant ask a machine, each on a kept connection.
func tenant(g *gateway, rec *record, stop <-chan struct{}) {
	var under sync.WaitGroup
	defer under.Wait()
	const clients = 24
	for n := range clients {
		under.Go(func() {
			c := &client{address: g.address("listen")}
			defer c.close()
			tick := time.NewTicker(time.Second * clients / tenantOffers)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				id := fmt.Sprintf("%s-%d-%d", g.id, n, i)
				a := c.do(request{
					method: http.MethodGet, host: "claims.example", path: "/status/x", id: id, deadline: 2 * time.Second,
					header: map[string]string{"Authorization": "Token key-1"},
				})
				rec.line("answered  %s by %s: %d %v", id, g.id, a.status, a.err)
			}
		})
	}
}

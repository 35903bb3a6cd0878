package quota_test

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	corequota "github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/gateway/workspace"
	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// customer is a workspace and what came of its requests.
type customer struct {
	workspace *workspace.Workspace
	limit     corequota.Limit
	// usual is how many requests a second it makes.
	usual float64

	mu       sync.Mutex
	admitted []time.Time
	refused  int
	refusals []time.Time
	unknown  int
	longest  time.Duration
}

func newCustomer(name string, usual float64, limit corequota.Limit) *customer {
	key := "key-of-" + name
	directory := workspace.New([]workspace.Config{{Name: name, Keys: []string{key}, Limit: limit}})
	w, _ := directory.Find(key)
	return &customer{workspace: w, limit: limit, usual: usual}
}

// send has a customer make requests for a while, x times as many as usual, at boxes that
// are up, drawn unevenly. It returns once they are made.
func (f *fleet) send(c *customer, x float64, during time.Duration) {
	var under sync.WaitGroup
	until := time.Now().Add(during)
	for {
		time.Sleep(time.Duration(-math.Log(1-f.float()) / (c.usual * x) * float64(time.Second)))
		if !time.Now().Before(until) {
			break
		}
		register := f.draw()
		if register == nil {
			continue
		}
		under.Go(func() { c.request(f.t.Context(), register) })
	}
	under.Wait()
}

// draw draws a register: a third of the boxes gets two thirds of the requests.
func (f *fleet) draw() *quota.Limiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.boxes)
	if f.draws.Float64() < 0.5 {
		n = (n + 2) / 3
	}
	return f.boxes[f.draws.IntN(n)].register
}

func (c *customer) request(ctx context.Context, register *quota.Limiter) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	asked := time.Now()
	_, failure := register.Admit(ctx, c.workspace, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longest = max(c.longest, time.Since(asked))
	switch {
	case failure == nil:
		c.admitted = append(c.admitted, time.Now())
	case failure.Reason() == verdict.ReasonQuota:
		c.refused++
		c.refusals = append(c.refusals, time.Now())
	default:
		c.unknown++
	}
}

// spent is the largest part of what the bound leaves beyond the limit that any window took;
// below 0 where all were within the limit.
func (c *customer) spent() float64 {
	slices.SortFunc(c.admitted, time.Time.Compare)
	within := c.limit.Rate*quotaWindow.Seconds() + c.limit.Burst
	left := quotaOvershoot*within + quotaTolerance
	worst, first := math.Inf(-1), 0
	for last, at := range c.admitted {
		for at.Sub(c.admitted[first]) >= quotaWindow {
			first++
		}
		worst = max(worst, (float64(last-first+1)-within)/left)
	}
	return worst
}

// refusedWithin counts the requests that were refused though the window that ended with each
// held fewer than the limit allows.
func (c *customer) refusedWithin() (n int) {
	allowed := c.limit.Rate*quotaWindow.Seconds() + c.limit.Burst
	for _, refused := range c.refusals {
		before := 0
		for _, at := range c.admitted {
			if at.Before(refused) && refused.Sub(at) < quotaWindow {
				before++
			}
		}
		if float64(before+1) <= allowed {
			n++
		}
	}
	return n
}

// customers are some of very different sizes, each with a limit of 1.6 times its usual.
func customers(total float64) []*customer {
	var out []*customer
	for i, part := range []float64{0.3, 0.15, 0.1, 0.05, 0.02, 0.01, 0.005, 0.002} {
		usual := total * part
		rate := 1.6 * usual
		out = append(out, newCustomer(fmt.Sprint("workspace-", i), usual, corequota.Limit{Rate: rate, Burst: rate}))
	}
	return out
}

// sendAll has all customers make their requests, those that are hot x times as many.
func (f *fleet) sendAll(all []*customer, hot map[int]float64, during time.Duration) {
	var under sync.WaitGroup
	for i, c := range all {
		x := max(hot[i], 1)
		under.Go(func() { f.send(c, x, during) })
	}
	under.Wait()
}

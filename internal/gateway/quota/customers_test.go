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

// customer is a workspace and the results of its requests.
type customer struct {
	workspace *workspace.Workspace
	limit     corequota.Limit
	// usualRate is its usual number of requests per second.
	usualRate float64

	mu        sync.Mutex
	admitted  []time.Time
	refused   int
	refusals  []time.Time
	undecided int
	slowest   time.Duration
}

func newCustomer(name string, usualRate float64, limit corequota.Limit) *customer {
	key := "key-of-" + name
	directory := workspace.New([]workspace.Config{{Name: name, Keys: []string{key}, Limit: limit}})
	w, _ := directory.Find(key)
	return &customer{workspace: w, limit: limit, usualRate: usualRate}
}

// send makes a customer's requests for a while, at factor times the usual rate, to boxes picked
// unevenly, and skips those that are not running. It returns once all requests have ended.
func (f *fleet) send(c *customer, factor float64, duration time.Duration) {
	var wg sync.WaitGroup
	until := time.Now().Add(duration)
	for {
		time.Sleep(time.Duration(-math.Log(1-f.float()) / (c.usualRate * factor) * float64(time.Second)))
		if !time.Now().Before(until) {
			break
		}
		limiter := f.pickLimiter()
		if limiter == nil {
			continue
		}
		wg.Go(func() { c.request(f.t.Context(), limiter) })
	}
	wg.Wait()
}

// pickLimiter picks a box at random, a third of the boxes for two thirds of the requests. It
// returns nil if the box is not running.
func (f *fleet) pickLimiter() *quota.Limiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.boxes)
	if f.rng.Float64() < 0.5 {
		n = (n + 2) / 3
	}
	return f.boxes[f.rng.IntN(n)].limiter
}

func (c *customer) request(ctx context.Context, limiter *quota.Limiter) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	asked := time.Now()
	_, failure := limiter.Admit(ctx, c.workspace, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowest = max(c.slowest, time.Since(asked))
	switch {
	case failure == nil:
		c.admitted = append(c.admitted, time.Now())
	case failure.Reason() == verdict.ReasonQuota:
		c.refused++
		c.refusals = append(c.refusals, time.Now())
	default:
		c.undecided++
	}
}

// marginUsed returns the largest share of the allowed excess over the limit that any window
// used; below 0 if all windows were within the limit.
func (c *customer) marginUsed() float64 {
	slices.SortFunc(c.admitted, time.Time.Compare)
	allowed := c.limit.Rate*quotaWindow.Seconds() + c.limit.Burst
	margin := quotaOvershoot*allowed + quotaTolerance
	largest, first := math.Inf(-1), 0
	for last, at := range c.admitted {
		for at.Sub(c.admitted[first]) >= quotaWindow {
			first++
		}
		largest = max(largest, (float64(last-first+1)-allowed)/margin)
	}
	return largest
}

// refusedBelowLimit counts the requests that were refused although the window that ended with
// each of them contained fewer requests than the limit allows.
func (c *customer) refusedBelowLimit() (n int) {
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

// customers returns customers of very different sizes, each with a limit of 1.6 times its usual
// rate.
func customers(total float64) []*customer {
	var out []*customer
	for i, share := range []float64{0.3, 0.15, 0.1, 0.05, 0.02, 0.01, 0.005, 0.002} {
		usualRate := total * share
		rate := 1.6 * usualRate
		out = append(out, newCustomer(fmt.Sprint("workspace-", i), usualRate, corequota.Limit{Rate: rate, Burst: rate}))
	}
	return out
}

// sendAll makes the requests of all customers; overload contains the rate factors of some of
// them.
func (f *fleet) sendAll(all []*customer, overload map[int]float64, duration time.Duration) {
	var wg sync.WaitGroup
	for i, c := range all {
		factor := max(overload[i], 1)
		wg.Go(func() { f.send(c, factor, duration) })
	}
	wg.Wait()
}

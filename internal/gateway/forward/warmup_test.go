package forward_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
)

// newColdFixture is a fixture whose cold targets bear so many requests a second.
func newColdFixture(t *testing.T, bears float64, targets ...*standin) *fixture {
	t.Helper()
	f := newFixture(t, targets...)
	table := routing.New(routing.Config{Version: 7, Routes: []routing.Route{{
		Name: readPath, Host: "shop.example", Prefix: readPath, Repeatable: true, MaxAttempts: 2,
		Objective: objective, Timeout: timeout, Shares: []routing.Share{{Service: "shop", Weight: 1}},
	}}, Services: []routing.Service{{Name: "shop", HealthPath: "/health", ColdRate: bears}}})
	f.view = snapshot.New(table, f.view.ByService())
	return f
}

// atOnce makes requests at once and counts those that were served.
func (f *fixture) atOnce(n int) (served int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for range n {
		all.Go(func() {
			if f.read().status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	all.Wait()
	return served
}

func TestAWarmTargetGoesBeforeColdOnes(t *testing.T) {
	g := NewWithT(t)
	cold, warm := newStandin(t, "cold", "shop", "a", ok), newStandin(t, "warm", "shop", "b", ok)
	cold.setWarmup(time.Hour)
	f := newColdFixture(t, 1000, cold, warm).start()
	for range 20 {
		g.Expect(f.read().status).To(Equal(http.StatusOK))
	}
	g.Expect(cold.runs.Load()).To(BeZero())
}

// A whole service that is cold serves what it bears, and refuses the rest with a promise.
func TestAServiceThatIsColdServesWhatItBears(t *testing.T) {
	g := NewWithT(t)
	cold := newStandin(t, "cold", "shop", "a", ok)
	cold.setWarmup(time.Hour)
	f := newColdFixture(t, 5, cold).start()
	began := time.Now()
	served := f.atOnce(40)
	bears := 1 + 5*time.Since(began).Seconds()
	g.Expect(served).To(BeNumerically(">=", 1))
	g.Expect(float64(cold.runs.Load())).To(BeNumerically("<=", bears))
}

func TestOfManyGatewaysEachSendsColdTargetsItsShare(t *testing.T) {
	g := NewWithT(t)
	cold := newStandin(t, "cold", "shop", "a", ok)
	cold.setWarmup(time.Hour)
	f := newColdFixture(t, 5, cold)
	f.options.Gateways = func() int { return 1000 }
	f.start()
	f.atOnce(40)
	g.Expect(cold.runs.Load()).To(BeNumerically("<=", 1))
}

// Where no probe is answered, what entries say of cold targets must do.
func TestAColdTargetGetsNoRequestWithoutATurn(t *testing.T) {
	g := NewWithT(t)
	cold := newStandin(t, "cold", "shop", "a", ok)
	cold.Target.Cold = true
	cold.silent.Store(true)
	f := newColdFixture(t, 0.0001, cold).start()
	got := f.read()
	g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after).To(BeNumerically(">", 0))
	g.Expect(cold.runs.Load()).To(BeZero())
}

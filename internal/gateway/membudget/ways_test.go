package membudget_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/core/gateway/refusal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

// visits plays clients with large bodies before one process, in virtual time.
type visits struct {
	budget   *membudget.Budget
	patience float64 // share of the time that a client has left for which its body may wait
	mu       sync.Mutex
	served   map[int]int   // by length, in MB
	came     map[int]int   // by length, in MB
	took     time.Duration // of those served, together
	tries    int
}

const (
	visitDeadline = 20 * time.Second
	visitRate     = 5 * mb // bytes a second of a client
	visitWork     = 300 * time.Millisecond
)

// visit is one client: it sends its body once there is room, or comes back when it is told to.
func (v *visits) visit(length int, random *rand.Rand) {
	began := time.Now()
	tries := 0
	for {
		tries++
		patience := time.Duration(v.patience * float64(visitDeadline-time.Since(began)))
		hold, err := v.budget.Await(context.Background(), int64(length)*mb, patience)
		if err == nil {
			time.Sleep(time.Duration(length)*mb*time.Second/visitRate + visitWork)
			hold.Release()
			break
		}
		if !errors.Is(err, membudget.ErrNoRoom) {
			break
		}
		left := visitDeadline - time.Since(began)
		usual := max(v.budget.UsualBodyTime(), visitWork)
		pause := refusal.RetryAfterUnavailable(usual, left, random.Float64())
		if pause > left {
			break
		}
		time.Sleep(pause)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.came[length]++
	v.tries += tries
	if took := time.Since(began); took <= visitDeadline+time.Duration(length)*mb*time.Second/visitRate {
		v.served[length]++
		v.took += took
	}
}

// play has clients come at random for a minute, so many a second.
func (v *visits) play(seed uint64, perSecond float64) {
	random := rand.New(rand.NewPCG(seed, 75))
	var all sync.WaitGroup
	for began := time.Now(); time.Since(began) < time.Minute; {
		length := []int{1, 1, 1, 1, 1, 1, 10, 10, 10, 40}[random.IntN(10)]
		if random.IntN(50) == 0 {
			length = 64
		}
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		all.Go(func() { v.visit(length, own) })
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
}

// The ways weighed in docs/design/request-memory.md. Never more is held than there is room for.
func TestWaysToMeetAShortageOfRoom(t *testing.T) {
	for _, perSecond := range []float64{1, 2} {
		for name, patience := range map[string]float64{"refused at once": 0, "waits a quarter": 0.25, "waits half": 0.5} {
			t.Run(name, func(t *testing.T) {
				for seed := range uint64(4) {
					synctest.Test(t, func(t *testing.T) {
						limits := memory.NewLimits(136 * mb)
						v := &visits{
							budget:   membudget.New(membudget.Options{Limits: limits, Collect: func() {}}),
							patience: patience, served: map[int]int{}, came: map[int]int{},
						}
						v.play(seed+1, perSecond)
						g := NewWithT(t)
						g.Expect(v.budget.Usage(memory.Body).Peak()).To(BeNumerically("<=", limits.Body()))
						g.Expect(v.budget.Usage(memory.Body).Held()).To(BeZero())
						served, came := 0, 0
						for length := range v.came {
							served, came = served+v.served[length], came+v.came[length]
						}
						t.Logf("%s, %v a second, seed %d: served %d of %d (by MB: %v of %v), mean %v, tries %d",
							name, perSecond, seed+1, served, came, v.served, v.came, (v.took / time.Duration(max(served, 1))).Round(time.Millisecond), v.tries)
					})
				}
			})
		}
	}
}

package quota_test

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// numberFromEnv reads a number from the environment, for manual runs.
func numberFromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// seeds is the number of runs of each case; manual runs use 200.
func seeds() int { return numberFromEnv("SEEDS", 2) }

// size is the number of gateways; manual runs use 109, 984 and 2,072.
func size() int { return numberFromEnv("FLEET", 40) }

// totalRate is the number of requests per second of all customers: five per gateway.
func totalRate() float64 { return 5 * float64(size()) }

func TestTrafficWithinLimitIsAdmitted(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			all := customers(totalRate())
			perGateway := 0.0
			inVirtualTime(t, uint64(seed), size(), func(f *fleet) {
				before, started := f.sent(), time.Now()
				f.sendAll(all, nil, 10*time.Second)
				// The load lasts until the first request of each customer after the 10 s.
				perGateway = float64(f.sent()-before) / time.Since(started).Seconds() / float64(size())
			})
			asked, refused := 0, 0
			for i, c := range all {
				asked += len(c.admitted) + c.refused + c.undecided
				refused += c.refusedBelowLimit() + c.undecided
				g.Expect(c.slowest).To(BeNumerically("<", 100*time.Millisecond))
				if c.refused+c.undecided > 0 {
					t.Logf("workspace %d: %d refused, %d of them within the limit, %d admitted, %d undecided",
						i, c.refused, c.refusedBelowLimit(), len(c.admitted), c.undecided)
				}
			}
			t.Logf("%d of %d refused, %.0f bytes per second and gateway", refused, asked, perGateway)
			g.Expect(float64(refused)).To(BeNumerically("<=", float64(asked)/1000))
			g.Expect(perGateway).To(BeNumerically("<", 1000))
		})
	}
}

// A limit was added to a fleet that had none. Until its links to the homes were open, each
// gateway regarded itself as the only one, and granted a whole limit in addition to the homes.
func TestLimitAddedToRunningFleetIsEnforced(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			small := customers(totalRate())[7]
			inVirtualTime(t, uint64(seed), size(), func(f *fleet) {
				f.limits.Store(false)
				time.Sleep(35 * time.Second) // recorded fleet sizes have expired by then
				f.limits.Store(true)
				f.send(small, 200, 6*time.Second)
			})
			g.Expect(small.marginUsed()).To(BeNumerically("<=", 0.5))
		})
	}
}

// faults are injected while a workspace sends many times its limit.
var faults = map[string]func(f *fleet){
	"no fault": func(*fleet) {},
	"homes killed one after the other": func(f *fleet) {
		for _, b := range f.homes(0, 4) {
			for i := range f.boxes {
				if f.boxes[i].box.ID == b.ID {
					f.kill(i)
					time.Sleep(300 * time.Millisecond)
					f.start(i)
				}
			}
		}
	},
	"a third partitioned off": func(f *fleet) {
		f.split(func(i int) int { return min(i%3, 1) })
		time.Sleep(4 * time.Second)
		f.heal()
	},
	"a sixth isolated individually": func(f *fleet) {
		f.split(func(i int) int {
			if i%6 == 0 {
				return i + 1
			}
			return 0
		})
		time.Sleep(5 * time.Second)
		f.heal()
	},
	"two partitions in a row": func(f *fleet) {
		for range 2 {
			f.split(func(i int) int { return i % 2 })
			time.Sleep(1500 * time.Millisecond)
			f.heal()
			time.Sleep(500 * time.Millisecond)
		}
	},
	"most killed at once": func(f *fleet) {
		for i := range f.boxes {
			if i%5 > 1 {
				f.kill(i)
			}
		}
		time.Sleep(time.Second)
		for i := range f.boxes {
			if i%5 > 1 {
				f.start(i)
			}
		}
	},
	"all killed at once": func(f *fleet) {
		for i := range f.boxes {
			f.kill(i)
		}
		time.Sleep(time.Second)
		for i := range f.boxes {
			f.start(i)
		}
	},
}

// The goal is to use at most half of the allowed excess.
func TestWorkspaceLimitIsEnforcedDuringFaults(t *testing.T) {
	for name, fault := range faults {
		for seed := range seeds() {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				all := customers(totalRate())
				inVirtualTime(t, uint64(seed), size(), func(f *fleet) {
					var wg sync.WaitGroup
					wg.Go(func() {
						f.sendAll(all, map[int]float64{0: 7.5, 2: 5, 4: 7.5, 6: 7.5, 7: 20}, 12*time.Second)
					})
					time.Sleep(time.Duration(2+2*f.float()) * time.Second)
					fault(f)
					wg.Wait()
				})
				for i, c := range all {
					t.Logf("%s, seed %d, workspace %d: %.2f of the margin used, %d admitted, %d refused, %d undecided, slowest %v",
						name, seed, i, c.marginUsed(), len(c.admitted), c.refused, c.undecided, c.slowest)
					g.Expect(c.marginUsed()).To(BeNumerically("<=", 0.5), "workspace %d", i)
				}
			})
		}
	}
}

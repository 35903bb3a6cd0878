package delivery_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// faults are the faults that may occur in the fleet and in the store at any stage of a
// rollout, at a time when the first gateway reads the store.
var faults = map[string]func(w *fleetSimulation){
	"no fault":       func(*fleetSimulation) {},
	"decider killed": func(w *fleetSimulation) { w.all()[0].kill() },
	"decider killed before its next write is sent": func(w *fleetSimulation) {
		w.onNextWrite(func(g *gateway, _ catalog.Rollout) error {
			g.kill()
			return errUnavailable
		})
	},
	"decider killed after its next write is done": func(w *fleetSimulation) {
		var once sync.Once
		w.setWriteHooks(nil, func(g *gateway) (err error) {
			once.Do(func() {
				g.kill()
				err = errUnavailable
			})
			return err
		})
	},
	"decider killed, its next write done late": func(w *fleetSimulation) {
		w.onNextWrite(func(g *gateway, r catalog.Rollout) error {
			w.writeLater(r, 2*time.Second)
			g.kill()
			return errUnavailable
		})
	},
	"decider freezes": func(w *fleetSimulation) {
		decider := w.all()[0]
		decider.freeze()
		time.AfterFunc(3*time.Second, decider.unfreeze)
	},
	"decider freezes during its next write": func(w *fleetSimulation) {
		w.onNextWrite(func(g *gateway, _ catalog.Rollout) error {
			g.freeze()
			time.AfterFunc(3*time.Second, g.unfreeze)
			return nil
		})
	},
	"decider cut off from the store": func(w *fleetSimulation) {
		decider := w.all()[0]
		decider.setStoreCut(true)
		time.AfterFunc(3*time.Second, func() { decider.setStoreCut(false) })
	},
	"decider partitioned from all others":        func(w *fleetSimulation) { w.partitionFor(4*time.Second, 1) },
	"decider partitioned from half of the fleet": func(w *fleetSimulation) { w.partitionFor(4*time.Second, 3) },
	"decider stopped gracefully": func(w *fleetSimulation) {
		decider := w.all()[0]
		decider.leaving.Store(true)
		time.AfterFunc(3*time.Second, decider.kill)
	},
	"two deciders": func(w *fleetSimulation) { w.all()[3].alwaysReads.Store(true) },
	"all gateways are deciders": func(w *fleetSimulation) {
		for _, g := range w.all() {
			g.alwaysReads.Store(true)
		}
	},
	"store unavailable": func(w *fleetSimulation) { w.cutStoreFor(2500*time.Millisecond, w.all()) },
	"store unavailable to some, including the decider": func(w *fleetSimulation) {
		w.cutStoreFor(time.Hour, w.all()[:2])
	},
	"store slow": func(w *fleetSimulation) {
		w.setWriteHooks(func(*gateway, catalog.Rollout) error {
			time.Sleep(700 * time.Millisecond)
			return nil
		}, nil)
	},
	"store loses responses": func(w *fleetSimulation) {
		w.setWriteHooks(nil, func(*gateway) error { return errUnavailable })
		time.AfterFunc(3*time.Second, func() { w.setWriteHooks(nil, nil) })
	},
	"store writes late without a response": func(w *fleetSimulation) {
		w.setWriteHooks(func(_ *gateway, r catalog.Rollout) error {
			w.writeLater(r, 2*time.Second)
			time.Sleep(time.Second) // the timeout of the call
			return errUnavailable
		}, nil)
		time.AfterFunc(4*time.Second, func() { w.setWriteHooks(nil, nil) })
	},
	"store rejects writes": func(w *fleetSimulation) {
		w.setWriteHooks(func(*gateway, catalog.Rollout) error { return errRejected }, nil)
		time.AfterFunc(2*time.Second, func() { w.setWriteHooks(nil, nil) })
	},
	"all killed": func(w *fleetSimulation) {
		for _, g := range w.all() {
			g.kill()
		}
		time.AfterFunc(time.Second, func() { w.restartFrom(0) })
	},
	"all killed with a write in flight that is done late": func(w *fleetSimulation) {
		w.onNextWrite(func(_ *gateway, r catalog.Rollout) error {
			w.writeLater(r, 1200*time.Millisecond)
			for _, g := range w.all() {
				g.kill()
			}
			time.AfterFunc(time.Second, func() { w.restartFrom(0) })
			return errUnavailable
		})
	},
	"other gateways restart": func(w *fleetSimulation) {
		for _, g := range w.all()[2:] {
			g.kill()
		}
		w.restartFrom(2)
	},
}

// onNextWrite runs a function once, before the next write is sent.
func (w *fleetSimulation) onNextWrite(do func(g *gateway, r catalog.Rollout) error) {
	var once sync.Once
	w.setWriteHooks(func(g *gateway, r catalog.Rollout) (err error) {
		once.Do(func() { err = do(g, r) })
		return err
	}, nil)
}

// partitionFor separates the first gateways from all others for a time; all reach the
// store.
func (w *fleetSimulation) partitionFor(d time.Duration, first int) {
	inside := map[string]bool{}
	for _, g := range w.all()[:first] {
		inside[g.self.ID] = true
	}
	w.setPartition(func(a, b *gateway) bool { return inside[a.self.ID] != inside[b.self.ID] })
	time.AfterFunc(d, func() { w.setPartition(func(a, b *gateway) bool { return false }) })
}

// cutStoreFor makes the store unreachable for some gateways for a time.
func (w *fleetSimulation) cutStoreFor(d time.Duration, gateways []*gateway) {
	for _, g := range gateways {
		g.setStoreCut(true)
		time.AfterFunc(d, func() { g.setStoreCut(false) })
	}
}

// restartFrom restarts the gateways from the given index on.
func (w *fleetSimulation) restartFrom(from int) {
	for _, g := range w.all()[from:] {
		w.start(g.self.ID)
	}
}

// stages are the moments at which a fault occurs.
var stages = map[string]func(w *fleetSimulation){
	"at the order":            func(*fleetSimulation) {},
	"at the first stage":      func(w *fleetSimulation) { w.waitForStage("shop", 50) },
	"between stages":          func(w *fleetSimulation) { w.waitForStage("shop", 50); time.Sleep(500 * time.Millisecond) },
	"before the second stage": func(w *fleetSimulation) { w.waitForStage("shop", 50); time.Sleep(950 * time.Millisecond) },
	"at the last stage":       func(w *fleetSimulation) { w.waitForStage("shop", 1000) },
}

// isAgeUnknown reports whether no gateway is left that knows when an order was made for
// which nothing was recorded. Its time may be over.
func isAgeUnknown(when, fault string) bool {
	return when == "at the order" && strings.HasPrefix(fault, "all killed")
}

func TestGoodVersionIsCompletedUnderEveryFault(t *testing.T) {
	for when, reached := range stages {
		for name, fault := range faults {
			t.Run(when+", "+name, func(t *testing.T) {
				simulate(t, 5, func(g *WithT, w *fleetSimulation) {
					w.order("shop", "v2", within)
					reached(w)
					fault(w)
					state, _ := w.waitForEnd("shop", within)
					if isAgeUnknown(when, name) {
						g.Expect(state).To(Equal(catalog.RolloutRolledBack))
					} else {
						g.Expect(state).To(Equal(catalog.RolloutCompleted))
					}
					time.Sleep(4 * time.Second) // for late writes
					g.Expect(w.writeAttempts.Load()).To(BeNumerically("<", maxWriteAttempts))
				})
			})
		}
	}
}

func TestBadVersionIsRolledBackUnderEveryFault(t *testing.T) {
	for when, reached := range stages {
		for name, fault := range faults {
			t.Run(when+", "+name, func(t *testing.T) {
				simulate(t, 5, func(g *WithT, w *fleetSimulation) {
					w.order("shop", "v2", within)
					reached(w)
					w.canaryFails.Store(true)
					fault(w)
					state, took := w.waitForEnd("shop", within)
					t.Logf("after %v, %d calls", took, w.writeAttempts.Load())
					g.Expect(state).To(Equal(catalog.RolloutRolledBack))
					time.Sleep(4 * time.Second)
					g.Expect(w.writeAttempts.Load()).To(BeNumerically("<", maxWriteAttempts))
				})
			})
		}
	}
}

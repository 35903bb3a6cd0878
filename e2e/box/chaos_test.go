package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
	"github.com/sprucecrank/sprucecrank/internal/standin/targetsim"
)

// trouble brings about failures of all sorts, together and again, by a seed.
type trouble struct {
	f      *fleet
	random *rand.Rand
	frozen map[*proc]bool
}

func (t *trouble) step() {
	switch t.random.IntN(8) {
	case 0, 1:
		t.freezeOrThaw(t.f.boxes[t.random.IntN(len(t.f.boxes))])
	case 2:
		t.replace(t.random.IntN(len(t.f.boxes)))
	case 3, 4:
		t.f.platform.SetFaults(t.platformFaults())
	case 5, 6:
		t.f.targets[t.random.IntN(len(t.f.targets))].SetFaults(t.targetFaults())
	case 7:
		t.f.operator(fmt.Sprintf(`{"name":"spare","prefix":"/spare","max_queue":%d,"targets":[{"address":"127.0.0.1:1","hall":"north"}]}`, 1+t.random.IntN(1000)),
			"service", "submit", "-")
	}
}

func (t *trouble) freezeOrThaw(p *proc) {
	if t.frozen[p] {
		p.thaw()
	} else {
		p.freeze()
	}
	t.frozen[p] = !t.frozen[p]
}

// replace kills a box and starts it anew under the same name and addresses.
func (t *trouble) replace(i int) {
	old := t.f.boxes[i]
	delete(t.frozen, old)
	old.kill()
	<-old.exited
	t.f.boxes[i] = t.f.launch(old.settings)
}

func (t *trouble) platformFaults() platformsim.Faults {
	return []platformsim.Faults{
		{}, {}, {Outage: true}, {SlowMS: 60}, {LoseWrites: 0.5}, {StaleMS: 500}, {DropWatches: true, LoseWrites: 0.3, SlowMS: 20},
	}[t.random.IntN(7)]
}

func (t *trouble) targetFaults() targetsim.Faults {
	return []targetsim.Faults{
		{}, {}, {SlowBy: 10}, {FailFast: true}, {CutAfterRun: true}, {CutHalfway: true}, {ShedAll: true}, {Twice: true},
	}[t.random.IntN(8)]
}

// heal ends all failures.
func (t *trouble) heal() {
	for p, frozen := range t.frozen {
		if frozen {
			p.thaw()
		}
	}
	t.f.platform.SetFaults(platformsim.Faults{})
	for _, one := range t.f.targets {
		one.SetFaults(targetsim.Faults{})
	}
}

var _ = Describe("all promises together", func() {
	DescribeTable("hold through failures of every sort, together and again",
		func(seed uint64) {
			f := newFleet()
			f.addTargets(5, targetsim.Options{Slots: 3, Queue: 3, Work: 8 * time.Millisecond})
			f.startBoxes(4)
			f.submit("mix", mixedKinds, mixedProgram)
			f.submit("haul", bookKinds, `"book"`)
			t := &trouble{f: f, random: rand.New(rand.NewPCG(seed, seed)), frozen: map[*proc]bool{}}
			boxes := append([]*proc{}, f.boxes...)
			var m mixed
			o := newOperations(40)
			var group sync.WaitGroup
			group.Go(func() { m.run(&fleet{boxes: boxes, targets: f.targets}, 1500, 12, seed) })
			for _, p := range boxes {
				o.send(p, 60*time.Millisecond, &group)
			}
			for range 25 {
				t.step()
				time.Sleep(120 * time.Millisecond)
			}
			t.heal()
			group.Wait()
			for _, p := range f.boxes {
				p.ready()
			}
			m.check(f)
			done, unknown := o.settle(f.boxes[0])
			Expect(done + unknown).To(Equal(40))
			o.check(f)
			f.inForce("config/service/spare")
			AddReportEntry("trouble", fmt.Sprintf("%d ran, %d not run, %d broken; %d operations done, %d unknown", m.ran, m.refused, m.cut, done, unknown))
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)

	It("hold while halls are cut from each other", func() {
		f := newFleet()
		f.addTargets(4, targetsim.Options{Slots: 3, Queue: 3, Work: 5 * time.Millisecond})
		f.startBoxes(2)
		f.submit("mix", mixedKinds, mixedProgram)
		// Each box reaches the other through a relay that is then cut.
		relays := make([]*relay, 2)
		for i, p := range f.boxes {
			relays[i] = newRelay(p.settings.PeerListen)
			member := p.settings
			member.PeerListen = relays[i].address()
			f.list(&proc{settings: member}, "live")
		}
		time.Sleep(3 * time.Second)
		for _, r := range relays {
			r.cut()
		}
		var m mixed
		m.run(f, 600, 12, 31)
		m.check(f)
		Expect(m.ran).To(BeNumerically(">", 400))
		for _, r := range relays {
			r.mend()
		}
		m = mixed{}
		m.run(f, 600, 12, 32)
		m.check(f)
	})
})

package oncerun_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/core/box/once"
	"github.com/sprucecrank/sprucecrank/internal/box/grant"
	"github.com/sprucecrank/sprucecrank/internal/box/oncerun"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// fault is what befalls one call of a try.
type fault int

const (
	noFault    fault = iota
	lostAnswer       // a write or send takes effect, its answer is lost
	lateWrite        // a write fails and takes effect two steps later
	endWrite         // a write fails and takes effect at the end
	crash            // the box dies before the call
	freeze           // the box stops before the call until all others are done
	refuseCall       // the call fails cleanly: platform down, no slot, no connection
	faults
)

const (
	patience = 10 * time.Second
	// holdsLapse passes after a crash or freeze, so that holds can be taken over.
	holdsLapse = patience + 2*time.Second
)

// call is a step that a try is about to make.
type call struct {
	try   int
	allow chan fault
}

// choice is which try goes on at a step, and what befalls its call.
type choice struct {
	try   int
	fault fault
}

// world is one run: the platform's object, the target and the tries.
type world struct {
	version  uint64
	value    []byte
	late     map[int][]func() // by step
	atEnd    []func()
	calls    chan *call
	sends    []int // the tries that sent, in order
	told     map[int]verdict.Verdict
	began    map[int]int // step of a try's first call
	toldAt   map[int]int // step at which its client was answered
	sentStep int
	numbered bool // the client numbers its tries
	taken    []choice
	open     [][]int // which tries could go on at each step
}

func newWorld(n int) *world {
	return &world{
		late: map[int][]func(){}, calls: make(chan *call, n),
		told: map[int]verdict.Verdict{}, began: map[int]int{}, toldAt: map[int]int{},
	}
}

func (w *world) await(try int) fault {
	c := &call{try: try, allow: make(chan fault)}
	w.calls <- c
	f := <-c.allow
	if f == crash {
		runtime.Goexit()
	}
	return f
}

func (w *world) objects(try int) store.Objects {
	return store.Objects{
		Get: func(_ context.Context, key string) (store.Object, error) { return w.get(try, key) },
		Put: func(_ context.Context, _ string, value []byte, expect uint64) (uint64, error) {
			return w.put(try, value, expect)
		},
	}
}

func (w *world) get(try int, key string) (store.Object, error) {
	if w.await(try) == refuseCall {
		return store.Object{}, store.ErrUnavailable
	}
	if _, ok := w.began[try]; !ok {
		w.began[try] = len(w.taken)
	}
	if w.version == 0 {
		return store.Object{}, store.ErrNotFound
	}
	return store.Object{Key: key, Version: w.version, Value: w.value}, nil
}

func (w *world) put(try int, value []byte, expect uint64) (uint64, error) {
	f := w.await(try)
	apply := func() bool {
		if w.version != expect {
			return false
		}
		w.version++
		w.value = value
		return true
	}
	switch f {
	case refuseCall:
		return 0, store.ErrUnavailable
	case lateWrite:
		at := len(w.taken) + 2
		w.late[at] = append(w.late[at], func() { apply() })
		return 0, store.ErrAmbiguous
	case endWrite:
		w.atEnd = append(w.atEnd, func() { apply() })
		return 0, store.ErrAmbiguous
	}
	if !apply() {
		return 0, store.ErrConflict
	}
	if f == lostAnswer {
		return 0, store.ErrAmbiguous
	}
	return w.version, nil
}

func (w *world) acquire(try int) (*grant.Slot, *verdict.Error) {
	if w.await(try) == refuseCall {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "full")
	}
	return &grant.Slot{}, nil
}

func (w *world) send(try int) (*once.Answer, ledger.Outcome, *verdict.Error) {
	f := w.await(try)
	if f == refuseCall {
		return nil, ledger.Outcome{}, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "no connection")
	}
	w.sends = append(w.sends, try)
	w.sentStep = len(w.taken)
	if f == lostAnswer {
		return nil, ledger.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "cut")
	}
	return &once.Answer{Status: 200}, ledger.Outcome{}, nil
}

func (w *world) attempt(try int) int {
	if w.numbered {
		return try + 1
	}
	return 0
}

// run makes one try and notes what its client is told. Its first step is that
// the request comes in, so that its deadline counts from then.
func (w *world) run(try int) {
	w.await(try)
	runner := oncerun.New(oncerun.Options{
		Objects: w.objects(try), Box: fmt.Sprint("box-", try), Clock: time.Now, Log: slog.New(slog.DiscardHandler),
	})
	_, failure := runner.Run(context.Background(), oncerun.Operation{
		Key: "once/s/c/k", Fingerprint: "f", Attempt: w.attempt(try), Deadline: time.Now().Add(patience),
		Acquire: func(context.Context, []string) (*grant.Slot, *verdict.Error) { return w.acquire(try) },
		Send: func(context.Context, *grant.Slot) (*once.Answer, ledger.Outcome, *verdict.Error) {
			return w.send(try)
		},
		Release: func(*grant.Slot, ledger.Outcome) {},
	})
	w.told[try] = verdict.Ran
	if failure != nil {
		w.told[try] = failure.Verdict()
	}
	w.toldAt[try] = len(w.taken)
}

// play runs n tries under a schedule. Steps beyond it go to the first try that
// waits, without faults. choose, when set, makes those choices instead.
func play(t *testing.T, n int, numbered bool, s []choice, choose func([]int) choice) *world {
	w := newWorld(n)
	w.numbered = numbered
	synctest.Test(t, func(*testing.T) {
		for try := range n {
			go w.run(try)
		}
		w.drive(s, choose)
	})
	return w
}

// drive lets one call go on at a time until no try makes any more.
func (w *world) drive(s []choice, choose func([]int) choice) {
	waiting := map[int]*call{}
	frozen := map[int]*call{}
	for w.gather(waiting) || len(frozen) > 0 {
		if len(waiting) == 0 {
			waiting, frozen = frozen, waiting
		}
		open := tries(waiting)
		next := choice{try: open[0]}
		switch step := len(w.taken); {
		case step < len(s) && waiting[s[step].try] != nil:
			next = s[step]
		case choose != nil:
			next = choose(open)
		}
		w.apply(next, open, waiting, frozen)
	}
	for _, f := range w.atEnd {
		f()
	}
}

func (w *world) apply(next choice, open []int, waiting, frozen map[int]*call) {
	for _, f := range w.late[len(w.taken)] {
		f()
	}
	c := waiting[next.try]
	delete(waiting, next.try)
	w.taken = append(w.taken, next)
	w.open = append(w.open, open)
	if next.fault == freeze {
		frozen[next.try] = c
	} else {
		c.allow <- next.fault
	}
	if next.fault == freeze || next.fault == crash {
		time.Sleep(holdsLapse)
	}
}

// gather waits until every try is blocked or done, letting pauses pass, and
// reports whether any call waits.
func (w *world) gather(waiting map[int]*call) bool {
	synctest.Wait()
	if len(w.calls) == 0 && len(waiting) == 0 {
		time.Sleep(2 * time.Second) // the longest patience, in the bubble's time
		synctest.Wait()
	}
	for len(w.calls) > 0 {
		c := <-w.calls
		waiting[c.try] = c
	}
	return len(waiting) > 0
}

func tries(waiting map[int]*call) []int {
	var out []int
	for try := range 8 {
		if waiting[try] != nil {
			out = append(out, try)
		}
	}
	return out
}

// violation is what must never come of any schedule.
func (w *world) violation() string {
	if len(w.sends) > 1 {
		return fmt.Sprintf("sent by %v", w.sends)
	}
	for try, v := range w.told {
		for _, sender := range w.sends {
			if v == verdict.NotRun && w.contradicts(sender, try) {
				return fmt.Sprintf("try %d was told not-run, but try %d sent", try, sender)
			}
		}
	}
	return ""
}

// contradicts says whether a send belies what another try's client was told:
// its own send always does, and so does a later one of a try that began
// before, or, where tries are numbered, of one with a lesser number.
func (w *world) contradicts(sender, told int) bool {
	if sender == told {
		return true
	}
	if w.sentStep <= w.toldAt[told] {
		return false
	}
	return w.began[sender] < w.toldAt[told] || w.numbered && sender < told
}

// branch is a schedule to begin with and the faults that may still follow it.
type branch struct {
	prefix     []choice
	faultsLeft int
}

// branches plays a schedule and gives all that differ from it in one choice
// after the prefix.
func branches(t *testing.T, n int, numbered bool, b branch) []branch {
	w := play(t, n, numbered, b.prefix, nil)
	if bad := w.violation(); bad != "" {
		t.Fatalf("%s; schedule %v", bad, w.taken)
	}
	var out []branch
	for step := len(b.prefix); step < len(w.open); step++ {
		for _, try := range w.open[step] {
			for f := noFault; f < faults; f++ {
				alternative := choice{try: try, fault: f}
				left := b.faultsLeft
				if f != noFault {
					left--
				}
				if alternative != w.taken[step] && left >= 0 {
					out = append(out, branch{append(append([]choice{}, w.taken[:step]...), alternative), left})
				}
			}
		}
	}
	return out
}

// explore plays every schedule that follows from b and counts them.
func explore(t *testing.T, n int, numbered bool, b branch) int {
	played := 1
	for _, next := range branches(t, n, numbered, b) {
		played += explore(t, n, numbered, next)
	}
	return played
}

// spread cuts the largest branches up further, so that they can be explored at
// the same time.
func spread(t *testing.T, numbered bool, b branch, depth int) []branch {
	var out []branch
	for _, next := range branches(t, 2, numbered, b) {
		if next.faultsLeft < b.faultsLeft || depth == 1 {
			out = append(out, next)
			continue
		}
		out = append(out, spread(t, numbered, next, depth-1)...)
	}
	return out
}

func TestEveryInterleavingOfTwoTriesWithTwoFaults(t *testing.T) {
	for _, numbered := range []bool{false, true} {
		for i, first := range spread(t, numbered, branch{faultsLeft: 2}, 3) {
			t.Run(fmt.Sprintf("numbered %v, branch %d", numbered, i), func(t *testing.T) {
				t.Parallel()
				t.Logf("%d schedules", explore(t, 2, numbered, first))
			})
		}
	}
}

func TestRandomInterleavingsOfFourTriesWithManyFaults(t *testing.T) {
	const schedules = 3000
	random := rand.New(rand.NewPCG(7, 7))
	for i := range schedules {
		w := play(t, 4, i%2 == 0, nil, func(open []int) choice {
			c := choice{try: open[random.IntN(len(open))]}
			if random.IntN(4) == 0 {
				c.fault = fault(random.IntN(int(faults)))
			}
			return c
		})
		if bad := w.violation(); bad != "" {
			t.Fatalf("%s; numbered %v, schedule %v", bad, w.numbered, w.taken)
		}
	}
}

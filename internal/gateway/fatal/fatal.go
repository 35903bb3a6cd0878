// Package fatal keeps what this gateway knows of requests under which targets ended, its
// own observations and those of other gateways, and gives the data path the verdicts.
//
// It owns the ledger (core/gateway/quarantine, which has the rule) under one lock, the log
// lines of what is quarantined, and nothing that must last. The data path
// (internal/gateway/forward) notes ends and answers and asks for verdicts; the exchange
// between gateways (internal/gateway/discovery) passes updates on.
//
// # Usage
//
//	register := fatal.New(fatal.Options{Log: log})
//	register.NoteEnd(request, "i-1", took)
//	if register.Verdict(fingerprint).IsQuarantined() {
//		// refuse the request
//	}
package fatal

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
)

// fromOwn names this gateway's own observations in log lines.
const fromOwn = "own"

// Options configure a Register; zero values are usable.
type Options struct {
	Clock func() time.Time
	Log   *slog.Logger
	// Draw gives numbers that no other gateway draws as well.
	Draw func() uint64
}

// Register holds what is known of requests that end targets. It is safe for concurrent
// use.
type Register struct {
	options  Options
	verdicts atomic.Pointer[quarantine.Verdicts]

	mu     sync.Mutex
	ledger *quarantine.Ledger
	notify func()
}

// New makes a register that knows of no request.
func New(o Options) *Register {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Draw == nil {
		o.Draw = rand.Uint64
	}
	r := &Register{options: o, ledger: quarantine.New(o.Draw()), notify: func() {}}
	r.verdicts.Store(r.ledger.Verdicts())
	return r
}

// OnUpdate has a function called, without any lock held, once there is something that other
// gateways should learn of. It must be set before the register is used by others.
func (r *Register) OnUpdate(notify func()) { r.notify = notify }

// Verdict is that on a request. Its fingerprint is taken only where anything is known: that
// reads its body once more.
func (r *Register) Verdict(print func() fingerprint.Fingerprint) quarantine.Verdict {
	verdicts := r.verdicts.Load()
	if verdicts.IsEmpty() {
		return quarantine.Verdict{}
	}
	return verdicts.For(print())
}

// RecordEnd notes that a target's process ended while it had a request under way, for a time
// then.
func (r *Register) RecordEnd(request quarantine.Request, target string, ran time.Duration) {
	r.apply(func(now time.Time) bool {
		r.ledger.RecordEnd(now, request, quarantine.End{ID: r.options.Draw(), Target: target, Ran: ran})
		return true
	})
}

// RecordAnswer notes that a target has run a request and lives.
func (r *Register) RecordAnswer(print func() fingerprint.Fingerprint) {
	if r.verdicts.Load().IsEmpty() {
		return
	}
	request := quarantine.Request{Fingerprint: print()}
	r.apply(func(now time.Time) bool { return r.ledger.RecordAnswer(now, request) })
}

// RecordRefusal notes that a quarantined request came again.
func (r *Register) RecordRefusal(request quarantine.Request) {
	r.apply(func(now time.Time) bool { return r.ledger.RecordRefusal(now, request) })
}

// apply changes the ledger, and notifies others if that is new.
func (r *Register) apply(change func(now time.Time) (isNew bool)) {
	r.mu.Lock()
	isNew := change(r.options.Clock())
	r.publish(fromOwn)
	r.mu.Unlock()
	if isNew {
		r.notify()
	}
}

// Tick forgets what has lapsed and reports what was held back; it should be called each
// second.
func (r *Register) Tick() { r.apply(func(now time.Time) bool { return r.ledger.Tick(now) }) }

// Merge takes in what another gateway reported and says whether any of it is news here.
func (r *Register) Merge(updates []quarantine.Update, from string) bool {
	if len(updates) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := r.ledger.Merge(r.options.Clock(), updates)
	if isNew {
		r.publish(from)
	}
	return isNew
}

// Since lists what changed since a position, and how far that comes.
func (r *Register) Since(at changes.Position) ([]quarantine.Update, changes.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Since(r.options.Clock(), at)
}

// Position is how far the register has come.
func (r *Register) Position() changes.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Position()
}

// QuarantinedUpdates is all that is known of quarantined requests, with their fingerprints.
func (r *Register) QuarantinedUpdates() (updates []quarantine.Update, prints []string) {
	quarantined := r.verdicts.Load().Quarantined()
	if len(quarantined) == 0 {
		return nil, nil
	}
	contents := map[string]bool{}
	for _, print := range quarantined {
		prints = append(prints, print.String())
		contents[print.Content] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Updates(r.options.Clock(), contents), prints
}

// Quarantined is how many requests are quarantined.
func (r *Register) Quarantined() int { return len(r.verdicts.Load().Quarantined()) }

// publish gives the data path the verdicts, and logs what is quarantined now that was not
// before, and what no longer is; the lock is held.
func (r *Register) publish(from string) {
	before, now := r.verdicts.Load(), r.ledger.Verdicts()
	if before == now {
		return
	}
	r.verdicts.Store(now)
	old, current := before.Quarantined(), now.Quarantined()
	for _, print := range current {
		if !slices.Contains(old, print) {
			verdict := now.For(print)
			r.options.Log.Warn("request quarantined", "content", print.Content, "caller", print.Caller,
				"service", verdict.Service(), "targets", verdict.Targets(), "from", from)
		}
	}
	for _, print := range old {
		if !slices.Contains(current, print) {
			r.options.Log.Info("request no longer quarantined", "content", print.Content, "caller", print.Caller,
				"service", before.For(print).Service(), "from", from)
		}
	}
}

// Package fatal holds what this gateway knows of requests under which targets ended, from its
// own observations and those of other gateways, and provides the verdicts to the data path.
//
// It guards the ledger (core/gateway/quarantine, which has the rule) with a lock and logs
// which requests are quarantined; it stores nothing durably. The data path
// (internal/gateway/forward) records ends and answers and looks up verdicts; the exchange
// between gateways (internal/gateway/discovery) forwards updates.
//
// # Usage
//
//	register := fatal.New(fatal.Options{Log: log})
//	register.RecordEnd(request, "i-1", took)
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

// fromOwn stands for this gateway's own observations in log lines.
const fromOwn = "own"

// Options configure a Register; zero values are usable.
type Options struct {
	Clock func() time.Time
	Log   *slog.Logger
	// Draw returns random numbers that no other gateway draws as well.
	Draw func() uint64
}

// Register holds what is known of requests under which targets end. It is safe for concurrent
// use.
type Register struct {
	options  Options
	verdicts atomic.Pointer[quarantine.Verdicts]

	mu     sync.Mutex
	ledger *quarantine.Ledger
	notify func()
}

// New returns an empty register.
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

// OnUpdate sets a function that is called, without any lock held, when there is something new
// to send to other gateways. It must be set before the register is used by others.
func (r *Register) OnUpdate(notify func()) { r.notify = notify }

// Verdict returns the verdict on a request. The fingerprint is computed only if any request is
// known, since that reads the request's body once more.
func (r *Register) Verdict(print func() fingerprint.Fingerprint) quarantine.Verdict {
	verdicts := r.verdicts.Load()
	if verdicts.IsEmpty() {
		return quarantine.Verdict{}
	}
	return verdicts.For(print())
}

// RecordEnd records that a target's process ended while it had a request under way, and how
// long it had run it.
func (r *Register) RecordEnd(request quarantine.Request, target string, ran time.Duration) {
	r.apply(func(now time.Time) bool {
		r.ledger.RecordEnd(now, request, quarantine.End{ID: r.options.Draw(), Target: target, Ran: ran})
		return true
	})
}

// RecordAnswer records that a target has run a request and is still running.
func (r *Register) RecordAnswer(print func() fingerprint.Fingerprint) {
	if r.verdicts.Load().IsEmpty() {
		return
	}
	request := quarantine.Request{Fingerprint: print()}
	r.apply(func(now time.Time) bool { return r.ledger.RecordAnswer(now, request) })
}

// RecordRefusal records that a quarantined request came again.
func (r *Register) RecordRefusal(request quarantine.Request) {
	r.apply(func(now time.Time) bool { return r.ledger.RecordRefusal(now, request) })
}

// apply applies a change to the ledger, and calls the function of OnUpdate if it is new.
func (r *Register) apply(change func(now time.Time) (isNew bool)) {
	r.mu.Lock()
	isNew := change(r.options.Clock())
	r.publish(fromOwn)
	r.mu.Unlock()
	if isNew {
		r.notify()
	}
}

// Tick drops expired records and releases those whose first end was delayed; it should be
// called each second.
func (r *Register) Tick() { r.apply(func(now time.Time) bool { return r.ledger.Tick(now) }) }

// Merge merges updates from another gateway, and reports whether they change anything.
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

// Since returns the records that changed since a position, and the position up to which they
// go.
func (r *Register) Since(at changes.Position) ([]quarantine.Update, changes.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Since(r.options.Clock(), at)
}

// Position returns the position of the register's latest change.
func (r *Register) Position() changes.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Position()
}

// QuarantinedUpdates returns the records of quarantined requests, with their fingerprints.
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

// Quarantined returns the number of quarantined requests.
func (r *Register) Quarantined() int { return len(r.verdicts.Load().Quarantined()) }

// publish provides the verdicts to the data path, and logs which requests are now quarantined
// and which no longer are; the caller holds the lock.
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

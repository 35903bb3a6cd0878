// Package quota admits or refuses each request of a workspace that has a limit, before it is
// forwarded, and each request to a target that advertises a limit. It asks the home of the
// limit for credit, and serves other gateways as a home. core/gateway/quota contains the rules.
//
// The package owns this gateway's ledger, its credit for each subject and the known limits of
// targets, under one lock, and a connection to each gateway that may be a home. It relies on
// internal/gateway/discovery for the candidates, on the code that communicates with targets for
// their advertised limits, and on other gateways by net/rpc. A home that does not reply is
// skipped until it does. Without any other home, a gateway is its own home, with the small
// share of a limit that belongs to it.
//
// While there are no limits, no messages are sent and no connections opened. While it holds its
// lock, the package calls none of the functions in its options except the clock, the log and
// the metrics.
//
// The files:
//
//	quota.go     admission of requests of a workspace
//	targets.go   advertised limits, and admission of requests to a target
//	updates.go   exchange of advertised limits between gateways
//	link.go      calls and heartbeats to one home
//	homes.go     the background task that keeps a link to each home; detach.go: leaving a home
//	serve.go     serving other gateways; protocol.go: the messages
//
// # Usage
//
//	limiter := quota.New(quota.Options{Self: self, Homes: follower.TopRanked, ...})
//	follower.Serve(listener, limiter.Service())
//	credit, failure := limiter.Admit(ctx, workspace, version)
//	if failure != nil {
//		// refused; nothing was sent
//	}
//	credit.Return() // if the request did not run after all
//
//	limiter.ObserveLimit(target.Life(), quota.SourceProbe, values)
//	credit, ok := limiter.AdmitTarget(ctx, target.Life())
package quota

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/gateway/workspace"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
	"github.com/sprucecrank/sprucecrank/internal/pause"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// maxTries is how many homes are asked for one request if none replies: several may have
	// stopped together.
	maxTries = 4
	// fleetUnknownPause is the wait before another attempt when no home knows the fleet size
	// yet, maxFleetUnknown the number of such attempts per request, and notReadyRetryAfter the
	// delay announced to a client whose request still found none. A gateway that starts
	// discovers the others within a tenth of a second; a fleet that starts knows its size after
	// several tenths.
	fleetUnknownPause  = 20 * time.Millisecond
	maxFleetUnknown    = 10
	notReadyRetryAfter = 300 * time.Millisecond
)

// Options configures a Limiter.
type Options struct {
	Self member.Box
	// Homes returns up to n gateways that rank first, including this one if it does.
	Homes func(n int) []member.Box
	// Ranked returns the same as sightings that may be forwarded, and MergeSightings merges
	// such sightings. Both are nil if homes don't exchange sightings.
	Ranked         func(n int) []peers.Sighting
	MergeSightings func([]peers.Sighting)
	// FleetSize returns the approximate number of gateways.
	FleetSize func() int
	// HasLimits reports whether any workspace has a limit.
	HasLimits func() bool
	// Tolerance is how many requests beyond a limit may be admitted in any window.
	Tolerance float64
	Clock     func() time.Time
	// Draw returns random numbers that no other gateway draws as well.
	Draw func() uint64
	// Metrics may be nil.
	Metrics *metrics.Metrics
	Log     *slog.Logger
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// Limiter admits requests of workspaces that have limits, and requests to targets that
// advertise limits. It is safe for concurrent use.
type Limiter struct {
	options Options
	self    uint32
	// limitedCount is the number of targets with a known limit.
	limitedCount atomic.Int64

	mu      sync.Mutex
	ledger  *quota.Ledger
	credits map[quota.Subject]*quota.LocalCredit
	// targets are those that advertise a limit, or did recently; shared is what gateways
	// exchange of these limits.
	targets map[catalog.Life]*target
	shared  *quota.SharedLimits
	notify  func()
	// links are those to the other homes, by gateway ID. homes are all homes that reply,
	// including this gateway if it is one.
	links map[uint32]*link
	homes []uint32
	// refreshNow triggers an immediate refresh of the homes.
	refreshNow chan struct{}
	// detachedAt is when a home that is no longer used last replied, the latest one of these.
	detachedAt time.Time
	// fleetSize is the approximate number of gateways at fleetSizeAt. It is cached because an
	// estimate iterates over all known gateways, too much for each call to a home.
	fleetSize   int
	fleetSizeAt time.Time
	// sharingUntil is when gateways stop exchanging advertised limits.
	sharingUntil time.Time
	// isHome is set if this gateway may be the home of a subject, linked once links to the
	// homes were opened.
	isHome, linked bool
	// ranked are the gateways that ranked first at rankedAt.
	ranked   []peers.Sighting
	rankedAt time.Time
	// sightedAt is when homes last reported a gateway as one that ranks first, by gateway ID.
	sightedAt map[uint32]time.Time
}

// New returns a limiter that knows no home yet.
func New(options Options) *Limiter {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Draw == nil {
		options.Draw = rand.Uint64
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Ranked == nil {
		options.Ranked, options.MergeSightings = func(int) []peers.Sighting { return nil }, func([]peers.Sighting) {}
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	self := quota.ID(options.Self.ID)
	return &Limiter{
		options: options, self: self, ledger: quota.NewLedger(self, options.Clock(), options.Tolerance),
		credits: map[quota.Subject]*quota.LocalCredit{}, targets: map[catalog.Life]*target{}, shared: quota.NewSharedLimits(options.Draw()), notify: func() {},
		links: map[uint32]*link{}, sightedAt: map[uint32]time.Time{}, refreshNow: make(chan struct{}, 1),
	}
}

// Credit is the credit with which one request was admitted. It is nil for a request without a
// limit.
type Credit struct {
	limiter *Limiter
	subject quota.Subject
}

// Return gives back the credit of a request that did not run and never will.
func (c *Credit) Return() {
	if c == nil {
		return
	}
	r := c.limiter
	r.mu.Lock()
	defer r.mu.Unlock()
	r.localCredit(c.subject).Return(r.options.Clock())
}

// errFleetUnknown means that a home does not know the fleet size yet.
var errFleetUnknown = errors.New("the quota home does not know the fleet size yet")

// Admit decides whether a request of a workspace, with the limit of the given configuration
// version, may proceed. It asks the workspace's home unless there is local credit. The error
// for a refused request tells the client to retry when there may be credit again.
func (l *Limiter) Admit(ctx context.Context, w *workspace.Workspace, version uint64) (*Credit, *verdict.Error) {
	if l == nil || w == nil || !w.Limit().IsSet() {
		return nil, nil
	}
	subject := quota.Subject{Workspace: w.Name()}
	credit := &Credit{limiter: l, subject: subject}
	switch l.use(subject) {
	case quota.Admit:
		return credit, nil
	case quota.Refuse:
		return nil, l.exceededError(w, version)
	}
	l.requireHomes()
	granted, err := l.ask(ctx, newWorkspaceAsk(w, version))
	switch {
	case err != nil:
		l.options.Metrics.QuotaRequested(resultFailed)
		return nil, notReadyError(err)
	case !granted:
		return nil, l.exceededError(w, version)
	}
	return credit, nil
}

// use consumes local credit of a subject, if there is any.
func (l *Limiter) use(s quota.Subject) quota.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.localCredit(s).Use(l.options.Clock())
}

// localCredit returns the credit held for a subject. The lock is held.
func (l *Limiter) localCredit(s quota.Subject) *quota.LocalCredit {
	credit := l.credits[s]
	if credit == nil {
		credit = &quota.LocalCredit{}
		l.credits[s] = credit
	}
	return credit
}

// exceededError returns the error for a request beyond the limit of its workspace.
func (l *Limiter) exceededError(w *workspace.Workspace, version uint64) *verdict.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	credit, limit := l.localCredit(quota.Subject{Workspace: w.Name()}), w.Limit()
	detail := fmt.Sprintf("the workspace %s has used up its quota: %d thousandths of %g a second and %g at once, by version %d",
		w.Name(), credit.Permille(), limit.Rate, limit.Burst, version)
	return verdict.New(verdict.NotRun, verdict.ReasonQuota, detail).WithRetryAfter(credit.PauseLeft(l.options.Clock()))
}

func notReadyError(cause error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "it is not known whether the quota allows the request").
		WithCause(cause).WithRetryAfter(notReadyRetryAfter)
}

// ask asks homes until one of them replies. A home that does not reply is skipped from then on;
// one that does not know the fleet size yet is asked again.
func (l *Limiter) ask(ctx context.Context, a *pendingAsk) (granted bool, err error) {
	for tries, fleetUnknown := 0, 0; tries < maxTries && fleetUnknown < maxFleetUnknown; {
		granted, err = l.askHome(ctx, a)
		switch {
		case err == nil:
			return granted, nil
		case ctx.Err() != nil:
			return false, ctx.Err()
		case errors.Is(err, errFleetUnknown):
			fleetUnknown++
			pause.For(ctx, fleetUnknownPause)
		default:
			tries++
		}
	}
	return false, err
}

// askHome asks the current home of the subject.
func (l *Limiter) askHome(ctx context.Context, a *pendingAsk) (granted bool, err error) {
	if l.lacksLinks() {
		return false, errFleetUnknown
	}
	l.mu.Lock()
	home, ok := quota.Home(a.subject, l.homes)
	link := l.links[home]
	if !ok || home == l.self || link == nil {
		defer l.mu.Unlock()
		return l.askOwnLedger(a)
	}
	l.mu.Unlock()
	return link.ask(ctx, a)
}

// lacksLinks reports whether links to other homes are still to be opened. A gateway in a fleet
// that regarded itself as the home meanwhile would grant a whole limit in addition to theirs.
func (l *Limiter) lacksLinks() bool {
	l.mu.Lock()
	linked := l.linked
	l.mu.Unlock()
	if linked {
		return false
	}
	return slices.ContainsFunc(l.options.Homes(homeCount), func(box member.Box) bool { return quota.ID(box.ID) != l.self })
}

// askOwnLedger takes credit from this gateway's own ledger. The lock is held.
func (l *Limiter) askOwnLedger(a *pendingAsk) (granted bool, err error) {
	now := l.options.Clock()
	l.ledger.Observe(now, l.heartbeat(now))
	credit := l.localCredit(a.subject)
	grant, ok := l.ledger.Grant(now, a.creditRequest(now, credit, a.count))
	if !ok {
		return false, errFleetUnknown
	}
	a.applyNewerLimit(l, now, grant)
	return credit.AddGrant(now, grant, a.count) == a.count, nil
}

// heartbeat returns what this gateway reports about itself. The lock is held.
func (l *Limiter) heartbeat(now time.Time) quota.Heartbeat {
	homes := l.homes
	if len(homes) == 0 {
		homes = []uint32{l.self}
	}
	weight := l.weight()
	return quota.Heartbeat{
		From: l.self, Homes: homes, Counts: weight > 0, Stands: weight, Fleet: l.ledger.Fleet(now),
		Left: l.sinceDetached(now),
	}
}

// sinceDetached returns how long ago a home that is no longer used last replied; 0 if that is
// long ago. The lock is held.
func (l *Limiter) sinceDetached(now time.Time) time.Duration {
	if age := now.Sub(l.detachedAt); age < quota.MemberTTL {
		return age
	}
	return 0
}

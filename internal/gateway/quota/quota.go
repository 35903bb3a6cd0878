// Package quota has each request of a workspace that has a limit admitted, or refused,
// before it goes anywhere, and each send to a target that names one: it asks the home of the
// limit for credit, and answers others as a home. The rules are core/gateway/quota's.
//
// It owns the ledger of this gateway, what it knows of the credit of each subject and of the
// limits that targets name, under one lock, and a connection to each gateway that may be a
// home. It relies on internal/gateway/discovery for which these are, on whoever speaks with
// targets for what these name, and on other gateways by net/rpc. A home that does not answer
// is passed over until it does; without any, a gateway is its own home, with the small part
// of a limit that falls to it.
//
// Nothing is said, and no connection made, while there is no limit. It calls nothing that it
// is given while it holds its lock, but the clock, the log and the metrics.
//
// The jobs, each with a file:
//
//	quota.go     admitting a request of a workspace
//	targets.go   what targets name, and admitting a send to one
//	updates.go   what gateways exchange of limits that targets name
//	link.go      asking one home, and telling it that this gateway is there
//	homes.go     the duty of keeping a link to each home; part.go: leaving one
//	serve.go     answering other gateways; protocol.go: what gateways say to each other
//
// # Usage
//
//	register := quota.New(quota.Options{Self: self, Homes: follower.First, ...})
//	follower.Serve(listener, register.Service())
//	credit, failure := register.Admit(ctx, workspace, version)
//	if failure != nil {
//		// refused; nothing was sent
//	}
//	credit.Return() // if the request did not run after all
//
//	register.NoteLimit(target.Life(), quota.ViaProbe, limit)
//	credit, ok := register.AdmitTarget(ctx, target.Life())
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
	// maxTries is how many homes one request asks of which none answers: some may have gone
	// together.
	maxTries = 4
	// unsettledPause is the wait before asking again where no home knows yet how large the
	// fleet is, maxUnsettled how often that is done for one request, and notReadyRetryAfter
	// when a client should come back that found none. A gateway that starts finds the others in
	// a tenth of a second, a fleet that starts knows itself after some tenths.
	unsettledPause     = 20 * time.Millisecond
	maxUnsettled       = 10
	notReadyRetryAfter = 300 * time.Millisecond
)

// Options configure a Register.
type Options struct {
	Self member.Box
	// Homes gives up to n gateways that rank first, this one among them if it does.
	Homes func(n int) []member.Box
	// Ranked gives the same as sightings that may be passed on, and Sighted takes such in; nil
	// where homes pass none on.
	Ranked  func(n int) []peers.Sighting
	Sighted func([]peers.Sighting)
	// Gateways is about how many gateways there are.
	Gateways func() int
	// HasLimits says whether any workspace has a limit.
	HasLimits func() bool
	// Tolerance is how many requests more than a limit allows may be admitted in any window.
	Tolerance float64
	Clock     func() time.Time
	// Draw gives numbers that no other gateway draws as well.
	Draw func() uint64
	// Metrics may be nil.
	Metrics *metrics.Metrics
	Log     *slog.Logger
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// Register admits the requests of workspaces that have limits.
type Register struct {
	options Options
	self    uint32
	// limited is how many targets are known to name limits.
	limited atomic.Int64

	mu        sync.Mutex
	ledger    *quota.Ledger
	borrowers map[quota.Subject]*quota.LocalCredit
	// targets are those that name limits, or did lately, and board what gateways exchange
	// other of that.
	targets map[catalog.Life]*target
	board   *quota.SharedLimits
	notify  func()
	// links are those to the other homes, by their ids in messages; homes are all of them
	// that answer.
	links map[uint32]*link
	homes []uint32
	// needed has the homes looked for at once.
	needed chan struct{}
	// left is when the latest home last answered to which this gateway does not turn any more.
	left time.Time
	// size is about how many gateways there were at sizedAt: to guess it takes a look through
	// all that are known, too much for each question.
	size    int
	sizedAt time.Time
	// shareUntil is until when gateways share limits that targets name.
	shareUntil time.Time
	// isHome says that this gateway may be the home of a subject, and linked that links to the
	// homes were made.
	isHome, linked bool
	// ranked are the gateways that rank first, as they were known at a moment.
	ranked   []peers.Sighting
	rankedAt time.Time
	// namedAt is when homes last named gateways that rank first, by the ids of these.
	namedAt map[uint32]time.Time
}

// New makes a register that knows no home.
func New(o Options) *Register {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Draw == nil {
		o.Draw = rand.Uint64
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Ranked == nil {
		o.Ranked, o.Sighted = func(int) []peers.Sighting { return nil }, func([]peers.Sighting) {}
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	self := quota.ID(o.Self.ID)
	return &Register{
		options: o, self: self, ledger: quota.NewLedger(self, o.Clock(), o.Tolerance),
		borrowers: map[quota.Subject]*quota.LocalCredit{}, targets: map[catalog.Life]*target{}, board: quota.NewSharedLimits(o.Draw()), notify: func() {},
		links: map[uint32]*link{}, namedAt: map[uint32]time.Time{}, needed: make(chan struct{}, 1),
	}
}

// Credit is what one request was admitted by. A nil Credit is that of a request without a
// limit.
type Credit struct {
	register *Register
	subject  quota.Subject
}

// Return gives the credit back of a request that did not run and never will.
func (c *Credit) Return() {
	if c == nil {
		return
	}
	r := c.register
	r.mu.Lock()
	defer r.mu.Unlock()
	r.borrower(c.subject).Return(r.options.Clock())
}

// errUnsettled says that a home does not know yet how large the fleet is.
var errUnsettled = errors.New("the home does not know the fleet yet")

// Admit says whether a request of a workspace, whose limit is that of a version of the
// configuration, may go on. It asks the workspace's home unless there is credit here. A
// refusal says when to come back: once there may be credit again.
func (r *Register) Admit(ctx context.Context, w *workspace.Workspace, version uint64) (*Credit, *verdict.Error) {
	if r == nil || w == nil || !w.Limit().IsSet() {
		return nil, nil
	}
	subject := quota.Subject{Workspace: w.Name()}
	credit := &Credit{register: r, subject: subject}
	switch r.use(subject) {
	case quota.Admit:
		return credit, nil
	case quota.Refuse:
		return nil, r.refusal(w, version)
	}
	r.need()
	granted, err := r.ask(ctx, newAsk(w, version))
	switch {
	case err != nil:
		r.options.Metrics.QuotaAsked(resultFailed)
		return nil, notKnown(err)
	case !granted:
		return nil, r.refusal(w, version)
	}
	return credit, nil
}

// use asks the borrower of a subject.
func (r *Register) use(s quota.Subject) quota.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.borrower(s).Use(r.options.Clock())
}

// borrower is that of a subject; the lock is held.
func (r *Register) borrower(s quota.Subject) *quota.LocalCredit {
	b := r.borrowers[s]
	if b == nil {
		b = &quota.LocalCredit{}
		r.borrowers[s] = b
	}
	return b
}

// refusal is that of a request beyond the limit of its workspace.
func (r *Register) refusal(w *workspace.Workspace, version uint64) *verdict.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, limit := r.borrower(quota.Subject{Workspace: w.Name()}), w.Limit()
	detail := fmt.Sprintf("the workspace %s has used up its quota: %d thousandths of %g a second and %g at once, by version %d",
		w.Name(), b.Permille(), limit.Rate, limit.Burst, version)
	return verdict.New(verdict.NotRun, verdict.ReasonQuota, detail).WithRetryAfter(b.PauseLeft(r.options.Clock()))
}

func notKnown(cause error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "it is not known whether the quota allows the request").
		WithCause(cause).WithRetryAfter(notReadyRetryAfter)
}

// ask asks homes until one answers whether a request is granted. A home that does not
// answer is passed over from then on, and one that does not know the fleet yet is asked again.
func (r *Register) ask(ctx context.Context, a *ask) (granted bool, err error) {
	for tries, unsettled := 0, 0; tries < maxTries && unsettled < maxUnsettled; {
		granted, err = r.askHome(ctx, a)
		switch {
		case err == nil:
			return granted, nil
		case ctx.Err() != nil:
			return false, ctx.Err()
		case errors.Is(err, errUnsettled):
			unsettled++
			pause.For(ctx, unsettledPause)
		default:
			tries++
		}
	}
	return false, err
}

// askHome asks the subject's home as it is known now.
func (r *Register) askHome(ctx context.Context, a *ask) (granted bool, err error) {
	if r.isUnlinked() {
		return false, errUnsettled
	}
	r.mu.Lock()
	home, ok := quota.Home(a.subject, r.homes)
	l := r.links[home]
	if !ok || home == r.self || l == nil {
		defer r.mu.Unlock()
		return r.askSelf(a)
	}
	r.mu.Unlock()
	return l.ask(ctx, a)
}

// isUnlinked says whether links to other homes have yet to be made. A gateway among others
// that took itself for the home meanwhile would give out a whole limit beside theirs.
func (r *Register) isUnlinked() bool {
	r.mu.Lock()
	linked := r.linked
	r.mu.Unlock()
	if linked {
		return false
	}
	return slices.ContainsFunc(r.options.Homes(homesCount), func(box member.Box) bool { return quota.ID(box.ID) != r.self })
}

// askSelf takes credit from the own ledger; the lock is held.
func (r *Register) askSelf(a *ask) (granted bool, err error) {
	now := r.options.Clock()
	r.ledger.Observe(now, r.standing(now))
	b := r.borrower(a.subject)
	grant, ok := r.ledger.Grant(now, a.want(now, b, a.count))
	if !ok {
		return false, errUnsettled
	}
	a.observe(r, now, grant)
	return b.AddGrant(now, grant, a.count) == a.count, nil
}

// standing is what this gateway says of itself; the lock is held.
func (r *Register) standing(now time.Time) quota.Heartbeat {
	homes := r.homes
	if len(homes) == 0 {
		homes = []uint32{r.self}
	}
	stands := r.stands()
	return quota.Heartbeat{
		From: r.self, Homes: homes, Counts: stands > 0, Stands: stands, Fleet: r.ledger.Fleet(now),
		Left: r.leftFor(now),
	}
}

// leftFor is how long ago a home last answered to which this gateway does not turn any more;
// 0 where that is long ago. The lock is held.
func (r *Register) leftFor(now time.Time) time.Duration {
	if age := now.Sub(r.left); age < quota.MemberTTL {
		return age
	}
	return 0
}

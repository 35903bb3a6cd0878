// Package grant acquires slots for the requests of a box and releases them. It
// requests a slot from the home of the service. If the home does not respond, it
// tries the next one, and finally the box's own ledger.
//
// It owns the slots that its box holds and reports them to a new home. It relies on
// homes by box/peer and, if there are none, on the box's own ledger.
//
// # Usage
//
//	slot, failure := broker.Acquire(ctx, grant.Request{Service: "preview", Kind: kind})
//	defer broker.Release(slot, ledger.Outcome{Result: health.OK, Took: took})
package grant

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/sprucecrank/sprucecrank/box/peer"
	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/box/ring"
	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/box/home"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// maxHomes is how many homes are tried before the own ledger decides.
	maxHomes        = 3
	returnQueueSize = 8192
	maxReturnBatch  = 64
	// recentUse is how long a home counts as recently used after the box last requested
	// a slot from it. Such a home receives the list of grants that the box holds, even
	// if the list is empty.
	recentUse = 5 * time.Second

	reconcileTimeout = time.Second
)

// Request describes a request that needs a slot.
type Request struct {
	Service *policy.Service
	Kind    *policy.Kind
	// Deadline is when the client no longer needs the answer.
	Deadline time.Time
	// Avoid lists targets of which no slot must be granted, such as those that the
	// request was already sent to.
	Avoid []string
	// SpareOnly requests a slot only if one is free, without queueing.
	SpareOnly bool
}

// Slot is a granted slot of a target.
type Slot struct {
	id         string
	service    string
	target     string
	home       string
	hedgeAfter time.Duration
	waited     time.Duration
	at         time.Time
}

// Target is the address of the target.
func (s *Slot) Target() string { return s.target }

// Home is the box that granted the slot.
func (s *Slot) Home() string { return s.home }

// HedgeAfter is the p95 of the kind's recent durations; 0 when too few were measured.
func (s *Slot) HedgeAfter() time.Duration { return s.hedgeAfter }

// Waited is the time in the home's queue.
func (s *Slot) Waited() time.Duration { return s.waited }

// Options configure a Broker.
type Options struct {
	Members *Members
	Home    *home.Home
	Clock   func() time.Time
	Log     *slog.Logger
}

// Broker acquires and releases slots for a box. It is safe for concurrent use.
type Broker struct {
	options Options
	returns *ring.Ring[pendingReturn]
	mu      sync.Mutex
	held    map[string]map[string]heldSlot // by service and grant
	homes   map[string]usedHome            // by service
}

type pendingReturn struct {
	home     string
	returned peer.Returned
}

type heldSlot struct {
	ledger.HeldGrant
	at time.Time
}

type usedHome struct {
	id    string
	start uint64
	at    time.Time
}

// New returns a broker that holds no slots.
func New(o Options) *Broker {
	return &Broker{
		options: o,
		returns: ring.New[pendingReturn](returnQueueSize),
		held:    map[string]map[string]heldSlot{},
		homes:   map[string]usedHome{},
	}
}

// Acquire waits for a slot. Its failure always has the verdict NotRun. A slot of a
// target that this box knows to be leaving is released with that information, and
// a slot is requested again. If the home grants the same target once more, it knows
// of a new incarnation, and the slot is used.
func (b *Broker) Acquire(ctx context.Context, r Request) (*Slot, *verdict.Error) {
	for {
		slot, failure := b.acquire(ctx, r)
		if failure != nil || slot.home == b.options.Members.Self().ID {
			return slot, failure
		}
		start, leaving := b.options.Home.LeavingStart(r.Service.Name, slot.target)
		if !leaving || slices.Contains(r.Avoid, slot.target) {
			return slot, nil
		}
		b.Release(slot, ledger.Outcome{Result: health.Unused, Leaving: true, Start: start})
		r.Avoid = append(slices.Clone(r.Avoid), slot.target)
	}
}

func (b *Broker) acquire(ctx context.Context, r Request) (*Slot, *verdict.Error) {
	for range maxHomes {
		homeBox := b.HomeOf(r.Service)
		if homeBox.ID == b.options.Members.Self().ID {
			break
		}
		slot, failure, ok := b.acquireFromHome(ctx, homeBox, r)
		if ok {
			return slot, failure
		}
	}
	return b.acquireLocally(ctx, r)
}

// HomeOf determines the home of a service, preferably in the hall with most of its
// targets.
func (b *Broker) HomeOf(s *policy.Service) member.Box {
	return b.options.Members.Home(s.Name, s.MainHall())
}

// acquireFromHome requests a slot from another box; ok is false when the next home
// should be tried.
func (b *Broker) acquireFromHome(ctx context.Context, homeBox member.Box, r Request) (*Slot, *verdict.Error, bool) {
	b.recordHome(r.Service.Name, homeBox)
	id := uuid.NewString()
	var reply peer.AskReply
	err := b.options.Members.Link(homeBox).Call(ctx, peer.MethodAsk, b.askArgs(id, r), &reply)
	switch {
	case ctx.Err() != nil:
		b.returnUnused(homeBox.ID, r.Service.Name, id)
		return nil, contextFailure(ctx), true
	case err != nil:
		b.options.Log.Warn("home does not answer", "service", r.Service.Name, "home", homeBox.ID, "error", err)
		b.options.Members.MarkUnresponsive(homeBox.ID)
		b.returnUnused(homeBox.ID, r.Service.Name, id)
		return nil, nil, false
	case reply.Reason == verdict.ReasonMoved:
		b.options.Members.MarkLeaving(homeBox.ID)
		return nil, nil, false
	case reply.Reason == verdict.ReasonNoService:
		return nil, nil, false
	}
	d := home.Decision{
		Decision: ledger.Decision{
			State: reply.State, Target: reply.Target, HedgeAfter: reply.HedgeAfter,
			Reason: reply.Reason, RetryAfter: reply.RetryAfter,
		},
		Waited: reply.Waited,
	}
	slot, failure := b.resolve(homeBox.ID, id, r, d)
	return slot, failure, true
}

func (b *Broker) askArgs(id string, r Request) peer.AskArgs {
	return peer.AskArgs{
		Service: r.Service.Name, ID: id,
		Box: b.options.Members.Self().ID, Hall: b.options.Members.Self().Hall,
		Kind: r.Kind.Name, Weight: r.Kind.Weight,
		Remaining:   r.Deadline.Sub(b.options.Clock()),
		LongestWait: r.Kind.LongestWait(), Usual: r.Kind.Usual(),
		Avoid: r.Avoid, SpareOnly: r.SpareOnly, Count: 1,
	}
}

func (b *Broker) acquireLocally(ctx context.Context, r Request) (*Slot, *verdict.Error) {
	id := uuid.NewString()
	args := b.askArgs(id, r)
	d := b.options.Home.Ask(ctx, r.Service.Name, SlotRequest(b.options.Clock(), args))
	if ctx.Err() != nil {
		b.options.Home.Return(r.Service.Name, id, ledger.Outcome{Result: health.Unused})
		return nil, contextFailure(ctx)
	}
	return b.resolve(b.options.Members.Self().ID, id, r, d)
}

// SlotRequest converts a peer's AskArgs to the ledger's form.
func SlotRequest(now time.Time, a peer.AskArgs) ledger.SlotRequest {
	return ledger.SlotRequest{
		ID: a.ID, Box: a.Box, Hall: a.Hall, Kind: a.Kind, Weight: a.Weight,
		Deadline: now.Add(a.Remaining), LongestWait: a.LongestWait, Usual: a.Usual,
		Avoid: a.Avoid, SpareOnly: a.SpareOnly,
	}
}

// resolve converts a decision to a slot or a failure.
func (b *Broker) resolve(homeID, id string, r Request, d home.Decision) (*Slot, *verdict.Error) {
	if d.State != ledger.Granted {
		return nil, refusal(d)
	}
	slot := &Slot{
		id: id, service: r.Service.Name, target: d.Target, home: homeID,
		hedgeAfter: d.HedgeAfter, waited: d.Waited, at: b.options.Clock(),
	}
	b.addHeld(slot, r.Kind.Name)
	return slot, nil
}

var refusals = map[verdict.Reason]string{
	verdict.ReasonNoTarget:   "no target of the service takes work now",
	verdict.ReasonQueueFull:  "the service's queue is full",
	verdict.ReasonTooLate:    "the answer would come after the deadline",
	verdict.ReasonNoService:  "the service is not in force here",
	verdict.ReasonMoved:      "this box is stopping",
	verdict.ReasonClientGone: "the client hung up",
}

func refusal(d home.Decision) *verdict.Error {
	return verdict.New(verdict.NotRun, d.Reason, refusals[d.Reason]).WithRetryAfter(d.RetryAfter)
}

func contextFailure(ctx context.Context) *verdict.Error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "no target was free before the deadline").WithRetryAfter(time.Second)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonClientGone, "the client hung up")
}

package quota

import (
	"context"
	"errors"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/gateway/workspace"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/rpclink"
)

const (
	// askTimeout bounds the reply time of a home. A gateway that has used up its CPU quota is
	// throttled for up to a tenth of a second.
	askTimeout = 150 * time.Millisecond
	// maxQueuedAsks bounds the number of requests that wait for one home.
	maxQueuedAsks = 256
)

// Results of a call to a home, as metrics name them.
const (
	resultAnswered = "answered"
	resultFailed   = "failed"
)

var (
	errNoReply   = errors.New("the quota home did not reply")
	errQueueFull = errors.New("too many requests are waiting for the quota home")
)

// pendingAsk is a request that waits for credit.
type pendingAsk struct {
	subject quota.Subject
	// limit and version are set for a workspace, target is set for a target.
	limit   quota.Limit
	version uint64
	target  *target
	// count is 1, or 0 if no request waits and only a target's limit is to be sent.
	count int
	// result has a buffer for the single result.
	result chan askResult
}

// askResult is the result of a pendingAsk.
type askResult struct {
	granted bool
	err     error
}

func newWorkspaceAsk(w *workspace.Workspace, version uint64) *pendingAsk {
	return &pendingAsk{subject: quota.Subject{Workspace: w.Name()}, limit: w.Limit(), version: version, count: 1}
}

// newTargetAsk returns a pendingAsk for count requests to a target.
func newTargetAsk(t *target, count int) *pendingAsk {
	return &pendingAsk{subject: t.subject, target: t, count: count}
}

// creditRequest returns the credit request for a number of waiting requests of the same
// subject. Refused requests to a target are not added, since they go to other targets and don't
// come back. The limiter's lock is held.
func (a *pendingAsk) creditRequest(now time.Time, credit *quota.LocalCredit, waiting int) quota.CreditRequest {
	if a.target == nil {
		return quota.CreditRequest{Workspace: a.subject.Workspace, Limit: a.limit, Version: a.version, Count: credit.Demand(waiting)}
	}
	known := &a.target.known
	return quota.CreditRequest{Target: a.subject.Target, Limit: known.Advertised().Limit(), Age: known.Age(now), Count: waiting}
}

// applyNewerLimit applies a more recent limit of the target that a home reported. The limiter's
// lock is held.
func (a *pendingAsk) applyNewerLimit(limiter *Limiter, now time.Time, g quota.Grant) {
	if a.target != nil && g.Newer {
		limiter.applyLimit(a.target, now.Add(-g.Age), quota.Advertised{Rate: g.Rate}, quota.SourceHome)
	}
}

// link is the connection to one home. While a call is in progress, further requests queue for
// the next one.
type link struct {
	limiter *Limiter
	box     member.Box
	rpc     *rpclink.Link
	queue   chan *pendingAsk
	stop    context.CancelFunc
	// heartbeatNow triggers a heartbeat, to learn whether the home still replies.
	heartbeatNow chan struct{}
	// done is closed once the link serves no more requests.
	done chan struct{}
	// failed is set if the home did not reply last time, refused if nothing listens at its
	// address any more; repliedAt is the time of its last reply. The limiter's lock guards
	// them.
	failed, refused bool
	repliedAt       time.Time
	// newHomes are the homes that this gateway uses instead of this one while it detaches from
	// it, and detached is closed once this home has received them. The limiter's lock guards
	// them.
	newHomes []uint32
	detached chan struct{}
}

// newLink opens a link to a home. The link runs until ctx ends.
func newLink(ctx context.Context, limiter *Limiter, box member.Box) *link {
	l := &link{limiter: limiter, box: box, rpc: rpclink.New(limiter.options.Dial, askTimeout), queue: make(chan *pendingAsk, maxQueuedAsks), heartbeatNow: make(chan struct{}, 1), done: make(chan struct{})}
	ctx, l.stop = context.WithCancel(ctx)
	go l.run(ctx)
	return l
}

// ask queues a request for the next call and waits for its result.
func (l *link) ask(ctx context.Context, a *pendingAsk) (granted bool, err error) {
	a.result = make(chan askResult, 1)
	select {
	case l.queue <- a:
	default:
		return false, errQueueFull
	}
	select {
	case result := <-a.result:
		return result.granted, result.err
	case <-l.done:
		return false, errNoReply
	case <-ctx.Done():
		go l.returnCredit(a)
		return false, ctx.Err()
	}
}

// returnCredit waits for the result of a request that was abandoned, and makes its credit
// available to others.
func (l *link) returnCredit(a *pendingAsk) {
	select {
	case result := <-a.result:
		if result.granted {
			(&Credit{limiter: l.limiter, subject: a.subject}).Return()
		}
	case <-l.done:
	}
}

// run calls the home for queued requests, and sends it heartbeats.
func (l *link) run(ctx context.Context) {
	defer l.close()
	if l.limiter.needsHeartbeat(l) {
		l.send(ctx, nil)
	}
	for {
		heartbeat := time.NewTimer(quota.HeartbeatEvery)
		select {
		case <-ctx.Done():
			heartbeat.Stop()
			return
		case first := <-l.queue:
			l.send(ctx, l.drainQueue(first))
		case <-l.heartbeatNow:
			l.send(ctx, nil)
		case <-heartbeat.C:
			if l.limiter.needsHeartbeat(l) {
				l.send(ctx, nil)
			}
		}
		heartbeat.Stop()
	}
}

// close closes the connection and releases the requests that still wait.
func (l *link) close() {
	l.rpc.Close()
	close(l.done)
}

// drainQueue appends the queued requests to asks.
func (l *link) drainQueue(asks ...*pendingAsk) []*pendingAsk {
	for {
		select {
		case a := <-l.queue:
			asks = append(asks, a)
		default:
			return asks
		}
	}
}

// send calls the home for some requests, possibly none, and answers them.
func (l *link) send(ctx context.Context, asks []*pendingAsk) {
	bySubject := map[quota.Subject][]*pendingAsk{}
	for _, a := range asks {
		bySubject[a.subject] = append(bySubject[a.subject], a)
	}
	args := l.limiter.askArgs(l, bySubject)
	reply, err := rpclink.Call[AskReply](ctx, l.rpc, l.box.Peer, methodAsk, args)
	if err == nil && len(reply.Grants) != len(args.Wants) {
		err = errFleetUnknown
	}
	l.limiter.handleReply(l, args, reply, err, bySubject)
	if err == nil && len(reply.First) > 0 {
		l.limiter.mergeSightings(reply.First)
	}
}

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
	// askWithin bounds how long a home may take to answer: gateways whose share of a core is
	// spent stand still for up to a tenth of a second.
	askWithin = 150 * time.Millisecond
	// keptAsks bounds the questions that wait for one home.
	keptAsks = 256
)

// Results of a question to a home, as metrics name them.
const (
	resultAnswered = "answered"
	resultFailed   = "failed"
)

var (
	errSilent  = errors.New("the home did not answer")
	errCrowded = errors.New("too many requests wait for the home's answer")
)

// ask is one request that waits for credit.
type ask struct {
	subject quota.Subject
	// limit and version are those of a workspace, target is the target.
	limit   quota.Limit
	version uint64
	target  *target
	// count is 1, or 0 where a target's limit is to be sent and no request waits.
	count int
	// answer has room for the one answer.
	answer chan answer
}

// answer is what came of an ask.
type answer struct {
	granted bool
	err     error
}

func newAsk(w *workspace.Workspace, version uint64) *ask {
	return &ask{subject: quota.Subject{Workspace: w.Name()}, limit: w.Limit(), version: version, count: 1}
}

// newTargetAsk asks for a number of requests to a target.
func newTargetAsk(t *target, count int) *ask {
	return &ask{subject: t.subject, target: t, count: count}
}

// want is what to ask for, for a number of requests like it that wait; the register's lock is
// held. Requests that were refused go to other targets and don't come back to this one.
func (a *ask) want(now time.Time, b *quota.LocalCredit, waiting int) quota.CreditRequest {
	if a.target == nil {
		return quota.CreditRequest{Workspace: a.subject.Workspace, Limit: a.limit, Version: a.version, Count: b.Demand(waiting)}
	}
	named := &a.target.named
	return quota.CreditRequest{Target: a.subject.Target, Limit: named.Advertised().Limit(), Age: named.Age(now), Count: waiting}
}

// observe takes in what a home knows of the target's limit that is younger; the register's lock
// is held.
func (a *ask) observe(r *Register, now time.Time, g quota.Grant) {
	if a.target != nil && g.Newer {
		r.takeLimit(a.target, now.Add(-g.Age), quota.Advertised{Rate: g.Rate}, quota.SourceHome)
	}
}

// link is the way to one home. While one question is under way, requests that come gather
// for the next.
type link struct {
	register *Register
	box      member.Box
	rpc      *rpclink.Link
	asks     chan *ask
	stop     context.CancelFunc
	// hurry asks whether the home still answers.
	hurry chan struct{}
	// ended is closed once nobody takes questions any more.
	ended chan struct{}
	// failed says that the home did not answer last time, refused that nobody listens there any
	// more, and heard is when it last answered. The register's lock guards them.
	failed, refused bool
	observed        time.Time
	// parting are the homes that this gateway turns to instead of this one, once it leaves it,
	// and parted is closed once this one has heard so. The register's lock guards them.
	parting []uint32
	parted  chan struct{}
}

// newLink makes the link to a home and starts its work, which goes on until ctx ends.
func newLink(ctx context.Context, r *Register, box member.Box) *link {
	l := &link{register: r, box: box, rpc: rpclink.New(r.options.Dial, askWithin), asks: make(chan *ask, keptAsks), hurry: make(chan struct{}, 1), ended: make(chan struct{})}
	ctx, l.stop = context.WithCancel(ctx)
	go l.run(ctx)
	return l
}

// ask has a request take part in the next question, and waits for the answer.
func (l *link) ask(ctx context.Context, a *ask) (granted bool, err error) {
	a.answer = make(chan answer, 1)
	select {
	case l.asks <- a:
	default:
		return false, errCrowded
	}
	select {
	case got := <-a.answer:
		return got.granted, got.err
	case <-l.ended:
		return false, errSilent
	case <-ctx.Done():
		go l.giveBack(a)
		return false, ctx.Err()
	}
}

// giveBack waits for the answer to a request that is gone, and gives its credit to another.
func (l *link) giveBack(a *ask) {
	select {
	case got := <-a.answer:
		if got.granted {
			(&Credit{register: l.register, subject: a.subject}).Return()
		}
	case <-l.ended:
	}
}

// run asks for what waits, and sends the home heartbeats.
func (l *link) run(ctx context.Context) {
	defer l.end()
	if l.register.beats(l) {
		l.settle(ctx, nil)
	}
	for {
		beat := time.NewTimer(quota.HeartbeatEvery)
		select {
		case <-ctx.Done():
			beat.Stop()
			return
		case first := <-l.asks:
			l.settle(ctx, l.gather(first))
		case <-l.hurry:
			l.settle(ctx, nil)
		case <-beat.C:
			if l.register.beats(l) {
				l.settle(ctx, nil)
			}
		}
		beat.Stop()
	}
}

// end lets go of what still waits.
func (l *link) end() {
	l.rpc.Close()
	close(l.ended)
}

// gather takes what waits, behind what was taken already.
func (l *link) gather(asks ...*ask) []*ask {
	for {
		select {
		case a := <-l.asks:
			asks = append(asks, a)
		default:
			return asks
		}
	}
}

// settle asks the home for all of some requests and answers them.
func (l *link) settle(ctx context.Context, asks []*ask) {
	bySubject := map[quota.Subject][]*ask{}
	for _, a := range asks {
		bySubject[a.subject] = append(bySubject[a.subject], a)
	}
	args := l.register.question(l, bySubject)
	reply, err := rpclink.Call[AskReply](ctx, l.rpc, l.box.Peer, methodAsk, args)
	if err == nil && len(reply.Grants) != len(args.Wants) {
		err = errUnsettled
	}
	l.register.take(l, args, reply, err, bySubject)
	if err == nil && len(reply.First) > 0 {
		l.register.hearFirst(reply.First)
	}
}

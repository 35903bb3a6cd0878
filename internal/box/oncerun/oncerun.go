// Package oncerun carries out operations that run at most once: it keeps each
// one's record in the platform and follows the steps of package once.
//
// It owns no record: the object API does. Without it an operation is refused at once.
// Answers that could not be recorded wait in a bounded ring.
//
// # Usage
//
//	runner := oncerun.New(oncerun.Options{Objects: client.Objects(), Box: "box-1", Clock: time.Now, Log: log})
//	result, failure := runner.Run(ctx, operation)
package oncerun

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/sprucecrank/sprucecrank/box/ring"
	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/core/box/once"
	"github.com/sprucecrank/sprucecrank/internal/box/grant"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// claimPatience bounds the first write: a platform that is down is
	// answered at once.
	claimPatience = 300 * time.Millisecond
	movePatience  = time.Second
	donePatience  = 250 * time.Millisecond
	// mostTargets is how many targets are tried that never began the request.
	mostTargets = 3
	// keepTrying is how long an answer that could not be recorded is kept.
	keepTrying  = 5 * time.Minute
	backlogSize = 256
	// holdSlack lets a hold outlive the deadline of its try a little.
	holdSlack = time.Second
	// MostKept is the greatest body that a record keeps, in bytes.
	MostKept     = 512 << 10
	platformWait = 2 * time.Second
)

// Operation is one request that runs at most once.
type Operation struct {
	// Key is the name of the record in the platform.
	Key         string
	Fingerprint string
	// Attempt is the client's number of this try; 0 when it has none.
	Attempt  int
	Deadline time.Time
	// Acquire gets a slot at a target that is not in avoid.
	Acquire func(ctx context.Context, avoid []string) (*grant.Slot, *verdict.Error)
	// Send sends the request once and reads the whole answer.
	Send func(ctx context.Context, slot *grant.Slot) (*once.Answer, ledger.Outcome, *verdict.Error)
	// Release gives a slot back.
	Release func(*grant.Slot, ledger.Outcome)
}

// Result is the answer of an operation.
type Result struct {
	Answer *once.Answer
	// Replayed says that the answer comes from the record of an earlier try.
	Replayed bool
}

// Options configure a Runner.
type Options struct {
	Objects store.Objects
	Box     string
	Clock   func() time.Time
	Log     *slog.Logger
}

// Runner runs operations. It is safe for concurrent use.
type Runner struct {
	options Options
	running sync.WaitGroup
	backlog *ring.Ring[move]
}

// New makes a runner.
func New(o Options) *Runner {
	return &Runner{options: o, backlog: ring.New[move](backlogSize)}
}

// attempt is one try of an operation with its own record.
type attempt struct {
	Operation
	runner  *Runner
	record  once.Record
	version uint64
}

// move is a change of a record that still has to be written.
type move struct {
	key     string
	record  once.Record
	version uint64
	until   time.Time
}

// Run carries an operation out. Once it was sent it goes on to its end even if
// the client hangs up, so that a repeat finds the answer.
func (r *Runner) Run(ctx context.Context, op Operation) (Result, *verdict.Error) {
	a := &attempt{Operation: op, runner: r}
	result, failure := a.claim(ctx)
	if failure != nil || result.Replayed {
		return result, failure
	}
	r.running.Add(1)
	defer r.running.Done()
	return a.carryOut(ctx)
}

func (a *attempt) now() time.Time { return a.runner.options.Clock() }

// claim makes the record of this try, or answers from another's.
func (a *attempt) claim(ctx context.Context) (Result, *verdict.Error) {
	found, err := a.find(ctx)
	if err != nil {
		return Result{}, notReachable(err)
	}
	step := once.Begin(a.now(), found, a.Fingerprint, a.Attempt)
	if step.Action != once.Claim {
		return resultOf(step)
	}
	a.record = once.Record{
		State: once.Held, Nonce: uuid.NewString(), Box: a.runner.options.Box,
		Fingerprint: a.Fingerprint, At: a.now(), Until: a.Deadline.Add(holdSlack),
		Attempt: a.Attempt,
	}
	if found.Record != nil {
		a.record.Attempt = max(a.record.Attempt, found.Record.Attempt)
	}
	a.version = step.Version
	return a.write(ctx, a.record, claimPatience)
}

func (a *attempt) find(ctx context.Context) (once.Found, error) {
	ctx, cancel := context.WithTimeout(ctx, platformWait)
	defer cancel()
	object, err := a.runner.options.Objects.Get(ctx, a.Key)
	if errors.Is(err, store.ErrNotFound) {
		return once.Found{}, nil
	}
	if err != nil {
		return once.Found{}, err
	}
	record, err := decode(object)
	if err != nil {
		return once.Found{}, err
	}
	return once.Found{Record: &record, Version: object.Version}, nil
}

func decode(o store.Object) (once.Record, error) {
	var record once.Record
	err := json.Unmarshal(o.Value, &record)
	return record, err
}

// write moves the record by a conditional update. Its result or failure is set
// when this try must stop.
func (a *attempt) write(ctx context.Context, next once.Record, patience time.Duration) (Result, *verdict.Error) {
	version, err := a.runner.put(ctx, move{key: a.Key, record: next, version: a.version}, patience)
	if err == nil {
		a.record = next
		a.version = version
		return Result{}, nil
	}
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return Result{}, notReachable(err)
	}
	other, decodeErr := decode(conflict.Current())
	if decodeErr != nil {
		return Result{}, notReachable(decodeErr)
	}
	return resultOf(once.ResolveConflict(a.now(), other, a.Fingerprint))
}

func (r *Runner) put(ctx context.Context, m move, patience time.Duration) (uint64, error) {
	raw, err := json.Marshal(m.record)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	mine := func(o store.Object) bool {
		found, err := decode(o)
		return err == nil && found.Nonce == m.record.Nonce && found.State == m.record.State
	}
	return r.options.Objects.PutSettled(ctx, m.key, raw, m.version, mine)
}

func resultOf(s once.Step) (Result, *verdict.Error) {
	if s.Action == once.Replay {
		return Result{Answer: s.Answer, Replayed: true}, nil
	}
	return Result{}, s.Failure
}

func notReachable(err error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonPlatformDown,
		"the record of this key could not be read or written; this try was not sent, an earlier one may have been").
		WithRetryAfter(platformWait).WithCause(err)
}

// carryOut gets a slot, moves the record to sent and sends, trying another
// target only where the first certainly did not begin.
func (a *attempt) carryOut(ctx context.Context) (Result, *verdict.Error) {
	var avoid []string
	for try := 1; ; try++ {
		slot, failure := a.Acquire(ctx, avoid)
		if failure != nil {
			return Result{}, a.refuse(failure)
		}
		if a.record.State == once.Held {
			result, failure := a.moveToSent(ctx, slot)
			if failure != nil || result.Replayed {
				return result, failure
			}
		}
		if failure := a.stillWanted(ctx); failure != nil {
			a.Release(slot, ledger.Outcome{Result: health.Unused})
			return Result{}, a.refuse(failure)
		}
		answer, failure := a.send(ctx, slot)
		if failure == nil {
			return a.finish(answer), nil
		}
		if failure.Verdict() != verdict.NotRun {
			return Result{}, failure
		}
		if try == mostTargets {
			return Result{}, a.refuse(failure)
		}
		avoid = append(avoid, slot.Target())
	}
}

func (a *attempt) moveToSent(ctx context.Context, slot *grant.Slot) (Result, *verdict.Error) {
	next := a.record.WithState(a.now(), once.Sent)
	next.Until = a.Deadline
	result, failure := a.write(ctx, next, movePatience)
	if failure != nil || result.Replayed {
		a.Release(slot, ledger.Outcome{Result: health.Unused})
	}
	return result, failure
}

// stillWanted is the last look before the send: a box that was frozen until
// the deadline had passed, or whose client has hung up, does not send.
func (a *attempt) stillWanted(ctx context.Context) *verdict.Error {
	if ctx.Err() == nil && a.now().Before(a.Deadline) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed, or the client hung up, before the request was sent")
}

func (a *attempt) send(ctx context.Context, slot *grant.Slot) (*once.Answer, *verdict.Error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.Deadline)
	defer cancel()
	answer, outcome, failure := a.Send(ctx, slot)
	a.Release(slot, outcome)
	return answer, failure
}

// refuse records that the operation did not run, so that the refusal stays
// true: every try that began before finds the record changed. Where that can't
// be written, the operation is said to may have run.
func (a *attempt) refuse(failure *verdict.Error) *verdict.Error {
	next := a.record.WithState(a.now(), once.Refused)
	_, lost := a.write(context.Background(), next, movePatience)
	if lost == nil && a.record.State == once.Refused {
		return failure
	}
	if a.record.State == once.Sent {
		return failure // only this try could send, and it won't
	}
	return failure.WithVerdict(verdict.MayHaveRun)
}

// finish records the answer. When the platform does not take it in time, the
// client is answered all the same and the backlog goes on trying.
func (a *attempt) finish(answer *once.Answer) Result {
	next := a.record.WithState(a.now(), once.Done)
	next.Answer = kept(answer)
	m := move{key: a.Key, record: next, version: a.version, until: a.now().Add(keepTrying)}
	if _, err := a.runner.put(context.Background(), m, donePatience); err != nil {
		a.runner.later(m, err)
	}
	return Result{Answer: answer}
}

func kept(answer *once.Answer) *once.Answer {
	if len(answer.Body) <= MostKept {
		return answer
	}
	return &once.Answer{Status: answer.Status, Dropped: true}
}

func (r *Runner) later(m move, cause error) {
	queued := r.backlog.Push(m)
	r.options.Log.Warn("answer not recorded yet", "record", m.key, "queued", queued, "error", cause)
}

// Recorder is the duty that goes on writing answers which the platform did not
// take in time. It ends with ctx.
func (r *Runner) Recorder(ctx context.Context) error {
	for {
		m, err := r.backlog.Pop(ctx)
		if err != nil {
			return nil
		}
		r.record(ctx, m)
	}
}

func (r *Runner) record(ctx context.Context, m move) {
	_, err := r.put(ctx, m, time.Until(m.until))
	if err != nil {
		r.options.Log.Error("answer never recorded; repeats will hear that the outcome is unknown", "record", m.key, "error", err)
	}
}

// Wait waits until no operation is under way and, for at most flush, until the
// backlog is written.
func (r *Runner) Wait(ctx context.Context, flush time.Duration) {
	r.running.Wait()
	ctx, cancel := context.WithTimeout(ctx, flush)
	defer cancel()
	for {
		m, ok := r.backlog.TryPop()
		if !ok || ctx.Err() != nil {
			return
		}
		r.record(ctx, m)
	}
}

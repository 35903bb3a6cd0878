// Package budget bounds the second sends of requests (retries and hedges), so that they
// don't overload a failing service.
//
// It owns the bound alone; core/gateway/retry decides when a second send is worthwhile.
// Each process has its own budget for each service; because it counts only its own
// requests, the bounds of all processes add up without coordination: in any span, however
// long and wherever it begins, all of them make at most the ratio of the requests that they
// got in it, plus one second send for each machine. It does no I/O and needs no clock.
//
// # Usage
//
//	b := budget.New(0.2, 0.7, 0) // a fifth of the requests; seven tenths of it for hedges
//	b.RecordRequest()
//	if b.SpendRetry() {
//		// one retry
//	}
package budget

// capacity is how many tokens a bucket holds. Tokens that were saved by earlier requests
// would allow more second sends in a span than its requests do: one for each process is
// what the users' bound leaves in the largest fleets.
const capacity = 1.0

// Budget bounds the second sends of one service. It is not safe for concurrent use.
type Budget struct {
	secondSends bucket
	hedges      bucket
	used        int
}

// New returns a budget of a ratio of the requests, of which hedges may use a share. The rest
// is reserved for retries. It begins with a number of tokens, 1 at most: 0 for a process that
// has just started, since one that ran in its place may have spent the token of the machine.
func New(ratio, hedgeShare, tokens float64) *Budget {
	return &Budget{secondSends: newBucket(ratio, tokens), hedges: newBucket(ratio*hedgeShare, tokens)}
}

// RecordRequest counts a request, whatever its result.
func (b *Budget) RecordRequest() {
	b.secondSends.earn()
	b.hedges.earn()
}

// SpendRetry takes a retry from the budget and reports whether it could.
func (b *Budget) SpendRetry() bool {
	if !b.secondSends.hasToken() {
		return false
	}
	b.spend()
	return true
}

// SpendHedge takes a hedge from the budget and reports whether it could.
func (b *Budget) SpendHedge() bool {
	if !b.CanSpendHedge() {
		return false
	}
	b.hedges.take()
	b.spend()
	return true
}

// CanSpendHedge reports whether SpendHedge would succeed.
func (b *Budget) CanSpendHedge() bool { return b.secondSends.hasToken() && b.hedges.hasToken() }

func (b *Budget) spend() {
	b.secondSends.take()
	b.used++
}

// Used returns the number of second sends so far.
func (b *Budget) Used() int { return b.used }

// Allowed returns how many second sends there may be so far: those that were made, and what
// is left.
func (b *Budget) Allowed() float64 { return float64(b.used) + b.secondSends.tokens }

// bucket is a token bucket that each request refills by a part of a token.
type bucket struct {
	perRequest float64
	tokens     float64
}

func newBucket(perRequest, tokens float64) bucket {
	return bucket{perRequest: perRequest, tokens: min(tokens, capacity)}
}

func (b *bucket) earn() { b.tokens = min(b.tokens+b.perRequest, capacity) }

func (b *bucket) hasToken() bool { return b.tokens >= 1 }

func (b *bucket) take() { b.tokens-- }

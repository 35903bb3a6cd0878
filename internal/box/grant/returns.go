package grant

import (
	"context"

	"github.com/sprucecrank/sprucecrank/box/peer"
	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
)

// Release returns a slot with its outcome to the home that granted it and to the
// one that has adopted it since.
func (b *Broker) Release(s *Slot, o ledger.Outcome) {
	b.removeHeld(s)
	self := b.options.Members.Self().ID
	if o.Leaving {
		b.options.Home.Leave(s.target, o.Start)
	}
	if s.home == self {
		b.options.Home.Return(s.service, s.id, o)
	} else {
		b.push(s.home, peer.Returned{Service: s.service, ID: s.id, Outcome: o})
	}
	if current := b.usedHome(s.service); current != "" && current != s.home && current != self {
		b.push(current, peer.Returned{Service: s.service, ID: s.id, Outcome: o})
	}
}

func (b *Broker) usedHome(service string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.homes[service].id
}

func (b *Broker) returnUnused(homeID, service, id string) {
	b.push(homeID, peer.Returned{Service: service, ID: id, Outcome: ledger.Outcome{Result: health.Unused}})
}

// push queues a return. When the ring is full the return is dropped: the next
// reconciliation shows the home that the slot is free.
func (b *Broker) push(homeID string, r peer.Returned) {
	b.returns.Push(pendingReturn{home: homeID, returned: r})
}

// RunReturns sends returned slots to their homes until ctx ends. Returns that are
// queued together are sent in one message for each home.
func (b *Broker) RunReturns(ctx context.Context) error {
	for {
		first, err := b.returns.Pop(ctx)
		if err != nil {
			return nil
		}
		b.sendReturns(ctx, b.batch(first))
	}
}

// Flush sends the returns that are still queued.
func (b *Broker) Flush(ctx context.Context) {
	for {
		first, ok := b.returns.TryPop()
		if !ok {
			return
		}
		b.sendReturns(ctx, b.batch(first))
	}
}

func (b *Broker) batch(first pendingReturn) map[string][]peer.Returned {
	batch := map[string][]peer.Returned{first.home: {first.returned}}
	for range maxReturnBatch {
		next, ok := b.returns.TryPop()
		if !ok {
			break
		}
		batch[next.home] = append(batch[next.home], next.returned)
	}
	return batch
}

func (b *Broker) sendReturns(ctx context.Context, batch map[string][]peer.Returned) {
	for homeID, returned := range batch {
		homeBox, ok := b.options.Members.Find(homeID)
		if !ok || !b.options.Members.Usable(homeID) {
			continue // a home that is gone has lost its grants
		}
		args := peer.ReturnArgs{Box: b.options.Members.Self().ID, Returned: returned}
		_ = b.options.Members.Link(homeBox).Send(ctx, peer.MethodReturn, args)
	}
}

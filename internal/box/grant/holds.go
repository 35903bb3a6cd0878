package grant

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/box/peer"
	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/core/member"
)

func (b *Broker) addHeld(s *Slot, kind string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[s.service] == nil {
		b.held[s.service] = map[string]heldSlot{}
	}
	b.held[s.service][s.id] = heldSlot{HeldGrant: ledger.HeldGrant{ID: s.id, Target: s.target, Kind: kind}, at: s.at}
}

func (b *Broker) removeHeld(s *Slot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held[s.service], s.id)
}

// recordHome records the current home of a service. A new home is sent at once the
// grants that the box holds, so that it does not grant those slots again.
func (b *Broker) recordHome(service string, homeBox member.Box) {
	b.mu.Lock()
	last := b.homes[service]
	b.homes[service] = usedHome{id: homeBox.ID, start: homeBox.Start, at: b.options.Clock()}
	changed := (last.id != homeBox.ID || last.start != homeBox.Start) && len(b.held[service]) > 0
	b.mu.Unlock()
	if changed {
		b.reconcile(peer.ReconcileArgs{Service: service, New: true}, homeBox.ID)
	}
}

// TransferProbeTime transfers unused probe budget to the home of a service.
func (b *Broker) TransferProbeTime(s *policy.Service, tokens map[string]time.Duration) {
	if len(tokens) > 0 {
		b.reconcile(peer.ReconcileArgs{Service: s.Name, ProbeTime: tokens}, b.HomeOf(s).ID)
	}
}

// reconcile sends args to a home with all the grants that the box holds.
func (b *Broker) reconcile(args peer.ReconcileArgs, homeID string) {
	homeBox, ok := b.options.Members.Find(homeID)
	if !ok {
		return
	}
	args.Box = b.options.Members.Self().ID
	args.Held = b.heldGrants(args.Service)
	ctx, cancel := context.WithTimeout(context.Background(), reconcileTimeout)
	defer cancel()
	_ = b.options.Members.Link(homeBox).Send(ctx, peer.MethodReconcile, args)
}

func (b *Broker) heldGrants(service string) []ledger.HeldGrant {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock()
	out := make([]ledger.HeldGrant, 0, len(b.held[service]))
	for _, h := range b.held[service] {
		h.For = now.Sub(h.at)
		out = append(out, h.HeldGrant)
	}
	return out
}

// ReconcileAll sends every recently used home the grants that the box holds.
func (b *Broker) ReconcileAll(context.Context) {
	for service, homeID := range b.recentHomes() {
		b.reconcile(peer.ReconcileArgs{Service: service}, homeID)
	}
}

func (b *Broker) recentHomes() map[string]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock()
	out := map[string]string{}
	for service, used := range b.homes {
		if len(b.held[service]) > 0 || now.Sub(used.at) < recentUse {
			out[service] = used.id
		}
	}
	return out
}

// HeldCount is how many slots the box currently holds.
func (b *Broker) HeldCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, grants := range b.held {
		n += len(grants)
	}
	return n
}

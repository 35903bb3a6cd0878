package grant

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/box/peer"
	"github.com/sprucecrank/sprucecrank/core/member"
)

// Members is the box's view of the other boxes, with a link to each. It is safe for
// concurrent use.
type Members struct {
	mu    sync.Mutex
	view  *member.View
	links map[string]*peer.Link
	clock func() time.Time
	dial  func(ctx context.Context, address string) (net.Conn, error)
}

// NewMembers returns the view of a box; dial may be nil for plain TCP.
func NewMembers(self member.Box, clock func() time.Time, dial func(context.Context, string) (net.Conn, error)) *Members {
	return &Members{view: member.New(self), links: map[string]*peer.Link{}, clock: clock, dial: dial}
}

// Self is the box itself.
func (m *Members) Self() member.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Self()
}

// SetLeaving records that the box itself is leaving.
func (m *Members) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetLeaving()
}

// SetList merges the platform's list of boxes.
func (m *Members) SetList(boxes []member.Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.MergeList(m.clock(), boxes)
	m.closeUnused()
}

// closeUnused closes links to boxes that are no longer known.
func (m *Members) closeUnused() {
	known := map[string]bool{}
	for _, b := range m.view.Boxes() {
		known[b.Peer] = true
	}
	for address, link := range m.links {
		if !known[address] {
			link.Close()
			delete(m.links, address)
		}
	}
}

// Merge merges an update about one box.
func (m *Members) Merge(b member.Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.MergeBox(m.clock(), b)
}

// MarkLeaving records that a box advertised that it is leaving.
func (m *Members) MarkLeaving(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.MarkLeaving(m.clock(), id)
}

// MarkUnresponsive records that a box did not respond.
func (m *Members) MarkUnresponsive(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.RecordFailure(m.clock(), id)
}

// Observe merges an update that a box sent about itself.
func (m *Members) Observe(b member.Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Observe(m.clock(), b)
}

// Recent lists up to n boxes that recently sent an update.
func (m *Members) Recent(n int) []member.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Recent(m.clock(), n)
}

// Prune removes boxes that no update has listed for a while.
func (m *Members) Prune() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Prune(m.clock())
	m.closeUnused()
}

// Usable reports whether a box may currently be called.
func (m *Members) Usable(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.IsUsable(m.clock(), id)
}

// Home determines the home of a service.
func (m *Members) Home(service, hall string) member.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Home(m.clock(), service, hall)
}

// Find returns the box with an id.
func (m *Members) Find(id string) (member.Box, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Find(id)
}

// Boxes lists the other boxes.
func (m *Members) Boxes() []member.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Boxes()
}

// Sample returns up to n other boxes, chosen at random.
func (m *Members) Sample(random *rand.Rand, n int) []member.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.SampleNeighbours(random, n)
}

// Link returns the link to a box and creates it on first use.
func (m *Members) Link(b member.Box) *peer.Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	link, ok := m.links[b.Peer]
	if !ok {
		link = peer.NewLink(peer.LinkOptions{Address: b.Peer, Dial: m.dial})
		m.links[b.Peer] = link
	}
	return link
}

// Sent returns the numbers of messages and bytes sent to all boxes.
func (m *Members) Sent() (messages, bytes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		n, size := l.Sent()
		messages += n
		bytes += size
	}
	return messages, bytes
}

// Close closes all links.
func (m *Members) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.Close()
	}
}

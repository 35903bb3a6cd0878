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

// Members is the box's view of the others, with a link to each. It is safe for
// concurrent use.
type Members struct {
	mu    sync.Mutex
	view  *member.View
	links map[string]*peer.Link
	clock func() time.Time
	dial  func(ctx context.Context, address string) (net.Conn, error)
}

// NewMembers makes the view of a box; dial may be nil for plain TCP.
func NewMembers(self member.Box, clock func() time.Time, dial func(context.Context, string) (net.Conn, error)) *Members {
	return &Members{view: member.New(self), links: map[string]*peer.Link{}, clock: clock, dial: dial}
}

// Self is the box itself.
func (m *Members) Self() member.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Self()
}

// SetLeaving notes that the box itself is leaving.
func (m *Members) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetLeaving()
}

// SetList takes in the platform's list of boxes.
func (m *Members) SetList(boxes []member.Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.SetList(m.clock(), boxes)
	m.closeUnused()
}

// closeUnused ends links to boxes that are no longer known.
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

// Merge takes in news of one box.
func (m *Members) Merge(b member.Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Learn(m.clock(), b)
}

// MarkLeaving notes that a box said that it leaves.
func (m *Members) MarkLeaving(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Leave(m.clock(), id)
}

// MarkUnresponsive notes that a box did not answer.
func (m *Members) MarkUnresponsive(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Fail(m.clock(), id)
}

// Observe takes in news of a box from itself.
func (m *Members) Observe(b member.Box) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Observe(m.clock(), b)
}

// Recent lists up to n boxes that were heard from lately.
func (m *Members) Recent(n int) []member.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Recent(m.clock(), n)
}

// Prune forgets boxes that nobody has named for a while.
func (m *Members) Prune() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Prune(m.clock())
	m.closeUnused()
}

// Usable says whether a box may be asked now.
func (m *Members) Usable(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Usable(m.clock(), id)
}

// Home works out the home of a service.
func (m *Members) Home(service, hall string) member.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Home(m.clock(), service, hall)
}

// Find looks a box up by id.
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

// Sample picks up to n other boxes at random.
func (m *Members) Sample(random *rand.Rand, n int) []member.Box {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Sample(random, n)
}

// Link is the connection to a box.
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

// Sent counts the messages and bytes sent to all boxes.
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

// Close ends all links.
func (m *Members) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.Close()
	}
}

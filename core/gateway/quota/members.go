package quota

import (
	"encoding/binary"
	"time"
)

const (
	// HeartbeatEvery is how often a gateway that counts sends the homes a heartbeat, unless
	// it asks them for credit.
	HeartbeatEvery = 900 * time.Millisecond
	// MemberTTL is how long a gateway counts after it was last seen. While it turns
	// to another home its part is given out twice; a heartbeat may come a third of a second late.
	MemberTTL = 1250 * time.Millisecond
	// uncertainWeight is for how much a gateway counts that may still count elsewhere, at a home
	// that it has turned away from. That one may be cut off from it, and give out its part as
	// well, or have lost power: with none, customers of a home that lost power would have
	// nothing for a second.
	uncertainWeight = 0.5
	// fleetTTL is how long a fleet counts that was larger than what is there now. Those that
	// are missing may be behind a cut, with another home. A fleet that has shrunk for good
	// gets less than its limits for so long, which is longer than most cuts last.
	fleetTTL = 30 * time.Second
	// discoveryTime is how long a home that has just begun looks for others before it believes
	// that there are no more. Gateways that start together announce themselves as soon as they
	// know a home, within some tenths of a second.
	discoveryTime = 600 * time.Millisecond
)

// member is a gateway that sends heartbeats.
type member struct {
	lastSeen time.Time
	group    string
	// weight is for how many gateways it weight.
	weight int
}

// group are the members that take the same gateways for homes, by how many these represent.
type group struct {
	homes []uint32
	count int
	// uncertain is how many of them may still count at another home, until doubtUntil.
	uncertain      int
	uncertainUntil time.Time
}

// weight is for how many members the group counts.
func (g *group) weight(now time.Time) float64 {
	if !now.Before(g.uncertainUntil) {
		return float64(g.count)
	}
	return float64(g.count) - (1-uncertainWeight)*float64(min(g.uncertain, g.count))
}

// addUncertain notes a member that may still count elsewhere for a while.
func (g *group) addUncertain(now time.Time, weight int, left time.Duration) {
	if !now.Before(g.uncertainUntil) {
		g.uncertain = 0
	}
	g.uncertain += weight
	if until := now.Add(left); until.After(g.uncertainUntil) {
		g.uncertainUntil = until
	}
}

// Members are the gateways that count and that this one gets updates from. Of a large fleet one of so
// many counts, each by its own guess of the fleet's size, and represents that many: so their
// sum is the fleet whatever each of them, or the home, takes it for.
type Members struct {
	self    uint32
	started time.Time
	members map[uint32]*member
	groups  map[string]*group
	// sampleInterval is of how many gateways one counts by this one's own guess; a power of two.
	sampleInterval int
	// changed is when a member last came, went or took to other homes.
	changed time.Time
	// fleet is the greatest size lately, known at a moment; 0 if none was ever reported.
	fleet   int
	fleetAt time.Time
}

func newMembers(self uint32, started time.Time) *Members {
	return &Members{self: self, started: started, sampleInterval: 1, members: map[uint32]*member{}, groups: map[string]*group{}}
}

// observe notes that a gateway is there.
func (m *Members) observe(now time.Time, h Heartbeat) {
	m.mergeFleet(now, h.Fleet)
	known := m.members[h.From]
	switch key := groupKey(h.Homes); {
	case !h.Counts && known == nil:
		return
	case !h.Counts:
		m.remove(h.From) // it does not count any more, and is there
	case known == nil || known.group != key:
		m.setGroup(now, key, h)
	default:
		m.groups[key].count += h.weight() - known.weight
		known.lastSeen, known.weight = now, h.weight()
	}
	m.mergeOwnCount(now)
}

// setGroup puts a gateway into the group of its homes.
func (m *Members) setGroup(now time.Time, key string, h Heartbeat) {
	m.remove(h.From)
	m.changed = now
	if m.groups[key] == nil {
		m.groups[key] = &group{homes: append([]uint32(nil), h.Homes...)}
	}
	g := m.groups[key]
	g.count += h.weight()
	m.members[h.From] = &member{lastSeen: now, group: key, weight: h.weight()}
	if h.Left > 0 && h.Left < MemberTTL {
		g.addUncertain(now, h.weight(), MemberTTL-h.Left)
	}
}

// remove takes a gateway out of its group, if it is in any.
func (m *Members) remove(id uint32) {
	known := m.members[id]
	if known == nil {
		return
	}
	delete(m.members, id)
	g := m.groups[known.group]
	if g.count -= known.weight; g.count == 0 {
		delete(m.groups, known.group)
	}
}

// groupKey distinguishes lists of homes, whose order matters to nobody but is mostly the same.
func groupKey(homes []uint32) string {
	key := make([]byte, 0, 4*len(homes))
	for _, home := range homes {
		key = binary.LittleEndian.AppendUint32(key, home)
	}
	return string(key)
}

// prune forgets members that fell silent.
func (m *Members) prune(now time.Time) {
	for id, member := range m.members {
		if now.Sub(member.lastSeen) > MemberTTL {
			m.remove(id)
			m.changed = now
		}
	}
}

// mergeFleet takes in how large the fleet is to another gateway.
func (m *Members) mergeFleet(now time.Time, f Fleet) {
	at := now.Add(-f.Age)
	if f.Size <= 0 || f.Age >= fleetTTL {
		return
	}
	expired := now.Sub(m.fleetAt) >= fleetTTL
	switch {
	case f.Size > m.fleet, expired:
		m.fleet, m.fleetAt = f.Size, at
	case f.Size == m.fleet && at.After(m.fleetAt):
		m.fleetAt = at
	}
}

// mergeOwnCount takes the members for the fleet, once there was time to learn of it.
func (m *Members) mergeOwnCount(now time.Time) {
	if m.fleet == 0 && now.Sub(m.started) < discoveryTime {
		return
	}
	size := 0
	for _, g := range m.groups {
		size += g.count
	}
	m.mergeFleet(now, Fleet{Size: size})
}

// Fleet is the greatest fleet lately; its size is 0 while none is known.
func (m *Members) Fleet(now time.Time) Fleet {
	return Fleet{Size: m.fleet, Age: now.Sub(m.fleetAt)}
}

// share is the part of the fleet that takes this gateway for the home of a subject; false
// while the fleet is not known. Of a large fleet those that ask may be none of those that
// count: then there is nobody to share with, or they have the part of one that counts.
func (m *Members) share(now time.Time, s Subject) (share float64, known bool) {
	if m.fleet == 0 {
		return 1, now.Sub(m.started) >= discoveryTime
	}
	attached := 0.0
	for _, g := range m.groups {
		if home, ok := Home(s, g.homes); ok && home == m.self {
			attached += g.weight(now)
		}
	}
	if attached == 0 {
		attached = float64(m.sampleInterval)
	}
	return min(attached/float64(m.fleet), 1), true
}

// maxSampled is about how many gateways of a large fleet count: enough to know parts to some
// hundredths, and as many heartbeats a second at any size.
const maxSampled = 192

// SampleWeight is for how many gateways one stands by which parts are measured, in a fleet of
// about a size: each for itself in a small one, in a larger one half of them for two, a quarter
// for four and so on, always the same ones; 0 for one that does not count.
func SampleWeight(gateway uint32, fleet int) int {
	interval := sampleIntervalFor(fleet)
	if !isSampled(gateway, interval) {
		return 0
	}
	return interval
}

// sampleIntervalFor is of how many gateways one counts in a fleet of about a size.
func sampleIntervalFor(fleet int) int {
	interval := 1
	for ; fleet > maxSampled; fleet /= 2 {
		interval *= 2
	}
	return interval
}

// isSampled says whether a gateway is the one of so many that counts.
func isSampled(gateway uint32, interval int) bool { return gateway&uint32(interval-1) == 0 }

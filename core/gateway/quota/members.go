package quota

import (
	"encoding/binary"
	"time"
)

const (
	// HeartbeatEvery is the interval at which a sampled gateway sends heartbeats to the homes;
	// credit requests replace them.
	HeartbeatEvery = 900 * time.Millisecond
	// MemberTTL is how long a gateway is counted after its last heartbeat, which may be a third
	// of a second late. It is short because the share of a gateway that switches to another
	// home is granted twice meanwhile.
	MemberTTL = 1250 * time.Millisecond
	// uncertainWeight is the weight of a gateway that may still be counted at the home that it
	// left. That home may be unreachable for the gateway and still grant its share, or it may
	// have lost power: with a weight of 0, customers of a home that lost power would get no
	// credit for a second.
	uncertainWeight = 0.5
	// fleetTTL is how long a fleet size larger than the current number of members is used. The
	// missing gateways may be on the other side of a network partition, with another home. A
	// fleet that has shrunk for good gets less than its limits for this long, which is longer
	// than most partitions last.
	fleetTTL = 30 * time.Second
	// discoveryTime is how long a home that has just started waits for other gateways before it
	// uses the number of members as the fleet size. Gateways that start together send
	// heartbeats as soon as they know a home, within a few tenths of a second.
	discoveryTime = 600 * time.Millisecond
)

// member is a gateway that sends heartbeats.
type member struct {
	lastSeen time.Time
	group    string
	// weight is the number of gateways that it represents.
	weight int
}

// group is the set of members that use the same homes; count is the number of gateways that
// they represent.
type group struct {
	homes []uint32
	count int
	// uncertain is how many of them may still be counted at another home, until uncertainUntil.
	uncertain      int
	uncertainUntil time.Time
}

// weight returns the number of gateways that the group counts for.
func (g *group) weight(now time.Time) float64 {
	if !now.Before(g.uncertainUntil) {
		return float64(g.count)
	}
	return float64(g.count) - (1-uncertainWeight)*float64(min(g.uncertain, g.count))
}

// addUncertain records a member that may still be counted at another home for a while.
func (g *group) addUncertain(now time.Time, weight int, left time.Duration) {
	if !now.Before(g.uncertainUntil) {
		g.uncertain = 0
	}
	g.uncertain += weight
	if until := now.Add(left); until.After(g.uncertainUntil) {
		g.uncertainUntil = until
	}
}

// Members are the sampled gateways that send this one heartbeats. In a large fleet one gateway
// in N is sampled, by its own estimate of the fleet size, and represents N: so the sum of the
// weights is the fleet size, whatever each of them, or the home, takes that size to be.
type Members struct {
	self    uint32
	started time.Time
	members map[uint32]*member
	groups  map[string]*group
	// sampleInterval is the N of which one gateway is sampled, by this gateway's own estimate;
	// a power of two.
	sampleInterval int
	// changed is when a member last joined, left or switched homes.
	changed time.Time
	// fleet is the largest recent fleet size, and fleetAt when it was known; 0 if none was ever
	// reported.
	fleet   int
	fleetAt time.Time
}

func newMembers(self uint32, started time.Time) *Members {
	return &Members{self: self, started: started, sampleInterval: 1, members: map[uint32]*member{}, groups: map[string]*group{}}
}

// observe records a heartbeat.
func (m *Members) observe(now time.Time, h Heartbeat) {
	m.mergeFleet(now, h.Fleet)
	known := m.members[h.From]
	switch key := groupKey(h.Homes); {
	case !h.Counts && known == nil:
		return
	case !h.Counts:
		m.remove(h.From) // it is running, but no longer sampled
	case known == nil || known.group != key:
		m.setGroup(now, key, h)
	default:
		m.groups[key].count += h.weight() - known.weight
		known.lastSeen, known.weight = now, h.weight()
	}
	m.mergeOwnCount(now)
}

// setGroup moves a gateway to the group that uses its homes.
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

// remove removes a gateway from its group, if it has one.
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

// groupKey returns a map key for a list of homes. The same homes in another order, which is
// rare, give another key; that only adds a group.
func groupKey(homes []uint32) string {
	key := make([]byte, 0, 4*len(homes))
	for _, home := range homes {
		key = binary.LittleEndian.AppendUint32(key, home)
	}
	return string(key)
}

// prune removes members whose heartbeats stopped.
func (m *Members) prune(now time.Time) {
	for id, member := range m.members {
		if now.Sub(member.lastSeen) > MemberTTL {
			m.remove(id)
			m.changed = now
		}
	}
}

// mergeFleet merges the fleet size known to another gateway.
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

// mergeOwnCount uses the number of members as a fleet size, once there was time to discover
// them.
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

// Fleet returns the largest recent fleet size; it is 0 while none is known.
func (m *Members) Fleet(now time.Time) Fleet {
	return Fleet{Size: m.fleet, Age: now.Sub(m.fleetAt)}
}

// share returns the share of the fleet that uses this gateway as the home of a subject; known
// is false while the fleet size is unknown. In a large fleet possibly none of the gateways that
// ask is sampled: then these together get the share of one sampled gateway, or the whole limit
// if nobody else is there.
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

// maxSampled is the maximum number of sampled gateways in a large fleet, approximately: enough
// to determine shares to a few hundredths, and it bounds the rate of heartbeats at any fleet
// size.
const maxSampled = 192

// SampleWeight returns how many gateways the given one represents in a fleet of about the given
// size. In a small fleet each gateway represents itself; in larger fleets half of the gateways
// represent two each, or a quarter represent four each, and so on. In a fleet of a given size
// it is always the same gateways. SampleWeight returns 0 for a gateway that is not sampled.
func SampleWeight(gateway uint32, fleet int) int {
	interval := sampleIntervalFor(fleet)
	if !isSampled(gateway, interval) {
		return 0
	}
	return interval
}

// sampleIntervalFor returns the N of which one gateway is sampled in a fleet of about the given
// size.
func sampleIntervalFor(fleet int) int {
	interval := 1
	for ; fleet > maxSampled; fleet /= 2 {
		interval *= 2
	}
	return interval
}

// isSampled reports whether a gateway is the one in interval that is sampled.
func isSampled(gateway uint32, interval int) bool { return gateway&uint32(interval-1) == 0 }

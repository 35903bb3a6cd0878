package catalog

import (
	"errors"
	"net/netip"
)

// Target is one running target, known by its id and the time of this start of it.
type Target struct {
	ID      string
	Service string
	// Address is IP number and port.
	Address string
	// Hall is where the target stands.
	Hall string
	// Version is that of its software; empty if it does not say.
	Version string
	// Slots is how many requests it works on at once; 0 if it does not say.
	Slots int
	// Leaving targets get no new requests.
	Leaving bool
	// Cold says that the target was still cold when it last wrote its entry: it is slow
	// and bears few requests a second for a while.
	Cold bool
	// Born is when it started, in ms of its time of day; 0 if it does not say. One that
	// starts again may keep its id, and knows nothing of before.
	Born int64
}

// errNoTarget says that something is missing without which nothing can be sent.
var errNoTarget = errors.New("a target needs an id, a service, a hall and slots")

// Check says why nothing could be sent to the target, if so.
func (t Target) Check() error {
	if t.ID == "" || t.Service == "" || t.Hall == "" || t.Slots < 1 {
		return errNoTarget
	}
	_, err := netip.ParseAddrPort(t.Address)
	return err
}

// Life names one start of a target. Whatever is learnt of a target, and each connection,
// belongs to one life: what was learnt of the one before must not count for the next.
type Life struct {
	ID   string
	Born int64
}

// Life is the start that a target's entry names.
func (t Target) Life() Life { return Life{ID: t.ID, Born: t.Born} }

// ReportStarts says whether targets report when they started: most do, so that an entry which
// does not is another writer's. One entry alone can't have all others taken for such.
func ReportStarts(targets []Target) bool {
	told := 0
	for _, t := range targets {
		if t.Born > 0 {
			told++
		}
	}
	return 2*told > len(targets)
}

package catalog

import (
	"errors"
	"net/netip"
)

// Target is one running target, identified by its id and the time of its latest start.
type Target struct {
	ID      string
	Service string
	// Address is an IP address and a port.
	Address string
	// Hall is the hall that the target runs in.
	Hall string
	// Version is that of its software; empty if not advertised.
	Version string
	// Slots is how many requests it works on at once; 0 if not advertised.
	Slots int
	// Leaving targets get no new requests.
	Leaving bool
	// Cold means that the target was still warming up when it last wrote its entry: it is
	// slow and handles few requests a second for a while.
	Cold bool
	// Born is when it started, in Unix milliseconds by its own clock; 0 if not advertised.
	// A target that restarts may keep its id, and has lost its state.
	Born int64
}

// maxBorn is the latest time of a start, in Unix milliseconds: the end of the year 9999. A number
// beyond it is no time, or one in smaller units, and would outlast all later starts.
const maxBorn = 253402300799999

// errPort and errBorn mean that a number is out of its range.
var (
	errPort = errors.New("the port of a target is 0")
	errBorn = errors.New("the start time of a target is out of range")
)

// errIncompleteTarget means that a field is missing without which nothing can be sent.
var errIncompleteTarget = errors.New("a target needs an id, a service, a hall and slots")

// Check returns an error if the entry of a target lacks what is needed to send to it.
func (t Target) Check() error {
	if t.ID == "" || t.Service == "" || t.Hall == "" || t.Slots < 1 {
		return errIncompleteTarget
	}
	if t.Born < 0 || t.Born > maxBorn {
		return errBorn
	}
	address, err := netip.ParseAddrPort(t.Address)
	if err == nil && address.Port() == 0 {
		return errPort
	}
	return err
}

// Life identifies one incarnation of a target, from a start to its end. Each observation of
// a target, and each connection, belongs to one incarnation: observations of one must not
// count for the next.
type Life struct {
	ID   string
	Born int64
}

// Life returns the incarnation that a target's entry belongs to.
func (t Target) Life() Life { return Life{ID: t.ID, Born: t.Born} }

// ReportStarts reports whether most of the targets advertise when they started. If they do,
// an entry without a start was written by somebody else. It takes a majority, so that a
// single entry can't make all others count as foreign.
func ReportStarts(targets []Target) bool {
	reporting := 0
	for _, t := range targets {
		if t.Born > 0 {
			reporting++
		}
	}
	return 2*reporting > len(targets)
}

// Package policy holds what operators submit: services with their targets, and
// policies, short programs that name the kind of each request.
//
// A service and a policy are JSON documents. Both are checked whole before
// they are accepted: unknown fields are refused, and every problem is reported
// with its path, what was found and what is allowed.
//
// It owns the form of both documents, which are stored: fields keep their names. It
// relies on expr for the programs and bounds what they may cost (bound.go).
//
// # Usage
//
//	service, err := policy.ParseService(raw)
//	program, err := policy.ParsePolicy(raw)
//	kind, err := program.Classify(policy.Request{Method: "GET", Path: "/preview/7"})
package policy

import (
	"net"
	"regexp"
	"strings"
	"time"
)

// Bounds on what a service may ask for.
const (
	MaxTargets       = 500
	MaxSlots         = 1024
	MaxConnections   = 65536
	DefaultSlots     = 3
	DefaultConns     = 200
	DefaultQueue     = 2000
	DefaultProbeMS   = 10.0
	MaxProbeMS       = 1000.0
	DefaultProbePath = "/healthz"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Target is one back end of a service.
type Target struct {
	// Address is the target's IP number and port.
	Address string `json:"address"`
	// Hall is the site that the target stands in.
	Hall string `json:"hall"`
	// Slots is how many requests the target works on at once.
	Slots int `json:"slots,omitempty"`
	// Connections is how many the target accepts from all boxes together.
	Connections int `json:"connections,omitempty"`
}

// Probe configures the measuring of a service's targets.
type Probe struct {
	// Path is what a probe asks for.
	Path string `json:"path,omitempty"`
	// BudgetMS is the greatest load of all probes on one target,
	// in milliseconds of its time per second, for the whole fleet.
	BudgetMS float64 `json:"budget_ms_per_s,omitempty"`
}

// Service groups targets under a name and a path prefix.
type Service struct {
	Name    string   `json:"name"`
	Prefix  string   `json:"prefix"`
	Targets []Target `json:"targets"`
	// TrustShed believes a target's word that it did not run a request.
	TrustShed bool `json:"trust_shed,omitempty"`
	// EchoID says that targets repeat X-Request-Id in every answer; an answer
	// without it, or with another's, is then never passed on.
	EchoID   bool  `json:"echo_id,omitempty"`
	MaxQueue int   `json:"max_queue,omitempty"`
	Probe    Probe `json:"probe,omitempty"`
}

// ParseService checks and completes a service document.
// The error is a Problems with one entry for each fault found.
func ParseService(raw []byte) (*Service, error) {
	var s Service
	if err := decodeStrict(raw, &s); err != nil {
		return nil, err
	}
	s.applyDefaults()
	if p := s.check(); len(p) > 0 {
		return nil, p
	}
	return &s, nil
}

func (s *Service) applyDefaults() {
	if s.MaxQueue == 0 {
		s.MaxQueue = DefaultQueue
	}
	if s.Probe.Path == "" {
		s.Probe.Path = DefaultProbePath
	}
	if s.Probe.BudgetMS == 0 {
		s.Probe.BudgetMS = DefaultProbeMS
	}
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Slots == 0 {
			t.Slots = DefaultSlots
		}
		if t.Connections == 0 {
			t.Connections = DefaultConns
		}
	}
}

func (s *Service) check() Problems {
	var p Problems
	p.require(namePattern.MatchString(s.Name), "name", s.Name, "lower-case letters, digits and dashes, a letter first, at most 63")
	prefixOK := strings.HasPrefix(s.Prefix, "/") && len(s.Prefix) <= 256
	p.require(prefixOK, "prefix", s.Prefix, "a path that starts with /, at most 256 bytes")
	p.require(len(s.Targets) >= 1 && len(s.Targets) <= MaxTargets, "targets", len(s.Targets), "1 to 500 targets")
	p.require(s.MaxQueue >= 1 && s.MaxQueue <= 100000, "max_queue", s.MaxQueue, "1 to 100000")
	p.require(strings.HasPrefix(s.Probe.Path, "/"), "probe.path", s.Probe.Path, "a path that starts with /")
	budgetOK := s.Probe.BudgetMS > 0 && s.Probe.BudgetMS <= MaxProbeMS
	p.require(budgetOK, "probe.budget_ms_per_s", s.Probe.BudgetMS, "above 0, at most 1000")
	seen := map[string]bool{}
	for i, t := range s.Targets {
		at := func(field string) string { return indexed("targets", i, field) }
		p.require(validAddress(t.Address), at("address"), t.Address, "an IP number with a port, such as 10.0.0.7:8080")
		p.require(!seen[t.Address], at("address"), t.Address, "each address once")
		p.require(t.Hall != "", at("hall"), t.Hall, "the name of a hall")
		p.require(t.Slots >= 1 && t.Slots <= MaxSlots, at("slots"), t.Slots, "1 to 1024")
		p.require(t.Connections >= 1 && t.Connections <= MaxConnections, at("connections"), t.Connections, "1 to 65536")
		seen[t.Address] = true
	}
	return p
}

// validAddress accepts IP:port only, since processes meet by IP number.
func validAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && port != "" && port != "0" && net.ParseIP(host) != nil
}

// milliseconds converts a settings figure to a duration.
func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// ConnectionsOf is how many connections a target accepts from all boxes.
func (s *Service) ConnectionsOf(address string) int {
	for i := range s.Targets {
		if s.Targets[i].Address == address {
			return s.Targets[i].Connections
		}
	}
	return DefaultConns
}

// MainHall is the hall that holds most of the targets; ties go by name.
func (s *Service) MainHall() string {
	count := map[string]int{}
	best := ""
	for _, t := range s.Targets {
		count[t.Hall]++
	}
	for hall, n := range count {
		if n > count[best] || n == count[best] && hall < best {
			best = hall
		}
	}
	return best
}

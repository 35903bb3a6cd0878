// Package routing holds the routes of one configuration version: which service takes a
// request, by host and by the longest path prefix, and how the request may be treated. A
// Table is immutable.
//
// The package owns the rules by which a route is matched and a service is picked. It
// depends on core/gateway/workspace for the API keys of a version, does no I/O and draws no
// random numbers. The fields of Config and of its parts are exported, since the adapter
// fills them in; a Table is read through methods.
//
// # Usage
//
//	table := routing.New(routing.Config{Version: 7, Routes: routes, Services: services})
//	route, ok := table.Match("shop.example", "/orders/7")
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/workspace"
)

// Share is a service's share of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight float64
}

// Route describes which requests a route matches, where they go and how they may be
// treated.
type Route struct {
	// Name is for display; Host and Prefix match requests.
	Name   string
	Host   string
	Prefix string
	// Shares are the services that take the requests.
	Shares []Share
	// Repeatable is true if a request may be executed more than once.
	Repeatable bool
	// Objective is the latency objective, within which a response has its full value.
	Objective time.Duration
	// Timeout bounds the time that a request may be held.
	Timeout time.Duration
	// MaxAttempts bounds the number of targets to which one request may be sent.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Regions are those whose targets may receive the requests; nil for all, empty for
	// none.
	Regions []string
	// Public is true if requests need no key where the configuration has workspaces.
	Public bool
}

// Allows reports whether targets of a region may receive the route's requests. A region
// that is not known is not allowed where the route names regions.
func (r *Route) Allows(region string, known bool) bool {
	return r.Regions == nil || known && slices.Contains(r.Regions, region)
}

// CommonRegions returns the regions that both lists allow, where an empty list allows all:
// nil for all, an empty list for none. The lists are not changed.
func CommonRegions(a, b []string) []string {
	switch {
	case len(a)+len(b) == 0:
		return nil
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	return slices.DeleteFunc(slices.Clone(a), func(region string) bool { return !slices.Contains(b, region) })
}

// Service holds the settings that all targets of a service share.
type Service struct {
	Name string
	// HealthPath is the path of a target's health check.
	HealthPath string
	// ColdRate is the requests per second that a cold target can handle; 0 if not configured.
	ColdRate float64
}

// Limits bound what clients may send and how long they may take; a field that is 0 sets no
// limit of its own.
type Limits struct {
	// HeaderBytes bounds the request line and header of a request, in bytes.
	HeaderBytes int
	// BodyBytes bounds the body of a request, in bytes; 0 for no bound.
	BodyBytes int64
	// HeaderTimeout bounds the time in which a client sends the request line and header,
	// IdleTimeout the time for which its connection may be idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Workspaces are those whose keys are accepted; nil where no key is required, empty
	// where a key is required but none is valid.
	Workspaces []workspace.Config
}

// Table matches requests with routes.
type Table struct {
	version  uint64
	limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
	regions  []string
	// workspaces is nil where no keys are required.
	workspaces *workspace.Directory
}

// New returns the table of a configuration.
func New(c Config) *Table {
	t := &Table{
		version: c.Version, limits: c.Limits,
		byHost: map[string][]*Route{}, services: map[string]*Service{},
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		t.byHost[route.Host] = append(t.byHost[route.Host], route)
		t.regions = append(t.regions, route.Regions...)
	}
	for _, w := range c.Workspaces {
		t.regions = append(t.regions, w.Regions...)
	}
	slices.Sort(t.regions)
	t.regions = slices.Compact(t.regions)
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	if c.Workspaces != nil {
		t.workspaces = workspace.New(c.Workspaces)
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Version is the configuration's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on what clients may send and how long they may take.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Workspaces returns the workspaces whose keys are accepted; nil where no key is required.
func (t *Table) Workspaces() *workspace.Directory { return t.workspaces }

// Regions lists the regions that any route or workspace names, sorted.
func (t *Table) Regions() []string { return t.regions }

// Match returns the route of a request. A port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Pick returns the service of a request by a weighted random choice; draw is uniform in [0,
// 1).
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := draw * total
	for _, share := range r.Shares {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Package catalog holds what a process believes of the configuration and of
// the servers: the greatest version seen of each, however it was learnt. It
// does no I/O and takes no lock.
//
// The configuration is an opaque body with a version. The servers are a table
// at a revision of the store, with the latest changes kept so that a reader
// which is a little behind can be sent those alone.
//
// # Usage
//
//	c := catalog.New()
//	c.Replace(530, servers)               // a list, at the store's revision
//	c.Advance(533, changes)               // what a watch told since
//	delta := c.Since(catalog.Position{Config: 7, Servers: 530})
package catalog

import (
	"maps"
	"slices"
	"time"
)

// Server is one running server, known by the id of this start of it.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving servers get no new requests.
	Leaving bool
	// Warmup is how long the server is still slow, as told when it was read.
	Warmup time.Duration
}

// Change is one server at one revision of the store.
type Change struct {
	Revision uint64
	Server   Server
	Gone     bool
}

// Position is how far a reader has come.
type Position struct {
	// Config is the configuration's version.
	Config uint64
	// ConfigRevision is the store's revision up to which it is the latest.
	ConfigRevision uint64
	// Servers is the store's revision up to which the servers are known.
	Servers uint64
}

// Delta brings a reader from its position to To.
type Delta struct {
	To Position
	// Config is the body of the configuration, when the reader's is older.
	Config []byte
	// Whole says that Changes are all servers and that others are gone.
	Whole   bool
	Changes []Change
}

// keptChanges bounds the changes that are kept for readers.
const keptChanges = 1024

// Catalog is what is believed. It is not safe for concurrent use.
type Catalog struct {
	position Position
	config   []byte
	servers  map[string]Server
	left     map[string]bool
	changes  []Change
	floor    uint64 // changes after this revision are kept
}

// New makes an empty catalog.
func New() *Catalog {
	return &Catalog{servers: map[string]Server{}, left: map[string]bool{}}
}

// Position is how far the catalog has come.
func (c *Catalog) Position() Position { return c.position }

// Config is the body of the configuration.
func (c *Catalog) Config() []byte { return c.config }

// Servers lists the servers by id.
func (c *Catalog) Servers() []Server {
	out := make([]Server, 0, len(c.servers))
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		out = append(out, c.servers[id])
	}
	return out
}

// SetConfig takes in a configuration if it is newer than the one that is held.
func (c *Catalog) SetConfig(version uint64, body []byte) bool {
	if version <= c.position.Config {
		return false
	}
	c.position.Config = version
	c.config = body
	return true
}

// SeenConfig notes that the store held no newer configuration at a revision.
func (c *Catalog) SeenConfig(revision uint64) {
	c.position.ConfigRevision = max(c.position.ConfigRevision, revision)
}

// Replace takes in all servers as they stood at a revision, if that is not
// older than what is held. A server that has begun to leave never comes back.
func (c *Catalog) Replace(revision uint64, servers []Server) bool {
	if revision < c.position.Servers {
		return false
	}
	before := c.servers
	c.servers = make(map[string]Server, len(servers))
	for _, s := range servers {
		c.put(s)
	}
	changed := len(before) != len(c.servers)
	for id, s := range c.servers {
		if before[id] != s {
			changed = true
			c.changes = append(c.changes, Change{Revision: revision, Server: s})
		}
	}
	for id, s := range before {
		if _, ok := c.servers[id]; !ok {
			changed = true
			c.changes = append(c.changes, Change{Revision: revision, Server: s, Gone: true})
		}
	}
	if c.position.Servers == 0 {
		c.floor = revision
	}
	c.position.Servers = revision
	c.trim()
	return changed
}

// Advance takes in the changes up to a revision.
func (c *Catalog) Advance(revision uint64, changes []Change) bool {
	if revision <= c.position.Servers {
		return false
	}
	changed := false
	for _, change := range changes {
		if change.Revision <= c.position.Servers {
			continue
		}
		if change.Gone {
			delete(c.servers, change.Server.ID)
		} else {
			change.Server = c.put(change.Server)
		}
		c.changes = append(c.changes, change)
		changed = true
	}
	c.position.Servers = revision
	c.trim()
	return changed
}

// put takes in a server and returns it as it is believed.
func (c *Catalog) put(s Server) Server {
	if c.left[s.ID] {
		s.Leaving = true
	}
	if s.Leaving {
		c.left[s.ID] = true
	}
	c.servers[s.ID] = s
	return s
}

func (c *Catalog) trim() {
	if extra := len(c.changes) - keptChanges; extra > 0 {
		c.floor = c.changes[extra-1].Revision
		c.changes = slices.Clone(c.changes[extra:])
	}
}

// Since makes what a reader at a position lacks.
func (c *Catalog) Since(at Position) Delta {
	d := Delta{To: c.position}
	if at.Config < c.position.Config {
		d.Config = c.config
	}
	switch {
	case at.Servers >= c.position.Servers:
		d.To.Servers = at.Servers
	case at.Servers < c.floor || at.Servers == 0:
		d.Whole = true
		for _, s := range c.Servers() {
			d.Changes = append(d.Changes, Change{Revision: c.position.Servers, Server: s})
		}
	default:
		for _, change := range c.changes {
			if change.Revision > at.Servers {
				d.Changes = append(d.Changes, change)
			}
		}
	}
	return d
}

// Merge takes in a delta and tells what changed.
func (c *Catalog) Merge(d Delta) (configChanged, serversChanged bool) {
	if d.Config != nil {
		configChanged = c.SetConfig(d.To.Config, d.Config)
	}
	if d.To.Config == c.position.Config {
		c.SeenConfig(d.To.ConfigRevision)
	}
	if d.Whole {
		servers := make([]Server, 0, len(d.Changes))
		for _, change := range d.Changes {
			servers = append(servers, change.Server)
		}
		return configChanged, d.To.Servers > c.position.Servers && c.Replace(d.To.Servers, servers)
	}
	return configChanged, c.Advance(d.To.Servers, d.Changes)
}

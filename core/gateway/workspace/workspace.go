// Package workspace decides whose requests are whose: a key names the workspace of the
// caller that shows it.
//
// It owns the reading of a key out of a request's header and the keys of one version of
// the configuration. A Directory never changes once made. Keys are kept as digests alone:
// neither a dump of the process nor the time that a look-up takes gives away anything of a key.
// It does no I/O.
//
// # Usage
//
//	directory := workspace.New([]workspace.Config{{Name: "harbour", Keys: keys}})
//	key, _ := workspace.Key(request.Header["Authorization"], "Bearer")
//	found, ok := directory.Find(key)
package workspace

import (
	"crypto/sha256"
	"slices"

	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

// usualKey is the length, in bytes, up to which a look-up of a key allocates nothing.
const usualKey = 128

// Config is one workspace as the configuration has it.
type Config struct {
	Name string
	// Keys are those by which callers of the workspace are known.
	Keys []string
	// Priority goes before that of a route, 0 being the most urgent; nil leaves the
	// route's.
	Priority *int
	// Limit bounds the requests of the workspace, all gateways together.
	Limit quota.Limit
	// Regions are those whose targets may have its requests; nil for all.
	Regions []string
}

// Workspace is one of a Directory.
type Workspace struct {
	name     string
	priority *int
	limit    quota.Limit
	regions  []string
}

// Name is what the workspace is called, in the configuration as at the targets.
func (w *Workspace) Name() string { return w.name }

// Limit bounds its requests.
func (w *Workspace) Limit() quota.Limit { return w.limit }

// AllowsAll says whether targets of all regions may have its requests, as far as a route allows. So
// they may those of no workspace, which is nil.
func (w *Workspace) AllowsAll() bool { return w == nil || w.regions == nil }

// Allows says whether targets of a region may have its requests. A region that is not known is none
// of those that a workspace names.
func (w *Workspace) Allows(region string, known bool) bool {
	return w.AllowsAll() || known && slices.Contains(w.regions, region)
}

// Priority is that of its requests on a route with a priority of its own.
func (w *Workspace) Priority(route int) int {
	if w.priority != nil {
		return *w.priority
	}
	return route
}

// digest identifies a key.
type digest [sha256.Size]byte

// Directory holds the workspaces of one version of the configuration by their keys.
type Directory struct {
	byKey map[digest]*Workspace
	// shared are names of workspaces that give a key which another gives as well.
	shared  []string
	longest int
	limited bool
}

// New makes a directory. A key that two workspaces give names neither: whichever it was
// meant for, the other's requests would be taken for its own.
func New(configs []Config) *Directory {
	d := &Directory{byKey: map[digest]*Workspace{}}
	ambiguous := map[digest]bool{}
	for _, c := range configs {
		w := &Workspace{name: c.Name, priority: c.Priority, limit: c.Limit, regions: c.Regions}
		d.limited = d.limited || c.Limit.IsSet()
		for _, key := range c.Keys {
			d.add(key, w, ambiguous)
		}
	}
	for key := range ambiguous {
		delete(d.byKey, key)
	}
	slices.Sort(d.shared)
	d.shared = slices.Compact(d.shared)
	return d
}

// add takes in a key of a workspace. An empty one names nobody.
func (d *Directory) add(key string, w *Workspace, ambiguous map[digest]bool) {
	if key == "" {
		return
	}
	id := digestOf(key)
	if other, taken := d.byKey[id]; taken && other != w {
		ambiguous[id] = true
		d.shared = append(d.shared, other.name, w.name)
	}
	d.byKey[id] = w
	d.longest = max(d.longest, len(key))
}

// Find gives the workspace that a key names. A nil directory has none.
func (d *Directory) Find(key string) (*Workspace, bool) {
	if d == nil || key == "" || len(key) > d.longest {
		return nil, false
	}
	w, ok := d.byKey[digestOf(key)]
	return w, ok
}

// HasLimits says whether any workspace has a limit.
func (d *Directory) HasLimits() bool { return d != nil && d.limited }

// Shared are the names of workspaces that give a key which another gives as well, in order.
func (d *Directory) Shared() []string { return d.shared }

func digestOf(key string) digest {
	var room [usualKey]byte
	return sha256.Sum256(append(room[:0], key...))
}

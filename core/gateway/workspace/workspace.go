// Package workspace maps requests to workspaces: the key in a request identifies the workspace
// of its caller.
//
// The package extracts the key from a request header, and holds the keys of one version of the
// configuration. A Directory is immutable. Only digests of keys are kept: neither a dump of the
// process nor the duration of a look-up reveals anything about a key. The package does no I/O.
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

// shortKey is the key length, in bytes, up to which a look-up does not allocate.
const shortKey = 128

// Config is the configuration of one workspace.
type Config struct {
	Name string
	// Keys are the keys that identify callers of the workspace.
	Keys []string
	// Priority overrides that of a route, 0 being the most urgent; nil keeps the route's.
	Priority *int
	// Limit limits the requests of the workspace across all gateways.
	Limit quota.Limit
	// Regions are the regions whose targets may receive its requests; nil for all.
	Regions []string
}

// Workspace is a workspace in a Directory.
type Workspace struct {
	name     string
	priority *int
	limit    quota.Limit
	regions  []string
}

// Name returns the name of the workspace, which is the same in the configuration and at the
// targets.
func (w *Workspace) Name() string { return w.name }

// Limit returns the limit for its requests.
func (w *Workspace) Limit() quota.Limit { return w.limit }

// AllowsAll reports whether targets in all regions may receive its requests, as far as the
// route allows. This is also true for a nil Workspace, for requests without one.
func (w *Workspace) AllowsAll() bool { return w == nil || w.regions == nil }

// Allows reports whether targets in a region may receive its requests. An unknown region is not
// allowed if the workspace lists regions.
func (w *Workspace) Allows(region string, known bool) bool {
	return w.AllowsAll() || known && slices.Contains(w.regions, region)
}

// Priority returns the priority of its requests, given that of the route.
func (w *Workspace) Priority(route int) int {
	if w.priority != nil {
		return *w.priority
	}
	return route
}

// digest identifies a key without revealing it.
type digest [sha256.Size]byte

// Directory finds the workspaces of one version of the configuration by their keys.
type Directory struct {
	byKey map[digest]*Workspace
	// conflicting are the names of workspaces that share a key with another workspace.
	conflicting []string
	maxKeyLen   int
	hasLimits   bool
}

// New returns a directory of the given workspaces. A key that belongs to two workspaces
// identifies neither: otherwise requests of one of them would be attributed to the other.
func New(configs []Config) *Directory {
	d := &Directory{byKey: map[digest]*Workspace{}}
	ambiguous := map[digest]bool{}
	for _, c := range configs {
		w := &Workspace{name: c.Name, priority: c.Priority, limit: c.Limit, regions: c.Regions}
		d.hasLimits = d.hasLimits || c.Limit.IsSet()
		for _, key := range c.Keys {
			d.add(key, w, ambiguous)
		}
	}
	for key := range ambiguous {
		delete(d.byKey, key)
	}
	slices.Sort(d.conflicting)
	d.conflicting = slices.Compact(d.conflicting)
	return d
}

// add adds a key of a workspace. An empty key is ignored.
func (d *Directory) add(key string, w *Workspace, ambiguous map[digest]bool) {
	if key == "" {
		return
	}
	id := digestOf(key)
	if other, exists := d.byKey[id]; exists && other != w {
		ambiguous[id] = true
		d.conflicting = append(d.conflicting, other.name, w.name)
	}
	d.byKey[id] = w
	d.maxKeyLen = max(d.maxKeyLen, len(key))
}

// Find returns the workspace of a key. A nil directory has none.
func (d *Directory) Find(key string) (*Workspace, bool) {
	if d == nil || key == "" || len(key) > d.maxKeyLen {
		return nil, false
	}
	w, ok := d.byKey[digestOf(key)]
	return w, ok
}

// HasLimits reports whether any workspace has a limit.
func (d *Directory) HasLimits() bool { return d != nil && d.hasLimits }

// Conflicting returns the sorted names of workspaces that share a key with another workspace.
func (d *Directory) Conflicting() []string { return d.conflicting }

func digestOf(key string) digest {
	var buffer [shortKey]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

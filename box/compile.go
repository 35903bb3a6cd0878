package box

import (
	"log/slog"
	"strings"
	"sync"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/core/box/accepted"
	"github.com/sprucecrank/sprucecrank/internal/box/entry"
	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
)

// compiler turns accepted objects into routes. It keeps what it compiled, so
// that a change costs only the objects that changed. An object that cannot be
// used leaves the last good one of its key in force.
type compiler struct {
	log      *slog.Logger
	mu       sync.Mutex
	versions map[string]uint64
	services map[string]*policy.Service
	policies map[string]*policy.Policy
}

func newCompiler(log *slog.Logger) *compiler {
	return &compiler{
		log: log, versions: map[string]uint64{},
		services: map[string]*policy.Service{}, policies: map[string]*policy.Policy{},
	}
}

func (c *compiler) compile(entries []accepted.Entry) *entry.Routes {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		if c.versions[e.Key] < e.Version {
			c.versions[e.Key] = e.Version
			c.take(e)
		}
	}
	routes := make([]entry.Route, 0, len(c.services))
	for _, s := range c.services {
		routes = append(routes, entry.Route{Service: s, Policy: c.policies[s.Name]})
	}
	return entry.NewRoutes(routes)
}

func (c *compiler) take(e accepted.Entry) {
	env, err := envelope.Parse(e.Value)
	if err == nil {
		err = c.put(e.Key, env)
	}
	if err != nil {
		c.log.Error("object cannot be used; the last good version stays in force", "object", e.Key, "version", e.Version, "error", err)
	}
}

func (c *compiler) put(key string, env envelope.Envelope) error {
	if name, ok := strings.CutPrefix(key, envelope.Service.KeyPrefix()); ok {
		return keep(c.services, name, env, policy.ParseService)
	}
	if name, ok := strings.CutPrefix(key, envelope.Policy.KeyPrefix()); ok {
		return keep(c.policies, name, env, policy.ParsePolicy)
	}
	return nil
}

func keep[T any](into map[string]*T, name string, env envelope.Envelope, parse func([]byte) (*T, error)) error {
	if env.Deleted {
		delete(into, name)
		return nil
	}
	parsed, err := parse(env.Value)
	if err != nil {
		return err
	}
	into[name] = parsed
	return nil
}

package entry

import (
	"cmp"
	"net/http"
	"slices"
	"strings"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// Route is a service in force with its policy.
type Route struct {
	Service *policy.Service
	// Policy is nil when none is in force; then every request is of the
	// default kind.
	Policy *policy.Policy
}

// Routes finds the service of a request; it never changes once made.
type Routes struct {
	byPrefix []Route
}

// NewRoutes orders the routes so that the longest prefix wins.
func NewRoutes(routes []Route) *Routes {
	sorted := slices.Clone(routes)
	slices.SortFunc(sorted, func(a, b Route) int {
		return cmp.Or(cmp.Compare(len(b.Service.Prefix), len(a.Service.Prefix)), cmp.Compare(a.Service.Name, b.Service.Name))
	})
	return &Routes{byPrefix: sorted}
}

var defaultKind = policy.Kind{
	Name: "default", Weight: policy.DefaultWeight, DeadlineMS: policy.DefaultDeadline,
	Mode: policy.Single, UsualMS: 50,
}

// Services lists the services in force.
func (r *Routes) Services() []*policy.Service {
	out := make([]*policy.Service, len(r.byPrefix))
	for i, route := range r.byPrefix {
		out[i] = route.Service
	}
	return out
}

// find names the service and the kind of a request.
func (r *Routes) find(req *http.Request) (*policy.Service, *policy.Kind, *verdict.Error) {
	route, ok := r.match(req.URL.Path)
	if !ok {
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonNoService, "no service in force has a prefix of this path")
	}
	if route.Policy == nil {
		return route.Service, &defaultKind, nil
	}
	kind, err := route.Policy.Classify(describe(req))
	if err != nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.ReasonPolicyUndecided, "the service's policy does not name a kind for this request").WithCause(err)
	}
	return route.Service, kind, nil
}

func (r *Routes) match(path string) (Route, bool) {
	for _, route := range r.byPrefix {
		if underPrefix(path, route.Service.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// underPrefix matches whole path segments: /a covers /a and /a/b, not /ab.
func underPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

func describe(req *http.Request) policy.Request {
	headers := make(map[string]string, len(req.Header))
	for name, values := range req.Header {
		headers[strings.ToLower(name)] = values[0]
	}
	return policy.Request{Method: req.Method, Path: req.URL.Path, Client: req.Header.Get(HeaderClient), Headers: headers}
}

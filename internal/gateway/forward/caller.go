package forward

import (
	"context"

	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/workspace"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// headerKey is where a client shows its key.
const headerKey = "Authorization"

// caller is whose request it is, by one version of the configuration.
type caller struct {
	table *routing.Table
	// workspace is nil where no key is asked for and none is known.
	workspace *workspace.Workspace
	// hidden says that some version asked for keys, so that the target must not see what the
	// client sent of its key and its workspace.
	hidden bool
}

// identify finds whose request it is by a version of the configuration. A key that it does
// not know is refused: as not ready where a newer version may know it.
func (b *balancer) identify(req *request, table *routing.Table) *verdict.Error {
	directory := table.Workspaces()
	who := &caller{table: table, hidden: directory != nil}
	if before := req.caller.Load(); before != nil {
		who.hidden = who.hidden || before.hidden
	}
	if directory == nil {
		req.caller.Store(who)
		return nil
	}
	key, shown := workspace.Key(req.in.Header[headerKey], b.options.Names.KeyScheme)
	found, known := directory.Find(key)
	switch {
	case !known && req.route.Public:
	case !known && shown && !b.options.Current():
		return notReady("the key is not known, but the configuration may be out of date")
	case !known:
		return unauthorized(shown)
	case !req.route.Public && !b.options.TrustsKeys():
		return notReady("the key may have been revoked, and the configuration is out of date")
	}
	who.workspace = found
	req.caller.Store(who)
	return nil
}

// unauthorized is the refusal of a request whose key names nobody, or that shows none. What
// was shown is not said.
func unauthorized(shown bool) *verdict.Error {
	if shown {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the key names no workspace")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the request shows no key, or not one alone")
}

// revoked is the refusal of a request whose key is not in force any more; nil for all
// others. It is asked before each send, first or not, and while a request waits: a key that
// was taken away must not run what came before.
func (b *balancer) revoked(req *request) *verdict.Error {
	table := b.options.Snapshot().Table()
	who := req.caller.Load()
	if table == who.table && (who.workspace == nil || b.options.TrustsKeys()) {
		return nil
	}
	return b.identify(req, table)
}

// priority ranks the request: by its workspace, or else by its route.
func (r *request) priority() int {
	if w := r.caller.Load().workspace; w != nil {
		return w.Priority(r.route.Priority)
	}
	return r.route.Priority
}

// workspaceName is that of the request's workspace; empty where it has none.
func (r *request) workspaceName() string {
	if who := r.caller.Load(); who != nil && who.workspace != nil {
		return who.workspace.Name()
	}
	return ""
}

// count counts a request of a workspace by how it ended.
func (h *Handler) count(req *request, f *verdict.Error) {
	name := req.workspaceName()
	switch {
	case name == "":
	case f == nil:
		h.options.Metrics.Workspace(name, workspace.Served)
	case f.Reason() == verdict.ReasonQuota:
		h.options.Metrics.Workspace(name, workspace.OverQuota)
	default:
		h.options.Metrics.Workspace(name, workspace.Failed)
	}
}

// admit says whether the quota of the request's workspace allows it.
func (h *Handler) admit(ctx context.Context, req *request) *verdict.Error {
	if req.relayed != nil {
		return nil // the gateway that took it has its credit
	}
	who := req.caller.Load()
	credit, failure := h.options.Quota.Admit(ctx, who.workspace, who.table.Version())
	req.credit = credit
	if failure != nil && ctx.Err() != nil {
		return failureOf(ctx)
	}
	return failure
}

package forward

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/deadline"
	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
	"github.com/sprucecrank/sprucecrank/core/gateway/refusal"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// request is one request of a client on its way through the gateway.
type request struct {
	id      string
	in      *http.Request
	body    [][]byte // in pieces
	config  uint64   // the version by which the request is handled
	route   *routing.Route
	service string
	// healthPath is where the targets of the service answer health probes.
	healthPath string
	// coldRate is how many requests a second a cold target of the service bears.
	coldRate float64
	began    time.Time
	deadline deadline.Deadline
	end      func() // ends what is done for it, and expire does since its deadline has passed
	expire   func()
	sends    atomic.Int32
	// avoid are the targets to which the request was sent already.
	avoid []catalog.Life
	// waits counts the rounds of probes in which no target would do.
	waits int
	// denied counts the targets that had no credit for it by the limits that they name.
	denied atomic.Int32
	// probed counts the targets that answered its probes, idle those that were.
	probed atomic.Int64
	idle   atomic.Int64
	// onTrial says that its first send was drawn for the version on trial.
	onTrial bool
	// exploresLimit says that it may take a slot that is better left free.
	exploresLimit bool
	sendLog       sendLog
	// relayed is what another gateway decided that had this one serve the request; nil for a
	// client's.
	relayed *relayedFrom
	// caller is whose request it is, by the newest configuration that was asked.
	caller atomic.Pointer[caller]
	// credit is what its workspace's quota gave for it; nil where it has none.
	credit *quota.Credit
	// fingerprint distinguishes it from others; it is worked out when first asked for.
	fingerprint func() fingerprint.Fingerprint
}

// newRequest takes a client's request in, with the time for which its body waited for room.
func newRequest(id string, in *http.Request, began time.Time) *request {
	if body, ok := in.Body.(*pipeline.Body); ok {
		began = began.Add(-body.Waited())
	}
	req := &request{id: id, in: in, began: began, end: func() {}}
	req.fingerprint = sync.OnceValue(req.takeFingerprint)
	return req
}

// received is when the fleet took the request: another gateway, if that one relayed it.
func (r *request) received() time.Time {
	if r.relayed == nil {
		return r.began
	}
	return r.began.Add(-r.relayed.held)
}

// takeFingerprint is that of the request and its caller; the body must have been read.
func (r *request) takeFingerprint() fingerprint.Fingerprint {
	address, _, err := net.SplitHostPort(r.in.RemoteAddr)
	if err != nil {
		address = r.in.RemoteAddr // whole, where it has no port
	}
	return fingerprint.Compute(fingerprint.Request{
		Method: r.in.Method, Host: r.in.Host, URI: r.in.RequestURI, Body: r.body, Address: address,
		Credentials: []string{r.in.Header.Get(headerKey), r.in.Header.Get("Cookie")},
	})
}

// route finds the route, the service and the deadline of a request.
func (h *Handler) route(believed *snapshot.Snapshot, req *request) *verdict.Error {
	table := believed.Table()
	if table == nil {
		return notReady("no configuration is known yet")
	}
	req.config = table.Version()
	if req.relayed != nil && req.config != req.relayed.config {
		return notReady("the gateway that relayed the request goes by another configuration")
	}
	route, ok := table.Match(req.in.Host, req.in.URL.Path)
	if !ok && !h.options.Current() {
		return notReady("no route, but the configuration may be out of date")
	}
	if !ok {
		return verdict.New(verdict.NotRun, verdict.ReasonNoService, "no route in force covers this host and path")
	}
	req.route = route
	if failure := h.balancer.identify(req, table); failure != nil {
		return failure
	}
	req.service = h.drawService(req)
	req.onTrial = h.drawTrial(req.service)
	if service, ok := table.Service(req.service); ok {
		req.healthPath, req.coldRate = service.HealthPath, service.ColdRate
	}
	req.deadline = deadline.New(req.began, route.Timeout, h.allowed(req))
	return nil
}

func notReady(detail string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonNotReady, detail).WithRetryAfter(refusal.NotReadyRetryAfter)
}

// allowed is how long the client says that it will wait. A header that says
// nothing sensible is passed over, as if there were none: the route's time-out
// holds.
func (h *Handler) allowed(req *request) time.Duration {
	text := req.in.Header.Get(h.options.Names.Deadline)
	allowed, err := deadline.ParseMilliseconds(text)
	if err != nil {
		h.options.Log.Warn("deadline passed over", "request", req.id, "header", h.options.Names.Deadline, "value", text, "error", err.Error())
	}
	return allowed
}

// countProbe notes what a probe found; nil is no answer.
func (r *request) countProbe(found *candidate) {
	if found == nil {
		return
	}
	r.probed.Add(1)
	if found.Idle() {
		r.idle.Add(1)
	}
}

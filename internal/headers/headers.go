// Package headers holds the names of the HTTP headers that a gateway, its clients
// and the targets exchange, so that one data path serves deployments that name them
// differently (Names). For both daemons it also removes the headers that must not be
// forwarded (RemoveHopByHop) and parses Retry-After (RetryAfter, BackOff).
//
// # Usage
//
//	names := headers.Defaults()
//	id := request.Header.Get(names.RequestID)
package headers

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names holds the header names in canonical form.
type Names struct {
	// RequestID identifies one attempt of a client; targets echo it.
	RequestID string
	// Deadline is the time for which the caller will still wait, in whole milliseconds.
	Deadline string
	// ExpectInstance names the only target that may run the request.
	ExpectInstance string
	// Instance is the instance ID that a target returns in its response to a health probe.
	Instance string
	// Load is a target's load: requests running, requests waiting, slots, and latency in
	// percent of the usual one.
	Load string
	// Limit is how many requests a second a target accepts from all gateways together. A
	// target that needs such a limit sends it in any of its responses.
	Limit string
	// Warmup is the time until a target has warmed up, in milliseconds. Targets send it in
	// their responses to health probes.
	Warmup string
	// Leaving, if its value is true, marks each response of a target that drains and then
	// shuts down.
	Leaving string
	// NotRun marks a response of a target that did not run the request.
	NotRun string
	// Workspace tells a target which workspace a request belongs to.
	Workspace string
	// KeyScheme is the scheme that precedes a key in the Authorization header.
	KeyScheme string
}

// Defaults returns the product's own header names.
func Defaults() Names {
	return Names{
		RequestID:      "X-Request-Id",
		Deadline:       "Sprucecrank-Deadline-Ms",
		ExpectInstance: "Sprucecrank-Expect-Instance",
		Instance:       "Target-Instance",
		Load:           "Target-Load",
		Limit:          "Target-Limit",
		Warmup:         "Target-Warmup-Ms",
		Leaving:        "Target-Leaving",
		NotRun:         "Target-Verdict",
		Workspace:      "Sprucecrank-Workspace",
		KeyScheme:      "Bearer",
	}
}

// hopByHop lists the headers that apply to one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that apply to one connection only, including
// those that the Connection header lists.
func RemoveHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

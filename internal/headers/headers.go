// Package headers names the HTTP headers that a gateway, its clients and the
// targets exchange, so that one data path serves deployments that spell them
// differently (Names), and removes those that must not be passed on, for both
// daemons (RemoveHopByHop).
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

// Names are the headers' names in canonical form.
type Names struct {
	// RequestID identifies one attempt of a client; targets repeat it.
	RequestID string
	// Deadline is what the caller will still wait, in whole milliseconds.
	Deadline string
	// ExpectInstance names the only target that may run the request.
	ExpectInstance string
	// Instance is the id by which a target answers a health probe.
	Instance string
	// Load is a target's load: running, waiting, slots, percent of usual time.
	Load string
	// Limit is how many requests a second a target takes from all gateways together, in any
	// answer of one that is in need.
	Limit string
	// Warmup is for how much longer a target is cold, in milliseconds, in its health
	// answers.
	Warmup string
	// Leaving marks each answer of a target that drains and then ends, if its value is true.
	Leaving string
	// NotRun marks an answer of a target that did not run the request.
	NotRun string
	// Workspace tells a target whose request it gets.
	Workspace string
	// KeyScheme is what stands before a key in the Authorization header.
	KeyScheme string
}

// Defaults are the product's own names.
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

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop drops the headers of one connection, those that the
// Connection header names among them.
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

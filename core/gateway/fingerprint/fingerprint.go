// Package fingerprint decides whether two attempts carry the same request: the same
// content from the same caller. Clients give each attempt an id of its own, so that the
// id does not show it.
//
// It defines what counts as the same. It does no I/O.
//
// # Usage
//
//	print := fingerprint.Compute(fingerprint.Request{Method: "GET", Host: "a", URI: "/x", Address: "10.0.0.1"})
//	if print == other {
//		// the same request of the same caller
//	}
package fingerprint

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"
)

// partDigits is the length of each part of a Fingerprint: 64 bits. A caller that wants
// its own request to be mistaken for another one has to try some 2^63.
const partDigits = 16

// Request holds the parts of a request that its fingerprint is computed from.
type Request struct {
	Method, Host, URI string
	// Body is the body in pieces; how it is divided does not matter.
	Body [][]byte
	// Address is the caller's, without a port. Credentials are those that it sends, in a
	// fixed order, such as its Authorization header.
	Address     string
	Credentials []string
}

// Fingerprint identifies a request and its caller, by 16 hexadecimal digits each. The
// fields are exported for the codec between gateways.
type Fingerprint struct {
	// Content is computed from method, host, URI and body, Caller from address and
	// credentials.
	Content, Caller string
}

// Compute returns the fingerprint of a request.
func Compute(r Request) Fingerprint {
	content := sha256.New()
	writeAll(content, r.Method, r.Host, r.URI)
	for _, piece := range r.Body {
		content.Write(piece)
	}
	caller := sha256.New()
	writeAll(caller, r.Address)
	writeAll(caller, r.Credentials...)
	return Fingerprint{Content: sum(content), Caller: sum(caller)}
}

// String returns the form used in log lines.
func (f Fingerprint) String() string { return f.Content + "-" + f.Caller }

// writeAll writes texts, each preceded by its length, so that no two different lists hash
// the same bytes.
func writeAll(h hash.Hash, texts ...string) {
	for _, text := range texts {
		h.Write([]byte(strconv.Itoa(len(text)) + ":" + text))
	}
}

func sum(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil))[:partDigits] }

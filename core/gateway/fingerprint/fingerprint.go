// Package fingerprint decides whether two attempts carry the same request: what is asked,
// and who asks. Clients give each attempt an id of its own, so that nothing else does.
//
// It owns what counts as the same. It does no I/O.
//
// # Usage
//
//	print := fingerprint.Of(fingerprint.Request{Method: "GET", Host: "a", URI: "/x", Address: "10.0.0.1"})
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

// digits is the length of each part of a Fingerprint: 64 bits. A caller that wants its
// own request taken for another's has to try some 2^63.
const digits = 16

// Request is what the fingerprint of a request is taken of.
type Request struct {
	Method, Host, URI string
	Body              []byte
	// Address is the caller's, without a port. Credentials are those that it gives, in
	// a fixed order, such as its Authorization header.
	Address     string
	Credentials []string
}

// Fingerprint identifies a request and its caller, by 16 hexadecimal digits each. The
// fields are exported for the codec between gateways.
type Fingerprint struct {
	// Content is of method, host, URI and body, Caller of address and credentials.
	Content, Caller string
}

// Of takes the fingerprint of a request.
func Of(r Request) Fingerprint {
	content := sha256.New()
	add(content, r.Method, r.Host, r.URI)
	content.Write(r.Body)
	caller := sha256.New()
	add(caller, r.Address)
	add(caller, r.Credentials...)
	return Fingerprint{Content: sum(content), Caller: sum(caller)}
}

// String is how log lines show a fingerprint.
func (f Fingerprint) String() string { return f.Content + "-" + f.Caller }

// add adds texts, each with its length before it, so that no two lists look alike.
func add(h hash.Hash, texts ...string) {
	for _, text := range texts {
		h.Write([]byte(strconv.Itoa(len(text)) + ":" + text))
	}
}

func sum(h hash.Hash) string { return hex.EncodeToString(h.Sum(nil))[:digits] }

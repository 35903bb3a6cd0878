// Package envelope is the form in which services and policies stand in the
// platform: the accepted value, who submitted it, and the versions before it.
//
// It owns that form, which is stored: fields keep their names.
//
// # Usage
//
//	next := current.Next(envelope.Revision{ID: uuid.NewString(), By: "som", Value: raw})
package envelope

import (
	"encoding/json"
	"fmt"
	"time"
)

// Prefix is where configuration stands in the platform.
const Prefix = "config/"

// MostHistory is how many earlier versions an object keeps.
const MostHistory = 10

// Noun is a kind of configuration object.
type Noun string

// The kinds of configuration objects.
const (
	Service Noun = "service"
	Policy  Noun = "policy"
)

// Key names an object in the platform.
func (n Noun) Key(name string) string { return n.KeyPrefix() + name }

// KeyPrefix is where all objects of the kind stand.
func (n Noun) KeyPrefix() string { return Prefix + string(n) + "/" }

// Revision is one submission.
type Revision struct {
	// ID names the submission, so that a lost answer can be settled.
	ID string    `json:"id"`
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Deleted marks a tombstone.
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Version is known only for earlier revisions.
	Version uint64 `json:"version,omitempty"`
}

// Envelope is the newest revision with those before it, newest first.
type Envelope struct {
	Revision
	History []Revision `json:"history,omitempty"`
}

// Parse reads an envelope.
func Parse(raw []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(raw, &e); err != nil {
		return e, fmt.Errorf("not a configuration object: %w", err)
	}
	return e, nil
}

// Next makes the envelope that follows; version is that of e, 0 when e is none.
func (e Envelope) Next(version uint64, r Revision) Envelope {
	next := Envelope{Revision: r}
	if version == 0 {
		return next
	}
	last := e.Revision
	last.Version = version
	next.History = append([]Revision{last}, e.History...)
	next.History = next.History[:min(len(next.History), MostHistory)]
	return next
}

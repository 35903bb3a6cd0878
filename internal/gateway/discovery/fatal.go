package discovery

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"github.com/sprucecrank/sprucecrank/core/gateway/quarantine"
)

// What gateways tell each other of requests that end targets goes as bytes and texts: the
// codec of net/rpc describes each type once on each connection, and the connections of
// gateways are many and short. With types of their own the messages of a calm fleet of 100
// were longer by 6 in 100.

// formatPosition is how a message names a position; nothing for that of an empty ledger,
// which is all there is mostly.
func formatPosition(p quarantine.Position) string {
	if p == (quarantine.Position{}) {
		return ""
	}
	return fmt.Sprintf("%x.%x", p.Ledger, p.Version)
}

// parsePosition reads it; what is no position is that of an empty ledger, whose owner is
// told all.
func parsePosition(text string) (p quarantine.Position) {
	if _, err := fmt.Sscanf(text, "%x.%x", &p.Ledger, &p.Version); err != nil {
		return quarantine.Position{}
	}
	return p
}

// fatalSince is what changed since a position as a message holds it, and how far that comes.
func (f *Follower) fatalSince(at quarantine.Position) ([]byte, quarantine.Position) {
	words, to := f.options.Fatal.Since(at)
	if len(words) == 0 {
		return nil, to
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(words); err != nil {
		f.options.Log.Error("quarantine not encoded", "error", err.Error())
		return nil, to
	}
	return body.Bytes(), to
}

// addFatal adds to an answer what the caller has not heard.
func (f *Follower) addFatal(args UpdateArgs, reply *UpdateReply) {
	body, to := f.fatalSince(parsePosition(args.FatalAt))
	reply.Fatal, reply.FatalAt = body, formatPosition(to)
}

// decodeWords reads what a message of another gateway holds.
func (f *Follower) decodeWords(body []byte, from string) (words []quarantine.Word) {
	if len(body) == 0 {
		return nil
	}
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&words); err != nil {
		f.options.Log.Warn("word of a gateway not understood", "peer", from, "error", err.Error())
	}
	return words
}

// hearFatal takes in what another gateway knows of requests that end targets; the lock is
// held. The time that word was on its way is not counted: what it tells of happened at a
// moment, which is compared with others to some ms.
func (f *Follower) hearFatal(words []quarantine.Word, from string) {
	if f.options.Fatal.Merge(words, from) {
		f.wake() // others have to hear of it
	}
}

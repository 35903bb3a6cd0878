package gateway_test

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
)

const (
	// invalidSpells is how often a target of a soak gives answers that the protocol does not allow.
	invalidSpells = 2
	// longestInvalid is the longest of these spells.
	longestInvalid = 1500 * time.Millisecond
	// longUpload is the least length of a body, in bytes, that a reset meets unread.
	longUpload = 64 << 10
)

// seedsWithoutInvalid were kept before targets answered so: they are played as they failed.
var seedsWithoutInvalid = []uint64{12016, 99002, 7600, 95032}

// breakAnswers has targets give answers that the protocol does not allow, now and then during a
// time.
func (w *world) breakAnswers(random *rand.Rand, lasts time.Duration) {
	for range invalidSpells {
		time.Sleep(time.Duration(random.Int64N(int64(lasts / invalidSpells))))
		b := w.pickTarget(random)
		if b == nil {
			continue
		}
		w.trouble.Add(1)
		b.invalid.Store(true)
		time.Sleep(time.Duration(random.Int64N(int64(longestInvalid))))
		b.invalid.Store(false)
		w.clean.Store(int64(time.Since(w.began)))
		w.trouble.Add(-1)
	}
}

// resetUpload cuts an answer without a length off by a reset, with a long body unread. It returns
// false if the body is short.
func (b *soakTarget) resetUpload(w http.ResponseWriter, r *http.Request, id string) bool {
	if r.ContentLength >= 0 && r.ContentLength < longUpload {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		b.world.t.Error(err)
		return true
	}
	httpconntest.WriteAndReset(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n\r\nanswer", id, b.id))
	return true
}

// answerInvalidly writes one of the answers that the protocol does not allow, by the request's id.
func (b *soakTarget) answerInvalidly(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		b.world.t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	invalid := httpconntest.Invalid(fmt.Sprintf("Attempt-Id: %s\r\nServer-Signature: %s\r\n", id, b.id))
	names := slices.Sorted(maps.Keys(invalid))
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, id)
	httpconntest.Write(conn, invalid[names[int(hash.Sum32())%len(names)]])
}

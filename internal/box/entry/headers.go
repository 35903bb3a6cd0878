package entry

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// Headers that callers, boxes and targets exchange; docs/API.md describes them.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "Sprucecrank-Deadline-Ms"
	HeaderClient    = "Sprucecrank-Client"
	HeaderReason    = "Sprucecrank-Reason"
	HeaderReplayed  = "Sprucecrank-Replayed"
	HeaderKey       = "Idempotency-Key"
	HeaderAttempt   = "Sprucecrank-Attempt"

	// Headers of a target's answers.
	HeaderTargetStart   = "Target-Start"
	HeaderTargetState   = "Target-State"
	HeaderTargetVerdict = "Target-Verdict"

	// TargetLeaving is the value of HeaderTargetState of a target that leaves.
	TargetLeaving = "leaving"
	// TargetNotRun is the value of HeaderTargetVerdict of a target that shed.
	TargetNotRun = "not-run"
)

// targetOnly are the headers by which targets talk to boxes.
var targetOnly = []string{HeaderTargetStart, HeaderTargetState, HeaderTargetVerdict}

// boxOnly are the headers that only a box may set on an answer.
var boxOnly = []string{verdict.Header, HeaderReason, HeaderReplayed, HeaderRequestID}

// passedOn makes the headers of an answer to the client from a target's.
func passedOn(fromTarget http.Header) http.Header {
	h := fromTarget.Clone()
	headers.RemoveHopByHop(h)
	for _, name := range slices.Concat(targetOnly, boxOnly) {
		h.Del(name)
	}
	return h
}

// outbound makes the headers of a try from those of the request.
func outbound(r *http.Request, id string, remaining time.Duration) http.Header {
	h := r.Header.Clone()
	headers.RemoveHopByHop(h)
	h.Set(HeaderRequestID, id)
	h.Set(HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 0), 10))
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h.Set("X-Forwarded-For", joinForwarded(h["X-Forwarded-For"], host))
	}
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // keep the transport from adding its own
	}
	return h
}

func joinForwarded(before []string, host string) string {
	return strings.Join(append(before, host), ", ")
}

// deadline is the kind's deadline, or the caller's when that is earlier.
func deadline(r *http.Request, now time.Time, kind time.Duration) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || ms < 0 || ms > kind.Milliseconds() {
		return now.Add(kind)
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/deadline"
	"github.com/sprucecrank/sprucecrank/core/gateway/refusal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// bodyPatience is the share of the time that a request has for which its body may wait for
	// room: the rest is for the target.
	bodyPatience = 0.5
	// minNoRoomSpread is over how many times the usual time of a body clients that found no
	// room come back, at least.
	minNoRoomSpread = 2
	// defaultBodyTime is how long a body is taken to be held if none was yet.
	defaultBodyTime = time.Second
)

// BodyPatience returns how long a client's request may wait for room for its body.
func (h *Handler) BodyPatience(r *http.Request) time.Duration {
	table := h.options.Snapshot().Table()
	if table == nil {
		return 0
	}
	route, ok := table.Match(r.Host, r.URL.Path)
	if !ok {
		return 0
	}
	allowed, err := deadline.ParseMilliseconds(r.Header.Get(h.options.Names.Deadline))
	if err != nil {
		allowed = deadline.Unspecified // the request is handled so, too
	}
	now := h.options.Clock()
	left := deadline.New(now, route.Timeout, allowed).Request().Sub(now)
	return time.Duration(bodyPatience * float64(left))
}

// readBody takes the body in whole, so that a slow client holds no target. The limits on its
// length and on memory are kept by the client's connection (internal/gateway/pipeline).
func (h *Handler) readBody(req *request) *verdict.Error {
	if req.in.Body == nil || req.in.Body == http.NoBody {
		return nil
	}
	pieces, err := takePieces(req.in.Body)
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		req.body = pieces
		return nil
	case errors.As(err, &tooLong):
		return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "the body is larger than the limits allow")
	case errors.Is(err, membudget.ErrTooLarge):
		return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "the body is larger than the memory allows").WithCause(err)
	case errors.Is(err, membudget.ErrNoRoom):
		return h.noRoom(req).WithCause(err)
	default:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body could not be read whole").WithCause(err)
	}
}

// takePieces returns a body in pieces, which are not copied where a client's connection holds it.
func takePieces(body io.Reader) ([][]byte, error) {
	held, ok := body.(*pipeline.Body)
	if !ok {
		whole, err := io.ReadAll(body)
		return [][]byte{whole}, err
	}
	return held.Pieces(), held.Err()
}

// noRoom refuses a request for which there is no room in memory, and tells the client to come
// back when a body that is held now has usually gone.
func (h *Handler) noRoom(req *request) *verdict.Error {
	usual := h.options.UsualBodyTime()
	if usual == 0 {
		usual = defaultBodyTime
	}
	left := req.deadline.Client().Sub(h.options.Clock())
	left = max(left, minNoRoomSpread*usual) // clients that would wait for less don't come back together
	pause := refusal.RetryAfterUnavailable(usual, left, h.options.Draw())
	return verdict.New(verdict.NotRun, verdict.ReasonNoMemory, "there is no room in memory for the request").WithRetryAfter(pause)
}

package entry

import (
	"io"
	"net/http"
	"sync"

	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// relay passes a target's answer on. An answer that breaks off half-way ends
// in a broken connection, never in a clean end.
func (h *Handler) relay(w http.ResponseWriter, x *exchange, t *try) verdict.Verdict {
	defer t.cancel()
	response := t.reply.response
	defer func() { _ = response.Body.Close() }()
	v := verdictOf(response.StatusCode)
	writeHead(w, response, v)
	fromTarget, toClient := copyBody(w, response)
	switch {
	case toClient != nil:
		h.release(t, health.Cancelled)
		panic(http.ErrAbortHandler)
	case fromTarget != nil:
		h.options.Log.Warn("answer cut half-way", "request", x.id, "target", t.slot.Target(), "error", fromTarget)
		h.release(t, health.Failed)
		panic(http.ErrAbortHandler)
	}
	writeTrailers(w, response)
	result := resultOf(t.reply)
	h.release(t, result)
	if result == health.OK {
		h.budgets.earn(x.service.Name)
	}
	return v
}

// verdictOf is Ran for an answer, but one that says that the target failed
// leaves open how far the request came.
func verdictOf(status int) verdict.Verdict {
	if status >= http.StatusInternalServerError {
		return verdict.MayHaveRun
	}
	return verdict.Ran
}

func writeHead(w http.ResponseWriter, r *http.Response, v verdict.Verdict) {
	for name, values := range passedOn(r.Header) {
		w.Header()[name] = values
	}
	w.Header().Set(verdict.Header, v.String())
	for name := range r.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(r.StatusCode)
}

// copyBody passes the body on and tells which side failed. A body of unknown
// length is flushed as it comes.
func copyBody(w http.ResponseWriter, r *http.Response) (fromTarget, toClient error) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	flush := r.ContentLength < 0
	controller := http.NewResponseController(w)
	if flush {
		_ = controller.Flush()
	}
	for {
		n, err := r.Body.Read(*buffer)
		if n > 0 {
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return nil, werr
			}
			if flush {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// writeTrailers passes on the trailers that came after the body.
func writeTrailers(w http.ResponseWriter, r *http.Response) {
	for name, values := range r.Trailer {
		for _, value := range values {
			w.Header().Add(name, value)
		}
	}
}

package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/sprucecrank/sprucecrank/core/gateway/outcome"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// streams says whether a long answer may be passed on before it is whole: only one
// that ends the request, since a send that failed may be repeated.
func streams(status int, notRun bool) bool {
	return outcome.FromAnswer(status, notRun) == outcome.Served
}

// stream gives the client a long answer as it comes from the target. It ends the
// client's connection if the target breaks off: what came must not look whole.
func (h *Handler) stream(w http.ResponseWriter, req *request, a *upstream.Answer) {
	defer a.Close()
	if a.Length() >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(a.Length(), 10))
	}
	w.WriteHeader(a.Status())
	if failure := copyTo(w, a); failure != nil {
		a.Close() // the send ends before the request's line is written
		h.report(req, a.Status(), failure)
		panic(http.ErrAbortHandler)
	}
	h.report(req, a.Status(), nil)
}

func copyTo(w http.ResponseWriter, a *upstream.Answer) *verdict.Error {
	client := http.NewResponseController(w)
	for {
		piece, err := a.Next()
		if err == io.EOF {
			return nil
		}
		var broken *verdict.Error
		if errors.As(err, &broken) {
			return broken
		}
		if err = client.Flush(); err == nil { // before the first, so that it is not copied
			_, err = w.Write(piece)
		}
		if err != nil {
			return verdict.New(verdict.MayHaveRun, verdict.ReasonClientGone, "the client took no more of the answer").WithCause(err)
		}
	}
}

// lender is a http.ResponseWriter that takes a body without a copy of it.
type lender interface {
	Lend(body []byte, release func())
}

// give gives the client a whole body, and back what it holds once that is written.
func give(w http.ResponseWriter, a *upstream.Answer) error {
	if l, ok := w.(lender); ok {
		l.Lend(a.Body(), a.Close)
		return nil
	}
	defer a.Close()
	_, err := w.Write(a.Body())
	return err
}

package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/core/box/once"
	"github.com/sprucecrank/sprucecrank/internal/box/grant"
	"github.com/sprucecrank/sprucecrank/internal/box/oncerun"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// mostAttempts is the greatest number of a try.
const mostAttempts = 1000000

// mostOnceAnswer is the largest answer of a once request; it is read whole
// before the client gets any of it.
const mostOnceAnswer = 16 << 20

// serveOnce answers a request that runs at most once.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, x *exchange) verdict.Verdict {
	key := x.in.Header.Get(HeaderKey)
	if failure := once.CheckKey(h.options.Clock(), key); failure != nil {
		return h.fail(w, x, failure)
	}
	attempt, failure := attemptOf(x.in)
	if failure != nil {
		return h.fail(w, x, beforeRecord(x, failure))
	}
	ctx, span := h.options.Telemetry.Start(ctx, "record")
	defer span.End()
	result, failure := h.options.Runner.Run(ctx, oncerun.Operation{
		Key:         once.ObjectKey(x.service.Name, x.in.Header.Get(HeaderClient), key),
		Fingerprint: once.Fingerprint(x.in.Method, x.in.URL.RequestURI(), x.body),
		Attempt:     attempt,
		Deadline:    x.deadline,
		Acquire: func(ctx context.Context, avoid []string) (*grant.Slot, *verdict.Error) {
			return h.acquire(ctx, x, avoid, false)
		},
		Send: func(ctx context.Context, slot *grant.Slot) (*once.Answer, ledger.Outcome, *verdict.Error) {
			return h.sendOnce(ctx, x, slot)
		},
		Release: h.options.Broker.Release,
	})
	if failure != nil {
		return h.fail(w, x, failure)
	}
	return writeAnswer(w, result)
}

// attemptOf reads the client's number of this try; 0 when it has none.
func attemptOf(r *http.Request) (int, *verdict.Error) {
	text := r.Header.Get(HeaderAttempt)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > mostAttempts {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, HeaderAttempt+" must be a number from 1 to 1000000, greater at each try of a key")
	}
	return n, nil
}

// sendOnce sends the request and reads its whole answer.
func (h *Handler) sendOnce(ctx context.Context, x *exchange, slot *grant.Slot) (*once.Answer, ledger.Outcome, *verdict.Error) {
	began := h.options.Clock()
	rep, failure := h.send(ctx, x, slot.Target())
	if failure != nil {
		return nil, h.outcome(nil, resultOfFailure(failure), h.options.Clock().Sub(began)), failure
	}
	defer func() { _ = rep.response.Body.Close() }()
	if rep.shed {
		return nil, h.outcome(rep.response, health.Shed, 0), shedFailure(rep.response)
	}
	body, err := io.ReadAll(io.LimitReader(rep.response.Body, mostOnceAnswer+1))
	took := h.options.Clock().Sub(began)
	if err != nil {
		f := verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "the target's answer broke off").WithCause(err)
		return nil, h.outcome(rep.response, health.Failed, took), f
	}
	if len(body) > mostOnceAnswer {
		f := verdict.New(verdict.Ran, verdict.ReasonAnswerTooLarge, "the operation ran, but its answer is too large to pass on whole")
		return nil, h.outcome(rep.response, health.OK, took), f
	}
	return answerOf(rep.response, body), h.outcome(rep.response, resultOf(rep), took), nil
}

func answerOf(r *http.Response, body []byte) *once.Answer {
	h := passedOn(r.Header)
	h.Del("Content-Length")
	return &once.Answer{Status: r.StatusCode, Header: h, Body: body}
}

func writeAnswer(w http.ResponseWriter, result oncerun.Result) verdict.Verdict {
	for name, values := range result.Answer.Header {
		w.Header()[name] = values
	}
	v := verdictOf(result.Answer.Status)
	w.Header().Set(verdict.Header, v.String())
	if result.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	w.WriteHeader(result.Answer.Status)
	_, _ = w.Write(result.Answer.Body)
	return v
}

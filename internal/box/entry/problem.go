package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/verdict"
)

// Problem is the body of a refusal (RFC 9457).
type Problem struct {
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	Verdict   string `json:"verdict"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id"`
	// RetryAfterMS is when to come back, in milliseconds; the header
	// Retry-After gives it in whole seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// fail answers with a refusal and returns its verdict.
func (h *Handler) fail(w http.ResponseWriter, x *exchange, f *verdict.Error) verdict.Verdict {
	h.logFailure(x, f)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(verdict.Header, f.Verdict().String())
	header.Set(HeaderReason, string(f.Reason()))
	if f.RetryAfter() > 0 {
		header.Set("Retry-After", strconv.FormatInt(wholeSeconds(f.RetryAfter()), 10))
	}
	w.WriteHeader(f.Status())
	_ = json.NewEncoder(w).Encode(Problem{
		Title: http.StatusText(f.Status()), Status: f.Status(), Detail: f.Detail(),
		Verdict: f.Verdict().String(), Reason: string(f.Reason()), RequestID: x.id,
		RetryAfterMS: f.RetryAfter().Milliseconds(),
	})
	return f.Verdict()
}

// wholeSeconds rounds up, so that nobody comes back too early.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func (h *Handler) logFailure(x *exchange, f *verdict.Error) {
	service, kind := "", ""
	if x.service != nil {
		service, kind = x.service.Name, x.kind.Name
	}
	h.options.Log.Info("request failed", "request", x.id, "service", service, "kind", kind,
		"verdict", f.Verdict().String(), "reason", string(f.Reason()), "cause", cause(f))
}

func cause(f *verdict.Error) string {
	if err := f.Unwrap(); err != nil {
		return err.Error()
	}
	return ""
}

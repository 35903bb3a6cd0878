package forward

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/verdict"
)

// sent is one send of a request: what decided it and how it ended.
type sent struct {
	server    string
	zone      string
	running   int
	waiting   int
	slots     int
	slowness  float64
	age       time.Duration // of the reading, when the request was sent
	predicted time.Duration
	hedge     bool
	took      time.Duration
	result    string
}

// LogValue implements slog.LogValuer.
func (s sent) LogValue() slog.Value {
	return slog.GroupValue(
		slog.String("server", s.server), slog.String("zone", s.zone),
		slog.Int("running", s.running), slog.Int("waiting", s.waiting), slog.Int("slots", s.slots),
		slog.Float64("slowness", s.slowness), slog.Float64("age_ms", milliseconds(s.age)),
		slog.Float64("predicted_ms", milliseconds(s.predicted)), slog.Bool("hedge", s.hedge),
		slog.Float64("took_ms", milliseconds(s.took)), slog.String("result", s.result),
	)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// trail collects the sends of one request; a hedge adds to it beside the first.
type trail struct {
	mu    sync.Mutex
	sends []sent
}

func (t *trail) add(s sent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends = append(t.sends, s)
}

func (t *trail) list() []sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sends
}

// log writes the one line of a request: how it ended and what decided it.
func (h *Handler) log(x *exchange, status int, f *verdict.Error) {
	reason := ""
	if f != nil {
		reason = string(f.Reason())
	}
	h.options.Metrics.Request(x.service, status, reason, h.options.Clock().Sub(x.began))
	if !h.options.Log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attributes := make([]slog.Attr, 0, 12)
	attributes = append(attributes,
		slog.String("request", x.id), slog.Int("status", status),
		slog.Float64("held_ms", milliseconds(h.options.Clock().Sub(x.began))),
		slog.Uint64("config", x.config), slog.String("service", x.service),
	)
	if x.route != nil {
		attributes = append(attributes, slog.String("route", x.route.Name))
	}
	if x.waits > 0 {
		attributes = append(attributes, slog.Int("waits", x.waits))
	}
	for _, s := range x.trail.list() {
		attributes = append(attributes, slog.Any("send", s))
	}
	message := "served"
	if f != nil {
		message = "not served"
		attributes = append(attributes, slog.String("verdict", f.Verdict().String()), slog.String("reason", string(f.Reason())),
			slog.Float64("retry_after_ms", milliseconds(f.RetryAfter())), slog.String("cause", f.Error()))
	}
	h.options.Log.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}

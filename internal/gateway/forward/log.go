package forward

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// Send is one send of a request, as its log line shows it: what decided it and
// how it ended. Times are in milliseconds.
type Send struct {
	Target string `json:"target"`
	Hall   string `json:"hall"`
	// Gateway is the one that was to serve the request in place of this one; left out for a
	// send to a target.
	Gateway string `json:"gateway,omitempty"`
	// Version is that of the target's software, Trial the share, in thousandths, that
	// the version took while it was on trial.
	Version string `json:"version,omitempty"`
	Trial   int    `json:"trial,omitempty"`
	// Region is where the target stands, Tier how far that is; both are left out in a
	// fleet that does not span regions.
	Region string `json:"region,omitempty"`
	Tier   string `json:"tier,omitempty"`
	// Running, Waiting, Slots and Slowness are the target's load when it was
	// chosen, AgeMS how old that report was when the request was sent.
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Slots       int     `json:"slots"`
	Slowness    float64 `json:"slowness"`
	AgeMS       float64 `json:"age_ms"`
	PredictedMS float64 `json:"predicted_ms"`
	TookMS      float64 `json:"took_ms"`
	// Limit is how many requests a second the target said that it takes; left out where it
	// names no limit.
	Limit float64 `json:"limit,omitempty"`
	// Cold says that the target was cold when it was chosen.
	Cold bool `json:"cold,omitempty"`
	// Hedge says that the send was made beside another that was slow.
	Hedge bool `json:"hedge"`
	// Result is the status of the target's answer, or why there was none.
	Result string `json:"result"`
	// RetryAfterMS is for how long the target asked to be sent nothing in its answer.
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	// TargetEnded says that the target broke the send off and nobody listened at its
	// address afterwards.
	TargetEnded bool `json:"target_ended,omitempty"`
}

// describe makes the record of a send.
func (b *balancer) describe(chosen *candidate, began, now time.Time, result string) Send {
	s := Send{
		Target: chosen.target.ID, Hall: chosen.target.Hall, Version: chosen.target.Version, Trial: chosen.trial,
		Hedge: chosen.hedge, Cold: chosen.Cold, Limit: b.options.Quota.TargetRate(chosen.target.Life()),
		PredictedMS: milliseconds(chosen.Predicted), TookMS: milliseconds(now.Sub(began)), Result: result,
	}
	if b.places.spans() {
		s.Region, s.Tier = b.places.region(chosen.target.Hall), chosen.Tier.String()
	}
	if chosen.HasReport {
		r := chosen.Report
		s.Running, s.Waiting, s.Slots, s.Slowness = r.Running(), r.Waiting(), r.Slots(), r.Slowness()
		s.AgeMS = milliseconds(began.Sub(r.At()))
	}
	return s
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// PassedOver is a target that a request passed over by what the target said of itself.
type PassedOver struct {
	Target string `json:"target"`
	// BackOff says that the target asked for back-off; else it has no credit by the limit that it
	// names.
	BackOff bool `json:"back_off,omitempty"`
	// LeftMS is for how much longer; left out where that is not known.
	LeftMS float64 `json:"left_ms,omitempty"`
}

// maxPassedOver is how many targets that were passed over a line names.
const maxPassedOver = 3

// sendLog collects the sends of one request, and the targets that were passed over; a hedge adds
// to it beside the first.
type sendLog struct {
	mu         sync.Mutex
	sends      []Send
	passedOver []PassedOver
}

// passOver notes which of some targets are closed, the first time that any is.
func (l *sendLog) passOver(targets []catalog.Target, closed map[catalog.Life]closure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.passedOver) > 0 {
		return
	}
	for _, t := range targets {
		c, ok := closed[t.Life()]
		if !ok {
			continue
		}
		l.passedOver = append(l.passedOver, PassedOver{Target: t.ID, BackOff: c.backingOff, LeftMS: milliseconds(c.left)})
		if len(l.passedOver) == maxPassedOver {
			return
		}
	}
}

// listPassedOver are the targets that were passed over.
func (l *sendLog) listPassedOver() []PassedOver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passedOver
}

func (l *sendLog) add(s Send) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends = append(l.sends, s)
}

func (l *sendLog) list() []Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sends
}

// anyBroken says whether a target broke any of the sends off.
func anyBroken(sends []Send) bool {
	return slices.ContainsFunc(sends, func(s Send) bool { return s.Result == string(verdict.ReasonTargetFailed) })
}

// Messages of the line that each request gets.
const (
	MessageServed    = "served"
	MessageNotServed = "not served"
	// MessageRelayed is that of a request which another gateway took and reports.
	MessageRelayed = "relayed"
)

// report counts a request and writes its one line: how it ended and what
// decided it.
func (h *Handler) report(req *request, status int, f *verdict.Error) {
	held := h.options.Clock().Sub(req.began)
	reason := ""
	if f != nil {
		reason = string(f.Reason())
	}
	if req.relayed == nil {
		h.options.Metrics.Request(req.service, status, reason, held)
		h.count(req, f)
	}
	if !h.options.Log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	message, attributes := MessageServed, req.attributes(status, held)
	if reason == string(verdict.ReasonQuarantined) || anyBroken(req.sendLog.list()) {
		print := req.fingerprint()
		attributes = append(attributes, slog.String("content", print.Content), slog.String("caller", print.Caller))
	}
	if f != nil {
		message = MessageNotServed
		attributes = append(attributes, slog.String("verdict", f.Verdict().String()), slog.String("reason", reason),
			slog.Float64("retry_after_ms", milliseconds(f.RetryAfter())), slog.String("cause", f.Error()))
	}
	if req.relayed != nil {
		message, attributes = MessageRelayed, append(attributes, slog.String("relayed_by", req.relayed.gateway))
	}
	h.options.Log.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}

// maxAttributes is how many a line has at most.
const maxAttributes = 19

// attributes are those of a line that say what was done for a request.
func (r *request) attributes(status int, held time.Duration) []slog.Attr {
	list := make([]slog.Attr, 0, maxAttributes)
	list = append(list,
		slog.String("request", r.id), slog.Int("status", status), slog.Float64("held_ms", milliseconds(held)),
		slog.Uint64("config", r.config), slog.String("service", r.service),
	)
	if r.route != nil {
		list = append(list, slog.String("route", r.route.Name), slog.Float64("objective_ms", milliseconds(r.route.Objective)))
	}
	if name := r.workspaceName(); name != "" {
		list = append(list, slog.String("workspace", name))
	}
	if r.waits > 0 {
		list = append(list, slog.Int("waits", r.waits))
	}
	if probed := r.probed.Load(); probed > 0 {
		list = append(list, slog.Int64("probed", probed), slog.Int64("idle", r.idle.Load()))
	}
	if passedOver := r.sendLog.listPassedOver(); len(passedOver) > 0 {
		list = append(list, slog.Any("passed_over", passedOver))
	}
	if sends := r.sendLog.list(); len(sends) > 0 {
		list = append(list, slog.Any("sends", sends))
	}
	return list
}

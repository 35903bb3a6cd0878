// Package targetsim is the stand-in for a target: a server with a few slots, a
// short queue, load shedding, and switchable faults. It counts every run, so
// that tests can check at the target what clients were told.
//
// # Usage
//
//	t := targetsim.New(targetsim.Options{Slots: 3, Work: 40 * time.Millisecond})
//	http.Serve(listener, t.Handler())
package targetsim

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// Headers by which requests steer the stand-in.
const (
	// HeaderMark is repeated in every line of the answer's body.
	HeaderMark = "X-Mark"
	// HeaderWork is the work of this request in milliseconds.
	HeaderWork = "X-Work-Ms"
	// HeaderLines is how many lines the answer's body has.
	HeaderLines = "X-Lines"
)

// usualBackOffS is for how long a target that sheds asks to be sent nothing, in seconds.
const usualBackOffS = 1

// Options configure a Target.
type Options struct {
	Slots int
	// Queue is how many requests wait inside the target before it sheds.
	Queue int
	// Work is the mean time of a request that does not name its own.
	Work time.Duration
	// Probe is the time of a probe.
	Probe time.Duration
	// Start is the start number; 0 means the time now.
	Start uint64
}

// Faults are the switches of the stand-in; the zero value is a healthy target.
type Faults struct {
	// Leaving says in every answer that the target takes no new work.
	Leaving bool `json:"leaving"`
	// SlowBy multiplies the work and the probes; 0 means 1.
	SlowBy float64 `json:"slow_by"`
	// FailFast answers 500 at once.
	FailFast bool `json:"fail_fast"`
	// Hang never answers.
	Hang bool `json:"hang"`
	// ShedAll refuses everything as not run.
	ShedAll bool `json:"shed_all"`
	// BackOffS refuses everything, also probes, as not run, and asks to be sent nothing for so many
	// seconds.
	BackOffS float64 `json:"back_off_s"`
	// ShedLies runs the request and says that it did not.
	ShedLies bool `json:"shed_lies"`
	// CutAfterRun runs the request and breaks the connection unanswered.
	CutAfterRun bool `json:"cut_after_run"`
	// CutHalfway breaks the connection in the middle of the body.
	CutHalfway bool `json:"cut_halfway"`
	// Twice sends a second, unasked answer on the same connection.
	Twice bool `json:"twice"`
}

// Target is one server of a service.
type Target struct {
	options  Options
	slots    chan struct{}
	waiting  atomic.Int64
	inFlight atomic.Int64
	peak     atomic.Int64
	faults   atomic.Pointer[Faults]
	start    atomic.Uint64
	mu       sync.Mutex
	runs     map[string]int // by Idempotency-Key, else by mark
	lastRun  time.Time
	total    int
	refused  int
	probes   int
	probed   time.Duration
}

// New makes a target.
func New(o Options) *Target {
	if o.Start == 0 {
		o.Start = uint64(time.Now().UnixNano())
	}
	t := &Target{options: o, slots: make(chan struct{}, max(o.Slots, 1)), runs: map[string]int{}}
	t.faults.Store(&Faults{})
	t.start.Store(o.Start)
	return t
}

// SetFaults replaces the switches.
func (t *Target) SetFaults(f Faults) { t.faults.Store(&f) }

// Restart gives the target a new start number, as a new process would have.
func (t *Target) Restart(start uint64) { t.start.Store(start) }

// Counts is what a target has seen.
type Counts struct {
	Runs     map[string]int `json:"runs"`
	Total    int            `json:"total"`
	Shed     int            `json:"shed"`
	InFlight int64          `json:"in_flight"`
	Peak     int64          `json:"peak"`
	Probes   int            `json:"probes"`
	ProbeMS  float64        `json:"probe_ms"`
	LastRun  time.Time      `json:"last_run"`
}

// Counts copies what the target has seen so far.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		runs[id] = n
	}
	return Counts{
		Runs: runs, Total: t.total, Shed: t.refused, InFlight: t.inFlight.Load(), Peak: t.peak.Load(),
		Probes: t.probes, ProbeMS: float64(t.probed.Microseconds()) / 1000, LastRun: t.lastRun,
	}
}

// Handler serves requests, probes and, under /control, the switches.
func (t *Target) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", t.healthz)
	e.GET("/control/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Counts()) })
	e.PUT("/control/faults", t.controlFaults)
	e.Any("/*", t.serve)
	return e
}

func (t *Target) controlFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	t.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (t *Target) sign(c echo.Context) {
	h := c.Response().Header()
	h.Set("Target-Start", strconv.FormatUint(t.start.Load(), 10))
	if t.faults.Load().Leaving {
		h.Set("Target-State", "leaving")
	}
	if id := c.Request().Header.Get("X-Request-Id"); id != "" {
		h.Set("X-Request-Id", id)
	}
}

func (t *Target) healthz(c echo.Context) error {
	t.sign(c)
	began := time.Now()
	pause.For(c.Request().Context(), t.slowed(t.options.Probe))
	t.mu.Lock()
	t.probes++
	t.probed += time.Since(began)
	t.mu.Unlock()
	switch f := t.faults.Load(); {
	case f.FailFast:
		return c.NoContent(http.StatusInternalServerError)
	case f.BackOffS > 0:
		return t.shed(c, f.BackOffS)
	}
	return c.NoContent(http.StatusNoContent)
}

func (t *Target) slowed(d time.Duration) time.Duration {
	if by := t.faults.Load().SlowBy; by > 0 {
		return time.Duration(float64(d) * by)
	}
	return d
}

func (t *Target) serve(c echo.Context) error {
	t.sign(c)
	f := *t.faults.Load()
	switch {
	case f.BackOffS > 0:
		return t.shed(c, f.BackOffS)
	case f.ShedAll:
		return t.shed(c, usualBackOffS)
	case f.FailFast:
		return c.String(http.StatusInternalServerError, "failed\n")
	case f.Hang:
		<-c.Request().Context().Done()
		return nil
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	if !t.enter(c.Request().Context()) {
		return t.shed(c, usualBackOffS)
	}
	defer t.leave()
	t.ran(c.Request())
	pause.For(c.Request().Context(), t.slowed(t.work(c.Request())))
	switch {
	case f.ShedLies:
		return t.shed(c, usualBackOffS)
	case f.CutAfterRun:
		panic(http.ErrAbortHandler)
	}
	return t.answer(c, f, len(body))
}

// shed refuses a request as not run, and asks to be sent nothing for some seconds.
func (t *Target) shed(c echo.Context, backOffS float64) error {
	t.mu.Lock()
	t.refused++
	t.mu.Unlock()
	c.Response().Header().Set("Target-Verdict", "not-run")
	c.Response().Header().Set("Retry-After", strconv.FormatFloat(backOffS, 'f', -1, 64))
	return c.String(http.StatusServiceUnavailable, "shed\n")
}

// enter takes a slot, waiting in the target's short queue if there is room.
func (t *Target) enter(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
	default:
		if t.waiting.Add(1) > int64(t.options.Queue) {
			t.waiting.Add(-1)
			return false
		}
		defer t.waiting.Add(-1)
		select {
		case t.slots <- struct{}{}:
		case <-ctx.Done():
			return false
		}
	}
	n := t.inFlight.Add(1)
	for p := t.peak.Load(); n > p && !t.peak.CompareAndSwap(p, n); p = t.peak.Load() {
	}
	return true
}

func (t *Target) leave() {
	t.inFlight.Add(-1)
	<-t.slots
}

func (t *Target) ran(r *http.Request) {
	id := r.Header.Get("Idempotency-Key")
	if id == "" {
		id = r.Header.Get(HeaderMark)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	t.lastRun = time.Now()
	if id != "" {
		t.runs[id]++
	}
}

func (t *Target) work(r *http.Request) time.Duration {
	if ms, err := strconv.ParseFloat(r.Header.Get(HeaderWork), 64); err == nil {
		return time.Duration(ms * float64(time.Millisecond))
	}
	return time.Duration((0.5 + rand.Float64()) * float64(t.options.Work))
}

// answer writes the mark of the request in every line.
func (t *Target) answer(c echo.Context, f Faults, bodyBytes int) error {
	lines, err := strconv.Atoi(c.Request().Header.Get(HeaderLines))
	if err != nil {
		lines = 1
	}
	mark := c.Request().Header.Get(HeaderMark)
	line := fmt.Sprintf("%s %s %s read %d bytes\n", mark, c.Request().Method, c.Request().URL.Path, bodyBytes)
	w := c.Response()
	if f.CutHalfway {
		if lines%2 == 0 { // the others are cut in a body of unknown length
			w.Header().Set("Content-Length", strconv.Itoa(len(line)*lines))
		}
		_, _ = io.WriteString(w, strings.Repeat(line, (lines+1)/2)[:max(len(line)*lines/2, 1)])
		w.Flush()
		panic(http.ErrAbortHandler)
	}
	if f.Twice {
		return answerTwice(w, c.Request().Header.Get("X-Request-Id"), line, lines)
	}
	for range lines {
		if _, err := io.WriteString(w, line); err != nil {
			return err
		}
	}
	return nil
}

// answerTwice writes two whole answers to one request, the second when the
// connection may be in use for another.
func answerTwice(w *echo.Response, id, line string, lines int) error {
	conn, buffered, err := w.Hijack()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	write := func(head, text string) {
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
		_ = buffered.Flush()
	}
	write("X-Request-Id: "+id+"\r\n", strings.Repeat(line, lines))
	_, _ = buffered.ReadByte() // the next request of this connection has begun
	write("", "somebody else's answer\n")
	time.Sleep(50 * time.Millisecond)
	return nil
}

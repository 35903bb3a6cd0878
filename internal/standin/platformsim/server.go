package platformsim

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/sprucecrank/sprucecrank/box/store"
)

// The platform's limits, from the users' brief.
const (
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
)

// Faults are the switches of the stand-in; the zero value is a healthy platform.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// SlowMS delays every call.
	SlowMS int `json:"slow_ms"`
	// LoseWrites is the share of writes that are applied but not answered.
	LoseWrites float64 `json:"lose_writes"`
	// StaleMS is how old reads and lists are.
	StaleMS int `json:"stale_ms"`
	// ListLagMS is how old the lists of members are.
	ListLagMS int `json:"list_lag_ms"`
	// DropWatches ends every watch without its events.
	DropWatches bool `json:"drop_watches"`
}

// Calls counts what clients asked of the platform.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Refused uint64 `json:"refused"`
}

type memberChange struct {
	at     time.Time
	list   string
	member store.Member
}

// Server is the stand-in's HTTP side.
type Server struct {
	objects *objectLog
	reads   *rate.Limiter
	writes  *rate.Limiter
	faults  atomic.Pointer[Faults]
	calls   struct{ reads, writes, refused atomic.Uint64 }
	mu      sync.Mutex
	members []memberChange
}

// New makes an empty platform.
func New() *Server {
	s := &Server{
		objects: newObjectLog(),
		reads:   rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		writes:  rate.NewLimiter(WritesPerSecond, WritesPerSecond),
	}
	s.faults.Store(&Faults{})
	return s
}

// SetFaults replaces the switches.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Calls counts what clients asked so far.
func (s *Server) Calls() Calls {
	return Calls{Reads: s.calls.reads.Load(), Writes: s.calls.writes.Load(), Refused: s.calls.refused.Load()}
}

// Objects lists what stands under prefix now, past all faults; tests use it.
func (s *Server) Objects(prefix string) []store.Object {
	return s.objects.list(prefix, time.Now()).Objects
}

// SetMember puts a member into a list, as the platform itself would.
func (s *Server) SetMember(list string, m store.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = append(s.members, memberChange{at: time.Now(), list: list, member: m})
}

// Handler serves the object API and, under /control, the switches.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	api := e.Group("/v1", s.faulty)
	api.GET("/objects", s.list)
	api.GET("/objects/*", s.get)
	api.PUT("/objects/*", s.put)
	api.DELETE("/objects/*", s.remove)
	api.GET("/watch", s.watch)
	api.GET("/members/:list", s.memberList)
	e.PUT("/control/faults", s.controlFaults)
	e.GET("/control/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Calls()) })
	e.PUT("/control/members/:list", s.controlMember)
	return e
}

// faulty applies the rate limits and the switched faults to a call.
func (s *Server) faulty(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		write := c.Request().Method != http.MethodGet
		f := *s.faults.Load()
		if !s.admit(write) {
			c.Response().Header().Set("Retry-After", "1")
			return c.NoContent(http.StatusTooManyRequests)
		}
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		if f.Outage {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if write && rand.Float64() < f.LoseWrites {
			// The write is applied, its answer goes to nobody.
			discard := echo.New().NewContext(c.Request(), &nullWriter{header: http.Header{}})
			discard.SetParamNames(c.ParamNames()...)
			discard.SetParamValues(c.ParamValues()...)
			_ = next(discard)
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

func (s *Server) admit(write bool) bool {
	limiter, counter := s.reads, &s.calls.reads
	if write {
		limiter, counter = s.writes, &s.calls.writes
	}
	counter.Add(1)
	if limiter.Allow() {
		return true
	}
	s.calls.refused.Add(1)
	return false
}

type nullWriter struct{ header http.Header }

func (w *nullWriter) Header() http.Header         { return w.header }
func (w *nullWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w *nullWriter) WriteHeader(int)             {}

func (s *Server) asOf() time.Time {
	return time.Now().Add(-time.Duration(s.faults.Load().StaleMS) * time.Millisecond)
}

func (s *Server) get(c echo.Context) error {
	o, ok := s.objects.get(c.Param("*"), s.asOf())
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	setTag(c, o.Version)
	return c.JSONBlob(http.StatusOK, o.Value)
}

func (s *Server) list(c echo.Context) error {
	return c.JSON(http.StatusOK, s.objects.list(c.QueryParam("prefix"), s.asOf()))
}

func (s *Server) put(c echo.Context) error {
	expect, ok := store.ExpectedVersion(c.Request().Header)
	if !ok {
		return c.String(http.StatusPreconditionRequired, "send If-Match with a version or If-None-Match: *")
	}
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, store.MaxValue+1))
	if err != nil || len(raw) > store.MaxValue || !json.Valid(raw) {
		return c.String(http.StatusBadRequest, "a JSON value of at most 1 MB is needed")
	}
	version, ok := s.objects.put(time.Now(), c.Param("*"), raw, expect)
	if !ok {
		return c.NoContent(http.StatusPreconditionFailed)
	}
	setTag(c, version)
	return c.NoContent(http.StatusOK)
}

func (s *Server) remove(c echo.Context) error {
	expect, ok := store.ExpectedVersion(c.Request().Header)
	if !ok || !s.objects.remove(time.Now(), c.Param("*"), expect) {
		return c.NoContent(http.StatusPreconditionFailed)
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) watch(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "from must be a revision")
	}
	wait, _ := strconv.Atoi(c.QueryParam("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		snap, changed, gone := s.objects.since(c.QueryParam("prefix"), from)
		switch {
		case gone:
			return c.NoContent(http.StatusGone)
		case s.faults.Load().DropWatches || s.faults.Load().Outage:
			return c.NoContent(http.StatusServiceUnavailable)
		case len(snap.Objects) > 0:
			return c.JSON(http.StatusOK, snap)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.JSON(http.StatusOK, snap)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (s *Server) memberList(c echo.Context) error {
	asOf := time.Now().Add(-time.Duration(s.faults.Load().ListLagMS) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []store.Member{}
	at := map[string]int{}
	for _, ch := range s.members {
		if ch.list != c.Param("list") || ch.at.After(asOf) {
			continue
		}
		if i, ok := at[ch.member.ID]; ok {
			out = append(out[:i], out[i+1:]...)
			at = index(out)
		}
		at[ch.member.ID] = len(out)
		out = append(out, ch.member)
	}
	return c.JSON(http.StatusOK, out)
}

func index(members []store.Member) map[string]int {
	at := make(map[string]int, len(members))
	for i, m := range members {
		at[m.ID] = i
	}
	return at
}

func (s *Server) controlFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) controlMember(c echo.Context) error {
	var m store.Member
	if err := c.Bind(&m); err != nil {
		return err
	}
	s.SetMember(c.Param("list"), m)
	return c.NoContent(http.StatusNoContent)
}

func setTag(c echo.Context, version uint64) {
	c.Response().Header().Set("ETag", store.Tag(version))
}

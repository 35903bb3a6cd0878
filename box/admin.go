package box

import (
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/box/home"
	"github.com/sprucecrank/sprucecrank/internal/box/probe"
)

// Status is what a box tells operators of itself.
type Status struct {
	ID            string          `json:"id"`
	Hall          string          `json:"hall"`
	Start         uint64          `json:"start"`
	Ready         bool            `json:"ready"`
	Draining      bool            `json:"draining"`
	InFlight      int             `json:"in_flight"`
	Objects       []ObjectStatus  `json:"objects"`
	Services      []ServiceStatus `json:"services"`
	Boxes         []member.Box    `json:"boxes"`
	PlatformCalls CallsStatus     `json:"platform_calls"`
	// PeerMessages counts calls made, PeerBytes the bytes of calls and answers
	// that the box sent.
	PeerMessages uint64 `json:"peer_messages"`
	PeerBytes    uint64 `json:"peer_bytes"`
}

// ObjectStatus is a version in force.
type ObjectStatus struct {
	Key     string    `json:"key"`
	Version uint64    `json:"version"`
	Since   time.Time `json:"since"`
}

// ServiceStatus is a service as the box sees it.
type ServiceStatus struct {
	home.ServiceView
	Home string `json:"home"`
	// ProbeBudgetMS is the fleet's budget on each target, per second.
	ProbeBudgetMS float64       `json:"probe_budget_ms_per_s"`
	Probes        []probe.Spent `json:"probes"`
}

// CallsStatus counts calls of the platform since the box started.
type CallsStatus struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// adminServer serves the administration API.
func (b *Box) adminServer() *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	e.GET("/readyz", b.readiness)
	guarded := e.Group("", b.checkToken)
	guarded.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, b.Status()) })
	guarded.POST("/drain", b.drain)
	b.addObjects(guarded, "/services", envelope.Service)
	b.addObjects(guarded, "/policies", envelope.Policy)
	guarded.GET("/metrics", echo.WrapHandler(b.telemetry.Handler()))
	return &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (b *Box) serveAdmin(s *http.Server) error {
	if b.settings.AdminCert != "" {
		return s.ServeTLS(b.listeners.admin, b.settings.AdminCert, b.settings.AdminKey)
	}
	return s.Serve(b.listeners.admin)
}

// checkToken refuses and counts calls without the token.
func (b *Box) checkToken(next echo.HandlerFunc) echo.HandlerFunc {
	want := []byte("Bearer " + b.settings.AdminToken)
	return func(c echo.Context) error {
		got := []byte(c.Request().Header.Get("Authorization"))
		if b.settings.AdminToken != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			b.telemetry.Denied(c.Request().Context())
			b.log.Warn("administration call refused", "path", c.Request().URL.Path, "from", c.RealIP())
			return c.String(http.StatusUnauthorized, "send the box's admin_token as a bearer token\n")
		}
		return next(c)
	}
}

func (b *Box) readiness(c echo.Context) error {
	switch {
	case b.draining.Load():
		return c.String(http.StatusServiceUnavailable, "draining\n")
	case !b.follower.IsReady():
		return c.String(http.StatusServiceUnavailable, "no configuration yet: neither the platform nor a peer has answered\n")
	default:
		return c.NoContent(http.StatusNoContent)
	}
}

func (b *Box) drain(c echo.Context) error {
	b.Stop()
	return c.NoContent(http.StatusAccepted)
}

// Status tells what the box knows now.
func (b *Box) Status() Status {
	reads, writes := b.platform.Calls()
	messages, bytes := b.members.Sent()
	self := b.members.Self()
	s := Status{
		ID: self.ID, Hall: self.Hall, Start: self.Start,
		Ready: b.follower.IsReady(), Draining: b.draining.Load(), InFlight: b.broker.HeldCount(),
		Boxes: b.members.Boxes(), PlatformCalls: CallsStatus{Reads: reads, Writes: writes},
		PeerMessages: messages, PeerBytes: bytes + b.peers.Sent(),
	}
	for _, e := range b.book.All() {
		s.Objects = append(s.Objects, ObjectStatus{Key: e.Key, Version: e.Version, Since: e.Since})
	}
	for _, service := range b.routes.Load().Services() {
		s.Services = append(s.Services, b.serviceStatus(service))
	}
	return s
}

func (b *Box) serviceStatus(s *policy.Service) ServiceStatus {
	return ServiceStatus{
		ServiceView: b.home.View(s.Name), Home: b.broker.HomeOf(s).ID,
		ProbeBudgetMS: s.Probe.BudgetMS, Probes: b.prober.Spent(s),
	}
}

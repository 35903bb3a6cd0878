package box

import (
	"net"
	"os"

	"github.com/sprucecrank/sprucecrank/box/policy"
)

// Settings are a box's settings file, in JSON. Unknown fields are refused.
type Settings struct {
	// ID names the box; it is unique in the fleet.
	ID string `json:"id"`
	// Hall is the site that the box stands in.
	Hall string `json:"hall"`
	// Listen is where clients come in, IP number and port.
	Listen string `json:"listen"`
	// PeerListen is where other boxes come in.
	PeerListen string `json:"peer_listen"`
	// AdminListen is where the administration API listens.
	AdminListen string `json:"admin_listen"`
	// AdminToken is asked of every administration call; it must be set,
	// with TLS, where AdminListen is not a loopback address.
	AdminToken string `json:"admin_token,omitempty"`
	// AdminCert and AdminKey are the files of the administration API's TLS.
	AdminCert string `json:"admin_cert,omitempty"`
	AdminKey  string `json:"admin_key,omitempty"`
	// Platform is the address of the platform's object API.
	Platform string `json:"platform"`
	// PlatformCalls bounds the box's calls to the platform, per second.
	PlatformCalls float64 `json:"platform_calls_per_s,omitempty"`
	// Peers are peer addresses for a start while the platform is down.
	Peers []string `json:"peers,omitempty"`
	// MaxBoxes is the greatest number of boxes at any moment, those that are
	// being replaced among them. Measuring budgets and targets' connections
	// are shared out by it.
	MaxBoxes int `json:"max_boxes,omitempty"`
	// DrainLagMS is how long a stopping box goes on accepting: the lag of the
	// platform's balancer.
	DrainLagMS int `json:"drain_lag_ms,omitempty"`
	// StopWithinMS bounds the wait for requests in flight at a stop.
	StopWithinMS int `json:"stop_within_ms,omitempty"`
	// BufferBytes is the largest body that is kept for a second try.
	BufferBytes int64 `json:"buffer_bytes,omitempty"`
	// BodyBytes is the largest body that is taken at all.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// OnceBytes is the largest body of a request that runs at most once.
	OnceBytes int64 `json:"once_bytes,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
	// Traces is none or stdout.
	Traces string `json:"traces,omitempty"`
}

// Defaults of the settings.
const (
	DefaultPlatformCalls = 200
	DefaultMaxBoxes      = 18
	DefaultDrainLagMS    = 5000
	DefaultStopWithinMS  = 60000
	DefaultBufferBytes   = 64 << 10
	DefaultBodyBytes     = 1 << 30
	DefaultOnceBytes     = 256 << 10
)

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(raw)
}

// ParseSettings checks settings whole and completes them with defaults. The
// error is a policy.Problems with one entry for each fault.
func ParseSettings(raw []byte) (Settings, error) {
	var s Settings
	if err := policy.DecodeStrict(raw, &s); err != nil {
		return Settings{}, err
	}
	s.applyDefaults()
	if p := s.check(); len(p) > 0 {
		return Settings{}, p
	}
	return s, nil
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *Settings) applyDefaults() {
	orDefault(&s.PlatformCalls, DefaultPlatformCalls)
	orDefault(&s.MaxBoxes, DefaultMaxBoxes)
	orDefault(&s.DrainLagMS, DefaultDrainLagMS)
	orDefault(&s.StopWithinMS, DefaultStopWithinMS)
	orDefault(&s.BufferBytes, DefaultBufferBytes)
	orDefault(&s.BodyBytes, DefaultBodyBytes)
	orDefault(&s.OnceBytes, DefaultOnceBytes)
	orDefault(&s.LogLevel, "info")
	orDefault(&s.Traces, "none")
}

func (s *Settings) check() policy.Problems {
	var p policy.Problems
	need := func(ok bool, path string, found any, allowed string) {
		if !ok {
			p.Add(path, found, allowed)
		}
	}
	need(s.ID != "" && len(s.ID) <= 63, "id", s.ID, "a name of 1 to 63 bytes")
	need(s.Hall != "" && len(s.Hall) <= 63, "hall", s.Hall, "a name of 1 to 63 bytes")
	for _, a := range []struct{ path, value string }{
		{"listen", s.Listen}, {"peer_listen", s.PeerListen},
		{"admin_listen", s.AdminListen}, {"platform", s.Platform},
	} {
		need(isAddress(a.value), a.path, a.value, "an IP number with a port, such as 10.0.0.7:8080")
	}
	for _, peer := range s.Peers {
		need(isAddress(peer), "peers", peer, "IP numbers with ports")
	}
	need(s.PlatformCalls >= 1, "platform_calls_per_s", s.PlatformCalls, "1 or more")
	need(s.MaxBoxes >= 1 && s.MaxBoxes <= 10000, "max_boxes", s.MaxBoxes, "1 to 10000")
	need(s.DrainLagMS >= 0 && s.DrainLagMS <= 600000, "drain_lag_ms", s.DrainLagMS, "0 to 600000")
	need(s.StopWithinMS >= 1 && s.StopWithinMS <= 3600000, "stop_within_ms", s.StopWithinMS, "1 to 3600000")
	need(s.BufferBytes >= 1 && s.BufferBytes <= 16<<20, "buffer_bytes", s.BufferBytes, "1 to 16777216")
	need(s.BodyBytes >= s.BufferBytes, "body_bytes", s.BodyBytes, "buffer_bytes or more")
	need(s.OnceBytes >= 1 && s.OnceBytes <= 16<<20, "once_bytes", s.OnceBytes, "1 to 16777216")
	need(oneOf(s.LogLevel, "debug", "info", "warn", "error"), "log_level", s.LogLevel, "debug, info, warn or error")
	need(oneOf(s.Traces, "none", "stdout"), "traces", s.Traces, "none or stdout")
	s.checkAdmin(need)
	return p
}

// checkAdmin keeps the administration API on loopback unless it is protected.
func (s *Settings) checkAdmin(need func(bool, string, any, string)) {
	protected := s.AdminToken != "" && s.AdminCert != "" && s.AdminKey != ""
	need(isLoopback(s.AdminListen) || protected, "admin_listen", s.AdminListen,
		"a loopback address, or any with admin_token, admin_cert and admin_key set")
	need((s.AdminCert == "") == (s.AdminKey == ""), "admin_cert", s.AdminCert, "admin_cert and admin_key together")
	need(s.AdminToken == "" || len(s.AdminToken) >= 16, "admin_token", "a short token", "at least 16 bytes")
}

func oneOf(s string, allowed ...string) bool {
	for _, a := range allowed {
		if s == a {
			return true
		}
	}
	return false
}

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && port != "" && net.ParseIP(host) != nil
}

func isLoopback(a string) bool {
	host, _, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host).IsLoopback()
}

package gateway

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
)

// Settings holds the settings of a gateway, which it reads at startup and at each reload.
type Settings struct {
	// ID names the gateway; it is unique in the fleet.
	ID string `json:"id"`
	// Hall is the hall in which the gateway is located.
	Hall string `json:"hall"`
	// Region is the region of that hall; empty if the fleet has no regions.
	Region string `json:"region,omitempty"`
	// Regions maps each hall that may hold targets or gateways to its region. In a fleet
	// that spans regions, targets of a hall that is left out get requests only if the own
	// region has no targets or has lost most of them. Without it, all halls are in Region.
	Regions map[string]string `json:"regions,omitempty"`
	// Listen is the address for clients, IP address and port.
	Listen string `json:"listen"`
	// ReadyListen is the address of the readiness check.
	ReadyListen string `json:"ready_listen"`
	// PeerListen is the address on which other gateways request updates.
	PeerListen string `json:"peer_listen"`
	// PeerAdvertise is the address under which other gateways reach PeerListen;
	// empty where that is PeerListen itself.
	PeerAdvertise string `json:"peer_advertise,omitempty"`
	// RelayListen is the address on which requests of other gateways are served that can't
	// reach their targets; empty for none.
	RelayListen string `json:"relay_listen,omitempty"`
	// MetricsListen is the address on which metrics are served; empty for none.
	MetricsListen string `json:"metrics_listen,omitempty"`
	// FirstStart says that the whole fleet is starting for the first time.
	FirstStart bool `json:"first_start,omitempty"`
	// Seeds are peer addresses of some gateways; they may be out of date.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the address of the store that holds configuration and targets.
	Store string `json:"store"`
	// MemoryMB is how much memory the process may use, in megabytes.
	MemoryMB float64 `json:"memory_mb,omitempty"`
	// ApplyWithin is the time within which a configuration or a leaving target
	// must be known, in seconds.
	ApplyWithin float64 `json:"apply_within_s"`
	// EvacuateWithin is the time within which an evacuation of a hall must be in force,
	// in seconds; 0 or omitted if halls are never evacuated, which saves calls to the store.
	EvacuateWithin float64 `json:"evacuate_within_s,omitempty"`
	// RevokeUnconfirmed rejects the keys of workspaces while the configuration has not been
	// confirmed for RevokeWithin seconds, since they may have been revoked. Without it, the
	// last known keys stay valid.
	RevokeUnconfirmed bool    `json:"revoke_unconfirmed,omitempty"`
	RevokeWithin      float64 `json:"revoke_within_s,omitempty"`
	// QuotaTolerance is by how many requests the admitted requests of a workspace may exceed
	// its limit in any window, whatever fails.
	QuotaTolerance float64 `json:"quota_tolerance,omitempty"`
	// Rollout bounds rollouts; omitted if there are never any, which saves calls to the
	// store.
	Rollout *RolloutSettings `json:"rollout,omitempty"`
	// WatchTrust is how long a pending watch of the store may be trusted without a
	// response, in seconds: a store that lost its history may not complete it.
	WatchTrust float64 `json:"watch_trust_s"`
	// RestoreWithin is the time after an outage of the store within which entries of
	// targets that expired during the outage reappear, in seconds.
	RestoreWithin float64 `json:"restore_within_s"`
	// StopWithin is the time from the signal to stop until the process is
	// killed, in seconds.
	StopWithin float64 `json:"stop_within_s"`
	// RetryRatio bounds second sends to a share of the requests in each span of time,
	// beyond one second send of each gateway.
	RetryRatio float64 `json:"retry_ratio"`
	// LogLevel is debug, info, warn or error; empty for info.
	LogLevel string `json:"log_level,omitempty"`
}

// RolloutSettings bounds the requests that a canary version may get before it is found to be
// bad.
type RolloutSettings struct {
	// ExposureShare and ExposureSlack bound the requests that a bad version may get:
	// ExposureShare of all requests to its service from the order of the rollout to its
	// deadline, plus ExposureSlack requests.
	ExposureShare float64 `json:"exposure_share"`
	ExposureSlack float64 `json:"exposure_slack"`
	// RollbackWithin is the time after its first ExposureSlack bad responses within which
	// requests to it must have stopped, in seconds.
	RollbackWithin float64 `json:"rollback_within_s"`
}

// check returns an error for the first invalid field.
func (r *RolloutSettings) check() error {
	switch {
	case r == nil:
		return nil
	case r.ExposureShare <= 0 || r.ExposureShare >= 1:
		return fmt.Errorf("settings field rollout.exposure_share is %v; give a share above 0 and below 1", r.ExposureShare)
	case r.ExposureSlack < 0:
		return fmt.Errorf("settings field rollout.exposure_slack is %v; give a number of requests, 0 or more", r.ExposureSlack)
	case r.RollbackWithin <= 0:
		return fmt.Errorf("settings field rollout.rollback_within_s is %v; give seconds above 0", r.RollbackWithin)
	}
	return nil
}

// Defaults of the optional settings, in seconds except for the ratio. The box, too, allows
// second sends for a tenth of the requests.
const (
	defaultApplyWithin = 2.0
	defaultStopWithin  = 6.0
	defaultWatchTrust  = 3.0
	defaultRestore     = 2.0
	defaultRetryRatio  = 0.1
)

// ParseSettings parses and validates a settings document.
func ParseSettings(raw []byte) (Settings, error) {
	s := Settings{
		ApplyWithin: defaultApplyWithin, StopWithin: defaultStopWithin, WatchTrust: defaultWatchTrust,
		RestoreWithin: defaultRestore, RetryRatio: defaultRetryRatio, LogLevel: "info",
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, fmt.Errorf("the settings are not the JSON document that docs/OPERATIONS.md shows: %w", err)
	}
	return s, s.Check()
}

// Check returns an error for the first invalid field, which also names the valid values.
func (s Settings) Check() error {
	for _, check := range []func() error{s.checkAddresses, s.checkTimes, s.checkOtherFields, s.checkRegions, s.Rollout.check} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) checkAddresses() error {
	for _, field := range []struct{ name, value string }{
		{"listen", s.Listen}, {"ready_listen", s.ReadyListen}, {"peer_listen", s.PeerListen}, {"store", s.Store},
	} {
		if host, _, err := net.SplitHostPort(field.value); err != nil || net.ParseIP(host) == nil {
			return fmt.Errorf("settings field %s is %q; give an IP number with a port, such as 10.0.0.7:8080", field.name, field.value)
		}
	}
	return nil
}

func (s Settings) checkTimes() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"apply_within_s", s.ApplyWithin}, {"stop_within_s", s.StopWithin}, {"watch_trust_s", s.WatchTrust},
		{"restore_within_s", s.RestoreWithin},
	} {
		if field.value <= 0 {
			return fmt.Errorf("settings field %s is %v; give seconds above 0", field.name, field.value)
		}
	}
	return nil
}

// checkRegions rejects settings in which the own region is unknown or contradictory: a
// gateway with the wrong region would send all requests to remote targets.
func (s Settings) checkRegions() error {
	for hall, region := range s.Regions {
		if hall == "" || region == "" {
			return fmt.Errorf("settings field regions maps hall %q to region %q; give both names", hall, region)
		}
	}
	named, ok := s.Regions[s.Hall]
	if ok && s.Region != "" && named != s.Region {
		return fmt.Errorf("settings field region is %q, but regions maps hall %q to %q; give the same", s.Region, s.Hall, named)
	}
	if !ok && s.Region == "" && len(s.Regions) > 0 {
		return fmt.Errorf("settings field regions does not name hall %q; add it, or give its region in the field region", s.Hall)
	}
	return nil
}

// localityMap returns the regions of the halls from the point of view of this gateway.
func (s Settings) localityMap() *locality.Map { return locality.New(s.Hall, s.Region, s.Regions) }

func (s Settings) checkOtherFields() error {
	if s.ID == "" || s.Hall == "" {
		return fmt.Errorf("settings fields id (%q) and hall (%q) must both be given", s.ID, s.Hall)
	}
	if _, err := s.level(); err != nil {
		return fmt.Errorf("settings field log_level is %q; give debug, info, warn or error", s.LogLevel)
	}
	if s.EvacuateWithin < 0 {
		return fmt.Errorf("settings field evacuate_within_s is %v; give seconds above 0, or leave it out where no hall is evacuated", s.EvacuateWithin)
	}
	if s.RevokeWithin < 0 || s.RevokeUnconfirmed && s.RevokeWithin == 0 {
		return fmt.Errorf("settings field revoke_within_s is %v; give seconds above 0 where revoke_unconfirmed is true", s.RevokeWithin)
	}
	if s.QuotaTolerance < 0 {
		return fmt.Errorf("settings field quota_tolerance is %v; give a number of requests, 0 or more", s.QuotaTolerance)
	}
	if s.MemoryMB < 0 {
		return fmt.Errorf("settings field memory_mb is %v; give megabytes, or 0 for no bound", s.MemoryMB)
	}
	if s.RetryRatio < 0 {
		return fmt.Errorf("settings field retry_ratio is %v; give a share of 0 or more", s.RetryRatio)
	}
	return nil
}

// Level returns the minimum level of log lines that are written.
func (s Settings) Level() slog.Level {
	level, _ := s.level() // Check has validated it
	return level
}

func (s Settings) level() (level slog.Level, err error) {
	if s.LogLevel != "" {
		err = level.UnmarshalText([]byte(s.LogLevel))
	}
	return level, err
}

// peerAddress returns the address on which other gateways request updates.
func (s Settings) peerAddress() string {
	if s.PeerAdvertise != "" {
		return s.PeerAdvertise
	}
	return s.PeerListen
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

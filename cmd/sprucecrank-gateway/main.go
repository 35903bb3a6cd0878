// Command sprucecrank-gateway is the gateway's daemon on the users' platform. It
// reads the settings, connects the platform adapter (package platform) to the gateway
// and handles signals: SIGTERM and SIGINT drain the gateway, SIGHUP reloads the settings.
package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sprucecrank/sprucecrank/gateway"
	"github.com/sprucecrank/sprucecrank/internal/gateway/logging"
	"github.com/sprucecrank/sprucecrank/platform"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "sprucecrank-gateway: %v\n", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Subscribe before anything else: until then, SIGHUP terminates the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	raw, err := readSettings()
	settings, err := parseSettings(raw, err)
	if err != nil {
		return err
	}
	logs := logging.NewWriter(os.Stdout, logging.Options{})
	defer logs.Close()
	level := new(slog.LevelVar)
	log := slog.New(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: level}))
	applyProcessSettings(settings, level)
	client := platform.NewClient(settings.Store, log)
	g, err := gateway.New(settings, gateway.Options{
		Source: client.Source(), Decode: platform.DecodeConfig, Wire: platform.Wire(),
		Log: log, LogDropped: logs.Dropped,
	})
	if err != nil {
		return err
	}
	go reload(raw, hangups, log, func(changed gateway.Settings) {
		applyProcessSettings(changed, level)
		g.Reload(changed)
	})
	return g.Run(ctx)
}

// memoryLimitShare is the Go runtime's soft memory limit as a share of the memory
// that the process may use (memory_mb): close to it, the garbage collector runs more
// often. The rest is for memory that the runtime does not count, such as stacks of
// system threads.
const memoryLimitShare = 0.8

// applyProcessSettings applies the settings that concern the process as a whole.
func applyProcessSettings(s gateway.Settings, level *slog.LevelVar) {
	level.Set(s.Level())
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * s.MemoryMB * (1 << 20)))
	}
}

func readSettings() ([]byte, error) { return os.ReadFile(os.Getenv(platform.SettingsVariable)) }

func parseSettings(raw []byte, err error) (gateway.Settings, error) {
	if err != nil {
		return gateway.Settings{}, fmt.Errorf("cannot read the settings file given by %s: %w", platform.SettingsVariable, err)
	}
	return gateway.ParseSettings(raw)
}

// pollInterval is how often the settings file is compared with the version that was last
// read: it may change without a signal.
const pollInterval = 5 * time.Second

// reload reads the settings again on each SIGHUP and, if the file has changed, every
// pollInterval; invalid settings change nothing. last holds the file as it was read at
// the start.
func reload(last []byte, hangups <-chan os.Signal, log *slog.Logger, apply func(gateway.Settings)) {
	for poll := time.NewTicker(pollInterval); ; {
		hangup := false
		select {
		case <-hangups:
			hangup = true
		case <-poll.C:
		}
		raw, err := readSettings()
		if !hangup && (err != nil || bytes.Equal(raw, last)) {
			continue
		}
		last = raw
		settings, err := parseSettings(raw, err)
		if err != nil {
			log.Error("settings not reloaded", "error", err.Error())
			continue
		}
		apply(settings)
	}
}

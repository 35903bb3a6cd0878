// Command sprucecrank-gateway is the gateway's daemon on the users' platform: it
// reads the settings, joins the adapter (platform) and the gateway, and passes
// signals on. SIGTERM drains the gateway, SIGHUP reads the settings again.
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
	// Before all else: until it is asked for, a hang-up ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	raw, err := read()
	settings, err := parse(raw, err)
	if err != nil {
		return err
	}
	logs := logging.NewWriter(os.Stdout, logging.Options{})
	defer logs.Close()
	level := new(slog.LevelVar)
	log := slog.New(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: level}))
	apply(settings, level)
	client := platform.NewClient(settings.Store, log)
	g, err := gateway.New(settings, gateway.Options{
		Source: client.Source(), Decode: platform.DecodeConfig, Wire: platform.Wire(),
		Log: log, LogDropped: logs.Dropped,
	})
	if err != nil {
		return err
	}
	go reload(raw, hangups, log, func(changed gateway.Settings) {
		apply(changed, level)
		g.Reload(changed)
	})
	return g.Run(ctx)
}

// memoryShare is the share of the memory that the process may use at which the
// garbage collector begins to work harder. The rest is for what it does
// not count, such as stacks of system threads.
const memoryShare = 0.8

// apply puts those settings in force that belong to the process as a whole.
func apply(s gateway.Settings, level *slog.LevelVar) {
	level.Set(s.Level())
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * s.MemoryMB * (1 << 20)))
	}
}

func read() ([]byte, error) { return os.ReadFile(os.Getenv(platform.SettingsVariable)) }

func parse(raw []byte, err error) (gateway.Settings, error) {
	if err != nil {
		return gateway.Settings{}, fmt.Errorf("the settings file that %s names can't be read: %w", platform.SettingsVariable, err)
	}
	return gateway.ParseSettings(raw)
}

// lookEvery is how often the settings file is compared with what is in force: it
// may change without a signal.
const lookEvery = 5 * time.Second

// reload reads the settings again at each SIGHUP, and now and then without one;
// bad ones change nothing. last is the file as it was read at the start.
func reload(last []byte, hangups <-chan os.Signal, log *slog.Logger, put func(gateway.Settings)) {
	for look := time.NewTicker(lookEvery); ; {
		hangup := false
		select {
		case <-hangups:
			hangup = true
		case <-look.C:
		}
		raw, err := read()
		if !hangup && (err != nil || bytes.Equal(raw, last)) {
			continue
		}
		last = raw
		settings, err := parse(raw, err)
		if err != nil {
			log.Error("settings not reloaded", "error", err.Error())
			continue
		}
		put(settings)
	}
}

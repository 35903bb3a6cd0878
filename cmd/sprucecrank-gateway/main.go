// Command sprucecrank-gateway is the gateway's daemon on the users' platform.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/sprucecrank/sprucecrank/gateway"
	"github.com/sprucecrank/sprucecrank/internal/logging"
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
	settings, err := read()
	if err != nil {
		return err
	}
	logs := logging.NewWriter(os.Stdout, logging.Options{})
	defer logs.Close()
	log := slog.New(slog.NewJSONHandler(logs, nil))
	client := platform.NewClient(settings.Store)
	g, err := gateway.New(settings, gateway.Options{
		Source: client.Source(), Decode: platform.DecodeConfig, Wire: platform.Wire(),
		Log: log, LogDropped: logs.Dropped,
	})
	if err != nil {
		return err
	}
	go reload(g, log)
	return g.Run(ctx)
}

func read() (gateway.Settings, error) {
	path := os.Getenv(platform.SettingsVariable)
	raw, err := os.ReadFile(path)
	if err != nil {
		return gateway.Settings{}, fmt.Errorf("the settings file that %s names can't be read: %w", platform.SettingsVariable, err)
	}
	return gateway.ParseSettings(raw)
}

// reload reads the settings again at each SIGHUP; bad ones change nothing.
func reload(g *gateway.Gateway, log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		settings, err := read()
		if err != nil {
			log.Error("settings not reloaded", "error", err.Error())
			continue
		}
		g.Reload(settings)
	}
}

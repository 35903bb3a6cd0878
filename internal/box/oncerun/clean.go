package oncerun

import (
	"context"
	"log/slog"
	"time"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/core/box/once"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	cleanEvery = 30 * time.Minute
	// cleanBack is how far beyond their retention records are looked for, so
	// that none is left by a time without a cleaner.
	cleanBack = 24 * time.Hour
	// deletePause leaves most of the platform's writes to operations.
	deletePause = 200 * time.Millisecond
)

// CleanerOptions configure a Cleaner.
type CleanerOptions struct {
	List   func(ctx context.Context, prefix string) (store.Snapshot, error)
	Delete func(ctx context.Context, key string, expect uint64) error
	// Services names the services whose records this box cleans now.
	Services func() []string
	Clock    func() time.Time
	Log      *slog.Logger
}

// Cleaner deletes records that are older than they are kept.
type Cleaner struct {
	options CleanerOptions
}

// NewCleaner makes a cleaner.
func NewCleaner(o CleanerOptions) *Cleaner { return &Cleaner{options: o} }

// Run is the duty; it ends with ctx.
func (c *Cleaner) Run(ctx context.Context) error {
	return pause.Every(cleanEvery, func(ctx context.Context) {
		for _, service := range c.options.Services() {
			c.Clean(ctx, service)
		}
	})(ctx)
}

// Clean deletes the old records of a service and returns how many. A key is
// refused as expired before its bucket is old enough to be deleted.
func (c *Cleaner) Clean(ctx context.Context, service string) (deleted int) {
	newest := c.options.Clock().Add(-once.Retention - once.BucketLength)
	for at := newest.Add(-cleanBack); at.Before(newest); at = at.Add(once.BucketLength) {
		snapshot, err := c.options.List(ctx, once.BucketPrefix(service, at))
		if err != nil {
			c.options.Log.Warn("old records not listed", "service", service, "error", err)
			return deleted
		}
		for _, object := range snapshot.Objects {
			if c.options.Delete(ctx, object.Key, object.Version) == nil {
				deleted++
			}
			if !pause.For(ctx, deletePause) {
				return deleted
			}
		}
	}
	return deleted
}

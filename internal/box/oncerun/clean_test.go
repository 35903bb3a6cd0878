package oncerun_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/core/box/once"
	"github.com/sprucecrank/sprucecrank/internal/box/oncerun"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// keyAt is a key that was made at a moment. uuid.NewV7 never goes back within a process, as the time of
// a test does.
func keyAt(at time.Time) string {
	const version7 = 7 << 4
	id, ms := uuid.New(), at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = version7 | id[6]&0x0f
	return id.String()
}

// TestOnlyRecordsOfExpiredKeysAreDeleted makes a key every ten minutes for three
// days: a record goes only when its key is refused as expired already.
func TestOnlyRecordsOfExpiredKeysAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		records := map[string]string{}
		for range 3 * 24 * 6 {
			key := keyAt(time.Now())
			records[once.ObjectKey("haul", "mill", key)] = key
			time.Sleep(10 * time.Minute)
		}
		all := len(records)
		cleaner := oncerun.NewCleaner(oncerun.CleanerOptions{
			List: func(_ context.Context, prefix string) (store.Snapshot, error) {
				var s store.Snapshot
				for name := range records {
					if strings.HasPrefix(name, prefix) {
						s.Objects = append(s.Objects, store.Object{Key: name, Version: 1})
					}
				}
				return s, nil
			},
			Delete: func(_ context.Context, name string, _ uint64) error {
				failure := once.CheckKey(time.Now(), records[name])
				if failure == nil || failure.Reason() != verdict.ReasonKeyExpired {
					t.Errorf("the record of %s goes while its key is still taken", records[name])
				}
				delete(records, name)
				return nil
			},
			Clock: time.Now, Log: slog.New(slog.DiscardHandler),
		})
		deleted := cleaner.Clean(t.Context(), "haul")
		if deleted < all/4 {
			t.Errorf("only %d of %d deleted", deleted, all)
		}
	})
}

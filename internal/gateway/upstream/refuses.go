package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// refusesTimeout bounds Refuses, which whoever waits for a failed send pays for.
// A refusal takes one way there and back, some milliseconds within a region.
const refusesTimeout = 100 * time.Millisecond

// Refuses says whether nobody listens at a target's address: its process has ended. One
// that has fallen silent, or can't be reached, is not distinguished from one that lives. A
// connection that could be made is kept for requests.
func (p *Pool) Refuses(ctx context.Context, target catalog.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, refusesTimeout)
	defer cancel()
	conn, failure := p.open(ctx, target)
	if failure != nil {
		return errors.Is(failure, syscall.ECONNREFUSED)
	}
	p.Put(conn)
	return false
}

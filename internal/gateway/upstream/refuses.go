package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

// refusalCheckTimeout bounds RefusesConnections, which delays the handling of a failed
// send. A refusal takes one round trip, some milliseconds within a region.
const refusalCheckTimeout = 100 * time.Millisecond

// RefusesConnections reports whether nothing listens at a target's address, which means
// that its process has ended. It does not tell a target that hangs or can't be reached from
// one that works. A connection that could be made is kept for requests.
func (p *Pool) RefusesConnections(ctx context.Context, target catalog.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalCheckTimeout)
	defer cancel()
	conn, failure := p.Open(ctx, target)
	if failure != nil {
		return errors.Is(failure, syscall.ECONNREFUSED)
	}
	p.Put(conn)
	return false
}

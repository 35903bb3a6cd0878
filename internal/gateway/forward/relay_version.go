package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/pause"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// configTimeout is how long a request waits for a version of the configuration that another
	// gateway has in force already, and configPoll how often it looks.
	configTimeout = 50 * time.Millisecond
	configPoll    = 5 * time.Millisecond
)

// otherVersion is the version of the configuration that a gateway goes by which refused a request
// for that reason; 0 for any other answer.
func otherVersion(a *upstream.Answer, failure *verdict.Error) uint64 {
	if a == nil || failure == nil || failure.Reason() != verdict.ReasonNotReady {
		return 0
	}
	version, err := strconv.ParseUint(a.Header().Get(headerRelayConfig), 10, 64)
	if err != nil {
		return 0 // it knows no configuration, or is of an earlier version
	}
	return version
}

// followVersion waits a moment for a newer version of the configuration that another gateway goes
// by. A gateway that stays at another version is passed over.
func (b *balancer) followVersion(ctx context.Context, via member.Box, version uint64) {
	isNewer := version > b.configVersion()
	if isNewer && b.awaitVersion(ctx, version) {
		return
	}
	b.relays.recordOtherVersion(b.options.Clock(), via)
}

// awaitVersion waits a moment for a version of the configuration, or a newer one, and reports
// whether it is in force.
func (b *balancer) awaitVersion(ctx context.Context, version uint64) bool {
	until := b.options.Clock().Add(configTimeout)
	for b.configVersion() < version {
		if b.options.Clock().After(until) || !pause.For(ctx, configPoll) {
			return false
		}
	}
	return true
}

// configVersion is the version of the configuration in force; 0 if none is known.
func (b *balancer) configVersion() uint64 {
	table := b.options.Snapshot().Table()
	if table == nil {
		return 0
	}
	return table.Version()
}

// checkVersion is why a relayed request can't be handled by the version of the configuration in
// force, for which it may wait a moment; nil if it can, or is a client's. A gateway that is cut off
// says so, whichever version it goes by.
func (b *balancer) checkVersion(req *request) *verdict.Error {
	if req.relayed == nil || b.configVersion() == req.relayed.config {
		return nil
	}
	if svc, ok := b.services.find(req.relayed.service); ok && b.isKnownCutOff(svc) {
		req.service = svc.name
		return errNoneAnswers
	}
	if b.awaitVersion(req.in.Context(), req.relayed.config) && b.configVersion() == req.relayed.config {
		return nil
	}
	req.config = b.configVersion()
	return notReady("the gateway that relayed the request goes by another configuration")
}

package forward

import (
	"context"

	"github.com/sprucecrank/sprucecrank/core/gateway/placement"
)

// isCutOff says whether no target of a service answers this gateway.
func (b *balancer) isCutOff(svc *service) bool {
	return svc.isCutOff(b.options.Clock(), len(b.options.Snapshot().Targets(svc.name)))
}

// isKnownCutOff says whether no target of a service answers this gateway, by a look that was taken
// a moment ago.
func (b *balancer) isKnownCutOff(svc *service) bool {
	return b.isCutOff(svc) && svc.failedLately(b.options.Clock())
}

// tryPaths probes some targets of a service while none answers, now and then, so that it is noticed
// when one does again. No request waits for it.
func (b *balancer) tryPaths(req *request, svc *service) {
	if !svc.triesNow(b.options.Clock()) {
		return
	}
	order := b.order(req, svc, b.targets(req), nil)
	targets := append(order.Near(), order.Far()...)
	like := &request{service: req.service, healthPath: req.healthPath, coldRate: req.coldRate, route: req.route}
	for _, target := range targets[:min(len(targets), placement.FallbackWidth)] {
		go func() { b.release(b.probe(context.Background(), like, svc, target)) }()
	}
}

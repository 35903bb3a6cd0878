package forward

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/outcome"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
)

// slowFactor is how many times the usual a send takes that counts as slow in comparing
// two versions. A target's last slot costs up to twice the usual time, which says
// nothing of its version; versions that are worth stopping take several times as long.
const slowFactor = 3

// evidence counts how sends of a service ended while its rollout is under way, by route and
// by whether the target was of the version on trial. Counts only grow until another version
// is on trial, or none.
type evidence struct {
	mu      sync.Mutex
	version string // the version on trial
	counts  map[evidenceKey]*rollout.Counts
	// active counts the sends under way to each version, whether or not there is a
	// rollout: one may begin meanwhile.
	active map[string]int
}

type evidenceKey struct {
	route  string
	canary bool
}

func newEvidence() *evidence {
	return &evidence{counts: map[evidenceKey]*rollout.Counts{}, active: map[string]int{}}
}

// follow begins anew where another version is on trial than before; the lock is held.
func (e *evidence) follow(version string) {
	if e.version != version {
		e.version, e.counts = version, map[evidenceKey]*rollout.Counts{}
	}
}

// drop forgets what was counted, since no rollout of the service is under way.
func (e *evidence) drop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.follow("")
}

// add counts a send that was judged.
func (e *evidence) add(key evidenceKey, version string, judged rollout.Counts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.follow(version)
	counts := e.counts[key]
	if counts == nil {
		counts = &rollout.Counts{}
		e.counts[key] = counts
	}
	*counts = counts.Plus(judged)
}

// begin and end note sends under way to a version.
func (e *evidence) begin(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[version]++
}

func (e *evidence) end(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active[version]--; e.active[version] == 0 {
		delete(e.active, version)
	}
}

// report is what is known for a rollout.
func (e *evidence) report(r catalog.Rollout) rollout.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.follow(r.Version)
	out := rollout.Report{Service: r.Service, Version: r.Version, Permille: r.Permille}
	for key, counts := range e.counts {
		out.Counts = append(out.Counts, rollout.RouteCounts{Route: key.route, Canary: key.canary, Counts: *counts})
	}
	slices.SortFunc(out.Counts, func(a, b rollout.RouteCounts) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(side(a.Canary), side(b.Canary)))
	})
	for version, n := range e.active {
		if version == r.Version {
			out.CanaryActive += n
		} else {
			out.BaselineActive += n
		}
	}
	return out
}

// side puts the baseline before the canary.
func side(canary bool) int {
	if canary {
		return 1
	}
	return 0
}

// judgement is one send that is compared with those of the other version: judged once,
// as slow as soon as it is overdue, or when it ends.
type judgement struct {
	evidence *evidence
	key      evidenceKey
	version  string        // the one on trial
	overdue  time.Duration // after which it is slow; 0 or less if that is not known
	cold     uint64        // 1 for a send to a cold target, whose time says nothing
	timer    *time.Timer
	once     sync.Once
}

// judge begins the judgement of a send to a target; nil where no rollout of the service
// is under way.
func (b *balancer) judge(req *request, svc *service, chosen *candidate) *judgement {
	a, ok := b.options.Snapshot().Rollout(req.service)
	if !ok || a.Rollout().State != catalog.RolloutRunning {
		return nil
	}
	j := &judgement{
		evidence: svc.evidence, version: a.Rollout().Version,
		key:     evidenceKey{route: req.route.Name, canary: chosen.target.Version == a.Rollout().Version},
		overdue: slowFactor*svc.usual(req.route) + chosen.RoundTrip,
	}
	if chosen.Cold {
		j.cold = 1
	} else if j.overdue > 0 {
		j.timer = time.AfterFunc(j.overdue, func() { j.settle(rollout.Counts{Sends: 1, Slow: 1}) })
	}
	return j
}

func (j *judgement) settle(judged rollout.Counts) {
	j.once.Do(func() { j.evidence.add(j.key, j.version, judged) })
}

// answerBegan has a send judged at its end and not once it is overdue: the client may keep
// the target waiting from now on.
func (j *judgement) answerBegan() {
	if j != nil && j.timer != nil {
		j.timer.Stop()
	}
}

// ended judges a send by how it ended and how long its target took. One that was turned
// away, or that nobody waited for any more before it was overdue, says nothing.
func (j *judgement) ended(o outcome.Outcome, took time.Duration) {
	if j == nil {
		return
	}
	j.answerBegan()
	switch {
	case j.timer != nil && took > j.overdue:
		j.settle(rollout.Counts{Sends: 1, Slow: 1})
	case o == outcome.Served:
		j.settle(rollout.Counts{Sends: 1, Cold: j.cold})
	case o == outcome.Failed || o == outcome.Broken:
		j.settle(rollout.Counts{Sends: 1, Failed: 1, Cold: j.cold})
	}
}

// Reports are this gateway's counts for each rollout under way.
func (h *Handler) Reports(rollouts []catalog.Rollout) []rollout.Report {
	var out []rollout.Report
	for _, r := range rollouts {
		if r.State == catalog.RolloutRunning {
			out = append(out, h.balancer.services.get(r.Service).evidence.report(r))
		}
	}
	return out
}

// KeepReports drops what was counted for all but the rollouts under way: a version that was
// rolled back may be ordered again.
func (h *Handler) KeepReports(underWay []catalog.Rollout) {
	kept := map[string]bool{}
	for _, r := range underWay {
		kept[r.Service] = true
	}
	h.balancer.services.dropEvidence(kept)
}

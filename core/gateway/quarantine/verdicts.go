package quarantine

import (
	"cmp"
	"slices"

	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
)

// anyCaller represents all callers of a request.
const anyCaller = ""

// Verdicts tell which requests are quarantined, and which are suspect. The zero value has
// none. They are immutable, so that they may be read concurrently.
type Verdicts struct {
	hasRequests   bool
	byFingerprint map[fingerprint.Fingerprint]Verdict
}

// Verdict tells how a request is treated.
type Verdict struct {
	service      string
	targets      []string
	separateEnds int
	quarantined  bool
}

// IsQuarantined reports whether the request is sent to no target.
func (v Verdict) IsQuarantined() bool { return v.quarantined }

// IsSuspect reports whether the request gets no second send, be it a hedge or a retry: that
// might cost another target.
func (v Verdict) IsSuspect() bool { return v.quarantined || v.separateEnds >= minEndsOfSuspect }

// Targets returns the targets that ended under the request, the first one first, without
// those whose end is attributed to another request.
func (v Verdict) Targets() []string { return v.targets }

// Service returns the service of the first target that ended, as far as is known.
func (v Verdict) Service() string { return v.service }

// IsEmpty reports whether no request is known, so that no fingerprint need be computed.
// It does not depend on the service: a route may send a request to several services, or be
// moved to another, whose targets would end as well.
func (v *Verdicts) IsEmpty() bool { return !v.hasRequests }

// For returns the verdict on a request.
func (v *Verdicts) For(print fingerprint.Fingerprint) Verdict {
	if all, ok := v.byFingerprint[fingerprint.Fingerprint{Content: print.Content, Caller: anyCaller}]; ok {
		return all
	}
	return v.byFingerprint[print]
}

// Quarantined lists the requests that are quarantined, in a fixed order; one without a
// caller is quarantined for all callers.
func (v *Verdicts) Quarantined() []fingerprint.Fingerprint {
	var list []fingerprint.Fingerprint
	for print, verdict := range v.byFingerprint {
		if verdict.quarantined {
			list = append(list, print)
		}
	}
	slices.SortFunc(list, func(a, b fingerprint.Fingerprint) int { return cmp.Compare(a.String(), b.String()) })
	return list
}

// suspect is a request of one caller, with the ends that count against it.
type suspect struct {
	record *record
	caller string
	ends   []end
}

func (s suspect) print() fingerprint.Fingerprint {
	return fingerprint.Fingerprint{Content: s.record.content, Caller: s.caller}
}

// updateVerdicts computes the verdicts from the records.
func (l *Ledger) updateVerdicts() {
	v := &Verdicts{hasRequests: len(l.records) > 0}
	suspects := l.suspects()
	v.byFingerprint = computeVerdicts(suspects, nil)
	if forAll := l.fatalForAllCallers(v.byFingerprint); len(forAll) > 0 { // ends are attributed to these, too
		v.byFingerprint = computeVerdicts(suspects, forAll)
		for _, s := range forAll {
			v.byFingerprint[s.print()] = Verdict{service: s.record.service, targets: targetsOf(s.ends), quarantined: true}
		}
	}
	l.verdicts = v
}

// computeVerdicts returns the verdicts on single callers' requests; forAll are the requests that
// are quarantined for all callers.
func computeVerdicts(suspects, forAll []suspect) map[fingerprint.Fingerprint]Verdict {
	verdicts := map[fingerprint.Fingerprint]Verdict{}
	attributed := attributions{}
	for group := range bySize(slices.Concat(suspects, forAll)) {
		var quarantined []suspect
		for _, s := range group {
			remaining := attributed.unattributed(s)
			count := countSeparateEnds(remaining)
			fatal := count >= minEndsOfOneCaller || s.caller == anyCaller
			if s.caller != anyCaller && count > 0 {
				verdicts[s.print()] = Verdict{service: s.record.service, targets: targetsOf(remaining), separateEnds: count, quarantined: fatal}
			}
			if fatal {
				quarantined = append(quarantined, s)
			}
		}
		attributed.add(quarantined)
	}
	return verdicts
}

// suspects lists the requests of each caller that an end counts against.
func (l *Ledger) suspects() []suspect {
	var list []suspect
	for _, r := range l.records {
		byCaller := map[string]*suspect{}
		for _, e := range r.ends {
			if e.excuse == Cleared {
				continue
			}
			if byCaller[e.caller] == nil {
				byCaller[e.caller] = &suspect{record: r, caller: e.caller}
			}
			byCaller[e.caller].add(e)
		}
		for _, s := range byCaller {
			list = append(list, *s)
		}
	}
	return list
}

// bySize yields the suspects in groups with as many ends, most first: an end that is
// attributed to a suspect of a larger group does not count against the others, and of two in
// one group neither excuses the other.
func bySize(suspects []suspect) func(yield func([]suspect) bool) {
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(len(b.ends), len(a.ends)) })
	return func(yield func([]suspect) bool) {
		for len(suspects) > 0 {
			n := 1
			for n < len(suspects) && len(suspects[n].ends) == len(suspects[0].ends) {
				n++
			}
			if !yield(suspects[:n]) {
				return
			}
			suspects = suspects[n:]
		}
	}
}

// fatalForAllCallers returns the requests that are quarantined for all callers: at least
// minEndsOfAllCallers targets ended under the same request of several callers, none of which
// has got an answer. verdicts are those on single callers' requests.
func (l *Ledger) fatalForAllCallers(verdicts map[fingerprint.Fingerprint]Verdict) (forAll []suspect) {
	for _, r := range l.records {
		all := suspect{record: r, caller: anyCaller}
		callers := map[string]bool{}
		for _, e := range r.ends {
			verdict := verdicts[fingerprint.Fingerprint{Content: r.content, Caller: e.caller}]
			if e.excuse > None || !slices.Contains(verdict.targets, e.target) {
				continue
			}
			callers[e.caller] = true
			all.add(e)
		}
		if countSeparateEnds(all.ends) >= minEndsOfAllCallers && len(callers) > 1 {
			forAll = append(forAll, all)
		}
	}
	return forAll
}

// add adds an end unless one of the same incarnation of the target is counted already.
func (s *suspect) add(e end) {
	if !slices.ContainsFunc(s.ends, e.isSame) {
		s.ends = append(s.ends, e)
	}
}

// attributions holds, by target, the ends that are attributed to quarantined requests, and to
// which.
type attributions map[string][]attributedEnd

type attributedEnd struct {
	end
	by fingerprint.Fingerprint
}

func (a attributions) add(quarantined []suspect) {
	for _, s := range quarantined {
		for _, e := range s.ends {
			a[e.target] = append(a[e.target], attributedEnd{end: e, by: s.print()})
		}
	}
}

// unattributed returns the ends of a suspect that are not attributed to another quarantined
// request. A request that is quarantined for all callers does not excuse its own callers.
func (a attributions) unattributed(s suspect) (remaining []end) {
	for _, e := range s.ends {
		explains := func(other attributedEnd) bool {
			own := other.by.Caller == anyCaller && other.by.Content == s.record.content
			return !own && e.isSame(other.end)
		}
		if !slices.ContainsFunc(a[e.target], explains) {
			remaining = append(remaining, e)
		}
	}
	return remaining
}

// countSeparateEnds counts the ends, simultaneous ones as one: targets that end together while
// they run the same request were ended by something else, as when a hall loses power.
func countSeparateEnds(ends []end) (n int) {
	var latest end
	for _, e := range byTime(ends) {
		began, since := e.at.Add(-e.ran), e.at.Sub(latest.at)
		if n == 0 || since >= simultaneousWithin || !began.Before(latest.at.Add(-maxTransitTime)) {
			n++
			latest = e
		}
	}
	return n
}

func byTime(ends []end) []end {
	return slices.SortedFunc(slices.Values(ends), func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
}

// targetsOf lists the targets that ended, in the order of their ends.
func targetsOf(ends []end) []string {
	ends = byTime(ends)
	targets := make([]string, 0, len(ends))
	for _, e := range ends {
		targets = append(targets, e.target)
	}
	return targets
}

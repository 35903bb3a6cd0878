package quarantine

import (
	"cmp"
	"slices"

	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
)

// anyCaller represents all callers of a request.
const anyCaller = ""

// Verdicts say which requests are quarantined, and which are suspect. The zero value has
// none. They don't change, so that they may be read by many.
type Verdicts struct {
	knows bool
	of    map[fingerprint.Fingerprint]Verdict
}

// Verdict is what becomes of a request.
type Verdict struct {
	service     string
	targets     []string
	moments     int
	quarantined bool
}

// IsQuarantined says that the request is sent to no target.
func (v Verdict) IsQuarantined() bool { return v.quarantined }

// IsSuspect says that the request gets no second send: beside or after one that fails, it
// might cost another target.
func (v Verdict) IsSuspect() bool { return v.quarantined || v.moments >= suspectEnds }

// Targets are those that ended under the request, the first one first, but for those
// whose end another request was to blame for.
func (v Verdict) Targets() []string { return v.targets }

// Service is that of the first target that ended, as far as is known.
func (v Verdict) Service() string { return v.service }

// IsEmpty says that nothing is known of any request, so that no fingerprint need be taken.
// It does not go by service: a route may send a request to several, or be moved to another,
// whose targets would end as well.
func (v *Verdicts) IsEmpty() bool { return !v.knows }

// Of is the verdict on a request.
func (v *Verdicts) Of(print fingerprint.Fingerprint) Verdict {
	if all, ok := v.of[fingerprint.Fingerprint{Content: print.Content, Caller: anyCaller}]; ok {
		return all
	}
	return v.of[print]
}

// Quarantined lists the requests that are quarantined, in a fixed order; one without a
// caller is quarantined for all.
func (v *Verdicts) Quarantined() []fingerprint.Fingerprint {
	var list []fingerprint.Fingerprint
	for print, verdict := range v.of {
		if verdict.quarantined {
			list = append(list, print)
		}
	}
	slices.SortFunc(list, func(a, b fingerprint.Fingerprint) int { return cmp.Compare(a.String(), b.String()) })
	return list
}

// suspect is a request of one caller, with the ends that speak against it.
type suspect struct {
	record *record
	caller string
	ends   []end
}

func (s suspect) print() fingerprint.Fingerprint {
	return fingerprint.Fingerprint{Content: s.record.content, Caller: s.caller}
}

// judge works the verdicts out anew.
func (l *Ledger) judge() {
	v := &Verdicts{knows: len(l.records) > 0}
	suspects := l.suspects()
	v.of = judgeEach(suspects, nil)
	if taken := l.takenFromAll(v.of); len(taken) > 0 { // they excuse others as well
		v.of = judgeEach(suspects, taken)
		for _, s := range taken {
			v.of[s.print()] = Verdict{service: s.record.service, targets: targetsOf(s.ends), quarantined: true}
		}
	}
	l.verdicts = v
}

// judgeEach gives the verdicts on single callers' requests; taken are the requests that
// are quarantined whoever sends them.
func judgeEach(suspects, taken []suspect) map[fingerprint.Fingerprint]Verdict {
	of := map[fingerprint.Fingerprint]Verdict{}
	blamed := blame{}
	for group := range bySize(slices.Concat(suspects, taken)) {
		var worst []suspect
		for _, s := range group {
			left := blamed.unexplained(s)
			count := moments(left)
			guilty := count >= ownEnds || s.caller == anyCaller
			if s.caller != anyCaller && count > 0 {
				of[s.print()] = Verdict{service: s.record.service, targets: targetsOf(left), moments: count, quarantined: guilty}
			}
			if guilty {
				worst = append(worst, s)
			}
		}
		blamed.add(worst)
	}
	return of
}

// suspects lists the requests of each caller that an end speaks against.
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

// bySize gives the suspects in groups with as many ends, most first: what a greater one is
// to blame for excuses the others, and of two with as many neither excuses the other.
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

// takenFromAll are the requests that are quarantined whoever sends them: targets ended
// under those of several callers, and nobody has got an answer. of are the verdicts on
// single callers' requests.
func (l *Ledger) takenFromAll(of map[fingerprint.Fingerprint]Verdict) (taken []suspect) {
	for _, r := range l.records {
		all := suspect{record: r, caller: anyCaller}
		callers := map[string]bool{}
		for _, e := range r.ends {
			verdict := of[fingerprint.Fingerprint{Content: r.content, Caller: e.caller}]
			if e.excuse > None || !slices.Contains(verdict.targets, e.target) {
				continue
			}
			callers[e.caller] = true
			all.add(e)
		}
		if moments(all.ends) >= allEnds && len(callers) > 1 {
			taken = append(taken, all)
		}
	}
	return taken
}

// add adds an end unless it is of a life of a target that is counted already.
func (s *suspect) add(e end) {
	if !slices.ContainsFunc(s.ends, e.isSame) {
		s.ends = append(s.ends, e)
	}
}

// blame holds, by target, the ends that quarantined requests are to blame for, and whose.
type blame map[string][]blamedEnd

type blamedEnd struct {
	end
	by fingerprint.Fingerprint
}

func (b blame) add(worst []suspect) {
	for _, s := range worst {
		for _, e := range s.ends {
			b[e.target] = append(b[e.target], blamedEnd{end: e, by: s.print()})
		}
	}
}

// unexplained are the ends of a suspect that no other quarantined request is to blame for.
// One that is quarantined whoever sends it does not excuse its own callers.
func (b blame) unexplained(s suspect) (left []end) {
	for _, e := range s.ends {
		explains := func(other blamedEnd) bool {
			own := other.by.Caller == anyCaller && other.by.Content == s.record.content
			return !own && e.isSame(other.end)
		}
		if !slices.ContainsFunc(b[e.target], explains) {
			left = append(left, e)
		}
	}
	return left
}

// moments counts the ends, those of one moment as one: targets that end together while they
// run the same request were ended by something else, as when a hall loses power.
func moments(ends []end) (n int) {
	var latest end
	for _, e := range byTime(ends) {
		began, since := e.at.Add(-e.ran), e.at.Sub(latest.at)
		if n == 0 || since >= sameMoment || !began.Before(latest.at.Add(-onTheWay)) {
			n++
			latest = e
		}
	}
	return n
}

func byTime(ends []end) []end {
	return slices.SortedFunc(slices.Values(ends), func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
}

// targetsOf lists the targets that ended, in the order in which they did.
func targetsOf(ends []end) []string {
	ends = byTime(ends)
	targets := make([]string, 0, len(ends))
	for _, e := range ends {
		targets = append(targets, e.target)
	}
	return targets
}

package discovery

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
	"github.com/sprucecrank/sprucecrank/core/member"
)

func TestWaitingPollIsAnsweredOnceStaleStateIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	f := New(Options{Self: member.Box{ID: "self"}, Clock: func() time.Time { return now }, Timing: Timing{StaleAfter: time.Second}})
	f.confirm(now, "reader")
	asked := now
	fresh := UpdateArgs{At: f.catalog.Position(), Age: 100 * time.Millisecond}
	g.Expect(f.hasAnswer(fresh, asked)).To(BeFalse(), "the caller's state is as fresh")
	now = now.Add(700 * time.Millisecond)
	g.Expect(f.hasAnswer(fresh, asked)).To(BeFalse(), "both are stale")
	changed := f.changed
	f.confirm(now, "reader")
	g.Expect(changed).To(BeClosed(), "waiting polls check again")
	g.Expect(f.hasAnswer(fresh, asked)).To(BeTrue())
	now = now.Add(time.Minute)
	g.Expect(f.hasAnswer(fresh, asked)).To(BeFalse(), "both are stale: the caller also polls others, of which the first one answers")
	f.noteTries(now, []reader.Try{{ID: "other"}})
	g.Expect(f.hasAnswer(fresh, asked)).To(BeTrue(), "a gateway tries to read the store")
	fresh.Tries = []reader.Try{{ID: "other"}}
	g.Expect(f.hasAnswer(fresh, now)).To(BeFalse(), "the caller knows that")
	f.SetLeaving()
	g.Expect(f.hasAnswer(fresh, now)).To(BeTrue(), "the caller should ask another gateway")
}

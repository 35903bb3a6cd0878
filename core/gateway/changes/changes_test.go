package changes_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/changes"
)

func TestChangesAreReturnedInOrderAndInBatches(t *testing.T) {
	g := NewWithT(t)
	log := changes.NewLog(7)
	g.Expect(log.Position()).To(Equal(changes.Position{}))
	var all []changes.Change[string]
	for _, name := range []string{"a", "b", "c"} {
		all = append([]changes.Change[string]{{Version: log.Next(), Update: name}}, all...)
	}
	g.Expect(log.Position()).To(Equal(changes.Position{Log: 7, Version: 3}))
	updates, to := changes.NextBatch(log, all, 2)
	g.Expect(updates).To(Equal([]string{"a", "b"}))
	g.Expect(to).To(Equal(changes.Position{Log: 7, Version: 2}))
	g.Expect(log.After(to)).To(Equal(uint64(2)))
	updates, to = changes.NextBatch(log, []changes.Change[string]{{Version: 3, Update: "c"}}, 2)
	g.Expect(updates).To(Equal([]string{"c"}))
	g.Expect(to).To(Equal(log.Position()))
	updates, to = changes.NextBatch[string](log, nil, 2)
	g.Expect(updates).To(BeEmpty())
	g.Expect(to).To(Equal(log.Position()))
}

func TestAllChangesAreMissingAtAPositionOfAnotherLog(t *testing.T) {
	g := NewWithT(t)
	log := changes.NewLog(7)
	log.Next()
	g.Expect(log.After(changes.Position{})).To(BeZero())
	g.Expect(log.After(changes.Position{Log: 8, Version: 9})).To(BeZero())
}

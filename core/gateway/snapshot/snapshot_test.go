package snapshot_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
)

func TestSnapshotWithoutTableAndTargetsIsUsable(t *testing.T) {
	g := NewWithT(t)
	s := snapshot.New(nil, nil)
	g.Expect(s.Table()).To(BeNil())
	g.Expect(s.Targets("shop")).To(BeEmpty())
	g.Expect(s.ByService()).To(BeEmpty())
}

func ExampleSnapshot() {
	s := snapshot.New(routing.New(routing.Config{Version: 7}), map[string][]catalog.Target{"shop": {{ID: "i-1"}}})
	fmt.Println(s.Table().Version(), len(s.Targets("shop")))
	// Output: 7 1
}

package store_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/store"
)

// Guards against a value or member of another writer because of which none is known.
func TestAnOddValueCostsOnlyItself(t *testing.T) {
	deep := strings.Repeat(`{"a":`, 10_001) + "1" + strings.Repeat("}", 10_001)
	for name, odd := range map[string]struct{ object, member string }{
		"nested":             {`{"key":"odd","version":2,"value":` + deep + `}`, `{"id":"odd","x":` + deep + `}`},
		"a number too large": {`{"key":"odd","version":1e400,"value":1}`, `{"id":"odd","start":1e400}`},
		"another type":       {`{"key":7,"version":2,"value":1}`, `{"id":7}`},
		"nested key":         {`{"key":` + deep + `}`, `{"id":` + deep + `}`},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/v1/members/") {
					_, _ = fmt.Fprintf(w, `[%s,{"id":"box-1","address":"10.0.0.1:80"}]`, odd.member)
					return
				}
				_, _ = fmt.Fprintf(w, `{"revision":9,"objects":[%s,{"key":"good","version":3,"value":{"b":1}}]}`, odd.object)
			}))
			t.Cleanup(server.Close)
			c := store.New(store.Options{Address: server.Listener.Addr().String()})
			list, err := c.List(t.Context(), "")
			g.Expect(err).NotTo(HaveOccurred())
			watched, err := c.Watch(t.Context(), "", 1, time.Second)
			g.Expect(err).NotTo(HaveOccurred())
			for _, s := range []store.Snapshot{list, watched} {
				g.Expect(s.Revision).To(Equal(uint64(9)))
				good := s.Objects[len(s.Objects)-1]
				g.Expect(good.Key).To(Equal("good"))
				g.Expect(good.Value).To(MatchJSON(`{"b":1}`))
			}
			members, err := c.Members(t.Context(), "boxes")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(members[len(members)-1].ID).To(Equal("box-1"))
		})
	}
}

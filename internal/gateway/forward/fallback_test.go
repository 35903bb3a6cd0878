package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// probesEnd is longer than the probes take that look for the way back to targets.
const probesEnd = time.Second

// dialHangs is the way to targets of a gateway whose links to them are lost.
func dialHangs(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A gateway that was cut off dialled one target after the other until its client's time was over.
func TestRequestIsRefusedSoonWhereNoTargetConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 10
		g := NewWithT(t)
		f := newFixture(t)
		var targets []catalog.Target
		for i := range 10 {
			targets = append(targets, catalog.Target{ID: fmt.Sprint("t", i), Service: "shop", Hall: "a", Address: "10.0.0.1:80"})
		}
		f.view = snapshot.New(newTable(2, timeout), map[string][]catalog.Target{"shop": targets})
		f.options.Pool = upstream.New(upstream.Options{Names: names, Dial: dialHangs})
		handler := forward.New(f.options)
		held := func() time.Duration {
			began := time.Now()
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, newOrder())
			g.Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
			g.Expect(answer.Header().Get("Retry-After")).NotTo(BeEmpty())
			g.Expect(answer.Header().Get(verdict.Header)).To(Equal(verdict.NotRun.String()))
			return time.Since(began)
		}
		g.Expect(held()).To(BeNumerically("<", objective/2), "the first of them")
		times := make(chan time.Duration, requests)
		for range requests {
			go func() { times <- held() }()
		}
		var slowest time.Duration
		atOnce := 0
		for range requests {
			took := <-times
			slowest = max(slowest, took)
			if took < time.Millisecond {
				atOnce++
			}
		}
		g.Expect(atOnce).To(Equal(requests), "none waits for the probes that look for the way back")
		g.Expect(slowest).To(BeNumerically("<", objective/4))
		time.Sleep(probesEnd)
	})
}

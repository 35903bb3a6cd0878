package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
)

func TestScrapeShowsStateAndCounters(t *testing.T) {
	g := NewWithT(t)
	held := memory.NewLedger(memory.NewLimits(0))
	held.Add(memory.Body, 60)
	held.Add(memory.Body, 10)
	held.Remove(memory.Body, 60, 2*time.Second)
	m, err := metrics.New(func() metrics.State {
		return metrics.State{
			ConfigVersion: 7, ConfigAge: 0.5, EvacuatedHalls: 1, CrossRegionServices: 2, Active: 3, LogDropped: 4, AnswerBytes: 5,
			Memory:     map[memory.Holder]memory.Usage{memory.Body: held.Usage(memory.Body)},
			RoundTrips: map[string]time.Duration{"south": 40 * time.Millisecond},
		}
	})
	g.Expect(err).NotTo(HaveOccurred())
	m.Send("shop", "200", "other-region", true)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`sprucecrank_gateway_config_version 7`,
		`sprucecrank_gateway_config_age_seconds 0.5`,
		`sprucecrank_gateway_halls_evacuated 1`,
		`sprucecrank_gateway_services_far 2`,
		`sprucecrank_gateway_region_trip_seconds{region="south"} 0.04`,
		`sprucecrank_gateway_requests_active 3`,
		`sprucecrank_gateway_answers_held_bytes 5`,
		`sprucecrank_gateway_log_dropped_total 4`,
		`sprucecrank_gateway_memory_held_bytes{holder="body"} 10`,
		`sprucecrank_gateway_memory_peak_bytes{holder="body"} 70`,
		`sprucecrank_gateway_memory_holds_total{holder="body"} 1`,
		`sprucecrank_gateway_memory_held_duration_seconds_total{holder="body"} 2`,
		`sprucecrank_gateway_sends_total{first="true",result="200",service="shop",tier="other-region"} 1`,
	} {
		g.Expect(w.Body.String()).To(ContainSubstring(line + "\n"))
	}
}

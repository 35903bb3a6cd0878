package forward_test

import (
	"io"
	"net/http"
	"testing"
)

// BenchmarkRequest measures a request through the data path to stand-in targets
// in the same process; compare two versions by their ratio.
func BenchmarkRequest(b *testing.B) {
	f := newFixture(b, newStandin(b, "s1", "shop", "a", ok), newStandin(b, "s2", "shop", "a", ok)).start()
	r, err := http.NewRequest(http.MethodGet, f.url+readPath, nil)
	if err != nil {
		b.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set(names.RequestID, "bench")
	b.ReportAllocs()
	for b.Loop() {
		response, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

package box_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/box"
	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/box/envelope"
	"github.com/sprucecrank/sprucecrank/internal/box/submit"
	"github.com/sprucecrank/sprucecrank/internal/standin/platformsim"
)

// startFleet runs n boxes in this process, with one service of a target that
// answers at once. It gives the boxes' client addresses.
func startFleet(b *testing.B, n int) (boxes []string, target string) {
	sim := platformsim.New()
	api := httptest.NewServer(sim.Handler())
	b.Cleanup(api.Close)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	b.Cleanup(server.Close)
	target = server.Listener.Addr().String()
	address := api.Listener.Addr().String()
	client := store.New(store.Options{Address: address})
	put(b, client, envelope.Service, "s", fmt.Sprintf(`{"name":"s","prefix":"/s","targets":[{"address":%q,"hall":"h","slots":64}]}`, target))
	put(b, client, envelope.Policy, "s", `{"service":"s","program":"\"look\"","kinds":[{"name":"look","mode":"repeatable"}]}`)
	for i := range n {
		settings, err := box.ParseSettings([]byte(fmt.Sprintf(
			`{"id":"box-%d","hall":"h","listen":"127.0.0.1:0","peer_listen":"127.0.0.1:0","admin_listen":"127.0.0.1:0","platform":%q,"max_boxes":2,"drain_lag_ms":1}`, i, address)))
		if err != nil {
			b.Fatal(err)
		}
		one, err := box.New(settings, box.Options{})
		if err != nil {
			b.Fatal(err)
		}
		sim.SetMember("boxes", store.Member{ID: settings.ID, Address: one.PeerAddress(), Hall: "h", State: store.Live})
		ctx, stop := context.WithCancel(b.Context())
		done := make(chan struct{})
		go func() { _ = one.Run(ctx); close(done) }()
		b.Cleanup(func() { stop(); <-done })
		<-one.Ready()
		boxes = append(boxes, one.ClientAddress())
	}
	time.Sleep(3 * time.Second) // the boxes hear of each other
	return boxes, target
}

func put(b *testing.B, c *store.Client, noun envelope.Noun, name, doc string) {
	change := submit.Change{Noun: noun, Name: name, ID: name, Value: []byte(doc)}
	if _, err := submit.Write(b.Context(), c.Objects(), change); err != nil {
		b.Fatal(err)
	}
}

func get(b *testing.B, client *http.Client, address string) {
	r, err := client.Get("http://" + address + "/s/1")
	if err != nil {
		b.Fatal(err)
	}
	raw, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil || !strings.Contains(string(raw), "ok") {
		b.Fatal(r.Status, string(raw), err)
	}
}

// BenchmarkRequest compares a request straight to the target with one through
// the home box and one through another box. It is run by hand.
func BenchmarkRequest(b *testing.B) {
	boxes, target := startFleet(b, 2)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for _, way := range []struct{ name, address string }{{"direct", target}, {"box 0", boxes[0]}, {"box 1", boxes[1]}} {
		b.Run(way.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				get(b, client, way.address)
			}
		})
	}
}

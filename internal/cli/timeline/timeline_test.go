package timeline_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/internal/cli/timeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline/pipelinetest"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
)

var names = headers.Defaults()

// target is one stand-in target with the load that it tells.
type target struct {
	load string
	do   http.HandlerFunc
}

func drop(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func fail(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func fine(_ http.ResponseWriter, _ *http.Request) {}

func (s target) start(t *testing.T, id string) catalog.Target {
	t.Helper()
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.Load, s.load)
		w.Header().Set(names.Instance, id)
		if r.URL.Path == "/health" {
			return
		}
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		_, _ = io.Copy(io.Discard, r.Body)
		s.do(w, r)
	}))
	t.Cleanup(func() {
		entry.CloseClientConnections()
		entry.Close()
	})
	return catalog.Target{ID: id, Service: "shop", Hall: "a", Address: entry.Listener.Addr().String()}
}

// syncBuffer is a log that handlers of several connections write.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

type failure struct {
	name    string
	targets []target
	path    string
	body    string
	timeout time.Duration
	unknown bool // no configuration yet
	dead    bool // the only target can't be reached
	leave   bool // the client leaves
	cause   string
}

const usual = "0,0,3,100"

var failures = []failure{
	{name: "no route", path: "/nowhere/", cause: "configuration 7 has no route"},
	{name: "not ready", unknown: true, cause: "did not know enough"},
	{name: "no target", cause: "no target of the service was known"},
	{name: "all full", targets: []target{{"3,9,3,500", fine}}, cause: "too full to answer in time"},
	{name: "broken off", targets: []target{{usual, drop}}, cause: "broke off or sent no whole answer"},
	{name: "refused", targets: []target{{usual, refuse}}, cause: "no second send was left"},
	{name: "failed", targets: []target{{usual, fail}}, cause: "the target answered 500"},
	{name: "late", targets: []target{{usual, hang}}, timeout: time.Second, cause: "its time ran out"},
	{name: "unreachable", dead: true, cause: "no connection to any target could be made"},
	{name: "client left", targets: []target{{usual, hang}}, leave: true, cause: "the client left"},
	{name: "body too large", targets: []target{{usual, fine}}, body: strings.Repeat("a", 100), cause: "body-too-large"},
	{name: "slow targets only", targets: []target{{"0,0,3,900", fine}}, cause: "answered after"},
}

// From its log lines alone the cause of each kind of failure can be told.
func TestTheLogsTellTheCauseOfEachFailure(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			log := &syncBuffer{}
			f.play(t, log)
			g.Eventually(log.text, 20*time.Second).Should(ContainSubstring(`"request":"the-request"`))
			logs, err := timeline.Read(strings.NewReader("12.5 machine-1 " + log.text()))
			g.Expect(err).NotTo(HaveOccurred())
			told, ok := logs.Of("the-request")
			g.Expect(ok).To(BeTrue())
			g.Expect(told.Causes).To(HaveLen(1))
			g.Expect(told.Causes[0]).To(ContainSubstring(f.cause))
			_, ok = logs.Of("another")
			g.Expect(ok).To(BeFalse())
		})
	}
}

func (f failure) play(t *testing.T, log io.Writer) {
	t.Helper()
	view := snapshot.New(f.table(), map[string][]catalog.Target{})
	for i, s := range f.targets {
		view.ByService()["shop"] = append(view.ByService()["shop"], s.start(t, string(rune('a'+i))))
	}
	if f.dead {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		view.ByService()["shop"] = []catalog.Target{{ID: "dead", Service: "shop", Address: listener.Addr().String()}}
		_ = listener.Close()
	}
	ready := make(chan struct{})
	if f.unknown {
		view = snapshot.New(nil, nil)
	} else {
		close(ready)
	}
	handler := forward.New(forward.Options{
		Names: names, Places: func() *locality.Map { return locality.New("a", "", nil) }, Snapshot: func() *snapshot.Snapshot { return view }, Ready: ready,
		Current: func() bool { return true },
		Pool:    upstream.New(upstream.Options{Names: names}),
		Retry:   forward.Retry{Ratio: 0.1, Saved: 1},
		Log:     slog.New(slog.NewJSONHandler(log, nil)).With("gateway", "g1"),
	})
	address := pipelinetest.Serve(t, pipeline.Options{Handler: handler, Safe: handler.Repeatable, Limits: handler.Limits})
	f.request(t, "http://"+address)
}

func (f failure) table() *routing.Table {
	timeout := f.timeout
	if timeout == 0 {
		timeout = time.Minute
	}
	return routing.New(routing.Config{
		Version: 7, Limits: routing.Limits{BodyBytes: 50},
		Routes: []routing.Route{{
			Name: "r", Host: "shop.example", Prefix: "/read/", MaxAttempts: 1,
			Objective: 2 * time.Second, Timeout: timeout, Shares: []routing.Share{{Service: "shop", Weight: 1}},
		}},
		Services: []routing.Service{{Name: "shop", HealthPath: "/health"}},
	})
}

func (f failure) request(t *testing.T, url string) {
	t.Helper()
	path := f.path
	if path == "" {
		path = "/read/"
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if f.leave {
		time.AfterFunc(100*time.Millisecond, cancel)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, strings.NewReader(f.body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "shop.example"
	r.Header.Set(names.RequestID, "the-request")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		_ = response.Body.Close()
	}
}

func TestTornAndForeignLinesAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	logs, err := timeline.Read(strings.NewReader("no json here\n{\"msg\":\"served\",\"request\":\"a\",\"status\":200}\n{\"msg\":\"ser\n{\"msg\":\"started\"}\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(logs.Torn()).To(Equal(1))
	g.Expect(logs.Requests()).To(Equal(1))
	g.Expect(logs.NotServed()).To(BeEmpty())
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("{\"request\":\"a\",\"sends\":[{\"target\":\"x\"}]}\n"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		logs, err := timeline.Read(bytes.NewReader(raw))
		if err != nil {
			return
		}
		for _, id := range logs.NotServed() {
			logs.Of(id)
		}
	})
}

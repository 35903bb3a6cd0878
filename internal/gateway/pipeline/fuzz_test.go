package pipeline_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
)

// meanings collects what a server takes the requests on a connection to be.
type meanings struct {
	mu   sync.Mutex
	list []string
}

func (m *meanings) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // not a whole request
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, fmt.Sprintf("%s %s %s %v %q", r.Method, r.RequestURI, r.Host, r.Header, body))
}

func (m *meanings) all() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// served is what a server makes of the bytes of one connection, which stays open.
func served(data []byte, serve func(net.Listener, http.Handler) io.Closer) []string {
	var found meanings
	listener := newPipes()
	server := serve(listener, &found)
	conn := listener.dial()
	go func() { _, _ = conn.Write(data) }()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	synctest.Wait()
	list := found.all()
	_ = server.Close()
	_ = conn.Close()
	synctest.Wait()
	return list
}

func byLibrary(l net.Listener, h http.Handler) io.Closer {
	server := &http.Server{Handler: h, DisableGeneralOptionsHandler: true}
	go func() { _ = server.Serve(l) }()
	return server
}

func byPipeline(l net.Listener, h http.Handler) io.Closer {
	server := pipeline.New(pipeline.Options{Handler: h})
	go func() { _ = server.Serve(l) }()
	return server
}

// What is served is what the library's server would have served: nothing else, and
// nothing beyond it. What it refuses may be more.
func FuzzRequestsMeanWhatTheLibraryTakesThemFor(f *testing.F) {
	for _, seed := range []string{
		get("/a") + get("/b"),
		post("/a", "one") + get("/b") + post("/c", "two"),
		"POST /a HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: x\r\n\r\n" + get("/b"),
		"POST /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/b"),
		"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get("/b"),
		"GET http://other/a HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n" + get("/b"),
		"GET /a HTTP/1.1\r\nHost: shop\r\nA : b\r\nContent-Length:\t3\r\n\r\nabc",
		"GET /a HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\n\r\nabc" + get("/b"),
		"POST /a HTTP/1.1\r\nHost: shop\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na" + get("/b"),
		"OPTIONS * HTTP/1.1\r\nHost: shop\r\n\r\nGET /\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) {
			ours, theirs := served(data, byPipeline), served(data, byLibrary)
			for i, meaning := range ours {
				if i >= len(theirs) || theirs[i] != meaning {
					t.Fatalf("request %d is taken for\n%s\nthe library serves\n%q", i, meaning, theirs)
				}
			}
		})
	})
}

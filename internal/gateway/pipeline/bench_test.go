package pipeline_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
)

// answerOK answers as the gateway does: a few headers and a short body.
var answerOK = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", "400")
	_, _ = w.Write(body400)
})

var body400 = make([]byte, 400)

// start serves on loopback with the library's server, or with ours.
func start(b *testing.B, library bool) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var server io.Closer
	if library {
		s := &http.Server{Handler: answerOK, IdleTimeout: time.Minute}
		server = s
		go func() { _ = s.Serve(listener) }()
	} else {
		s := pipeline.New(pipeline.Options{Handler: answerOK, Safe: safe})
		server = s
		go func() { _ = s.Serve(listener) }()
	}
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// By hand: ours against the library's server, in one run.
func BenchmarkRequest(b *testing.B) {
	for name, library := range map[string]bool{"library": true, "pipeline": false} {
		b.Run(name, func(b *testing.B) {
			conn, err := net.Dial("tcp", start(b, library))
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request, in := []byte(get("/x")), bufio.NewReader(conn)
			b.ReportAllocs()
			began := processorTime(b)
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
			b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}

// By hand: the memory of connections that have had one request and rest.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 2000
	for name, library := range map[string]bool{"library": true, "pipeline": false} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				address := start(b, library)
				before := inUse()
				conns := make([]net.Conn, connections)
				for i := range conns {
					conn, err := net.Dial("tcp", address)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = conn.Write([]byte(get("/x")))
					response, err := http.ReadResponse(bufio.NewReaderSize(conn, 16), nil)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, response.Body)
					conns[i] = conn
				}
				b.ReportMetric(float64(inUse()-before)/connections, "B/connection")
				for _, conn := range conns {
					_ = conn.Close()
				}
			}
		})
	}
}

// processorTime is what the process has used, the client's part among it.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

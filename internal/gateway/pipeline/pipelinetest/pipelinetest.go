// Package pipelinetest serves clients in tests as the gateway does.
//
// # Usage
//
//	address := pipelinetest.Serve(t, pipeline.Options{Handler: handler})
package pipelinetest

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
)

// Serve starts a server on loopback until the test has ended, and returns its
// address. The test fails if the server ended otherwise.
func Serve(t testing.TB, o pipeline.Options) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := pipeline.New(o)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

package jsoncall_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/gateway/jsoncall"
	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
)

// Guards against an answer of the store that the protocol does not allow and that is believed.
func TestInvalidAnswersFail(t *testing.T) {
	for name, answer := range httpconntest.Invalid("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.Write(conn, answer) })
			var number int
			response, err := jsoncall.New("http://"+address+"/", slog.New(slog.DiscardHandler)).Call(t.Context(), http.MethodGet, "", nil, &number)
			g.Expect(err).To(HaveOccurred())
			g.Expect(response.Status()).To(BeZero(), "there was no complete response")
		})
	}
}

// Guards against answers of the store without an end that take up memory or time.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for name, answer := range httpconntest.Endless("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.WriteEndlessly(conn, answer) })
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			var number int
			response, err := jsoncall.New("http://"+address+"/", slog.New(slog.DiscardHandler)).Call(ctx, http.MethodGet, "", nil, &number)
			g.Expect(err).To(HaveOccurred())
			g.Expect(response.Status()).To(BeZero())
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "not ended by the deadline alone")
		})
	}
}

package store_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
)

const version = "ETag: \"7\"\r\n"

// Guards against an answer of the platform that the protocol does not allow and that is believed.
func TestInvalidAnswersFail(t *testing.T) {
	for name, answer := range httpconntest.Invalid(version) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.Write(conn, answer) })
			c := store.New(store.Options{Address: address, Timeout: 10 * time.Second})
			_, err := c.Get(t.Context(), "a")
			g.Expect(err).To(MatchError(store.ErrUnavailable))
			_, err = c.Put(t.Context(), "a", []byte(`1`), 0)
			g.Expect(err).To(MatchError(store.ErrAmbiguous))
		})
	}
}

// Guards against answers of the platform without an end that take up memory or time.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for name, answer := range httpconntest.Endless(version) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.WriteEndlessly(conn, answer) })
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := store.New(store.Options{Address: address, Timeout: time.Minute}).Get(ctx, "a")
			g.Expect(err).To(MatchError(store.ErrUnavailable))
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "not ended by the deadline alone")
		})
	}
}

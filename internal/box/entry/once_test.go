package entry

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/verdict"
)

// An earlier try of the key may have run, so that a try whose own number can't
// be read must not be told that its request did not.
func TestABadAttemptNumberIsNoPromiseForItsKey(t *testing.T) {
	g := NewWithT(t)
	h := &Handler{options: Options{Clock: time.Now, Log: slog.New(slog.DiscardHandler)}}
	key, err := uuid.NewV7()
	g.Expect(err).NotTo(HaveOccurred())
	r := requestWith(map[string][]string{HeaderKey: {key.String()}, HeaderAttempt: {"seven"}})
	w := httptest.NewRecorder()
	v := h.serveOnce(context.Background(), w, &exchange{id: "one", in: r})
	g.Expect(w.Code).To(Equal(http.StatusBadRequest))
	g.Expect(v).To(Equal(verdict.MayHaveRun))
	g.Expect(w.Header().Get(verdict.Header)).To(Equal("may-have-run"))
}

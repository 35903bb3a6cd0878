package upstream_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/verdict"
)

// Guards against a target that never ends the head of its answer and takes up the gateway's memory.
func TestTheHeadOfAnAnswerIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		interim string
		fails   bool
		fields  int
	}{
		"a long head that ends":       {"", false, 100},
		"one that never ends":         {"", true, 1 << 20},
		"interim answers without end": {"HTTP/1.1 102 Processing\r\nX-Long: " + strings.Repeat("a", 1000) + "\r\n\r\n", true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := serve(t, func(conn net.Conn, r *http.Request, _ int32) {
				for range 1000 {
					if c.interim != "" {
						write(conn, c.interim)
					}
				}
				write(conn, "HTTP/1.1 200 OK\r\n"+names.RequestID+": "+r.Header.Get(names.RequestID)+"\r\n")
				for range c.fields {
					if _, err := conn.Write([]byte("X-Long: " + strings.Repeat("a", 1000) + "\r\n")); err != nil {
						return // the gateway has closed the connection
					}
				}
				write(conn, "Content-Length: 200\r\n\r\n"+strings.Repeat("b", 200))
			})
			answer, failure := exchange(t, newPool(), s, request("one"))
			if c.fails {
				g.Expect(failure).NotTo(BeNil())
				g.Expect(failure.Reason()).To(Equal(verdict.ReasonTargetFailed))
				g.Expect(failure.Verdict()).To(Equal(verdict.MayHaveRun))
				return
			}
			g.Expect(failure).To(BeNil())
			g.Expect(answer.Body()).To(HaveLen(200))
		})
	}
}

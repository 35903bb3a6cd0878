package cmdutil_test

import (
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/cli/cmdutil"
	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
)

// Guards against a command that reports an answer which the protocol does not allow.
func TestInvalidAnswersFail(t *testing.T) {
	for name, answer := range httpconntest.Invalid("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) { httpconntest.Write(conn, answer) })
			f := cmdutil.NewFactory(cmdutil.Streams{})
			var number int
			g.Expect(f.GetJSON("http://"+address+"/status", &number)).NotTo(Succeed())
			g.Expect(f.Post("http://" + address + "/drain")).NotTo(Succeed())
		})
	}
}

// Guards against answers without an end that take up a command's memory.
func TestEndlessAnswersAreBounded(t *testing.T) {
	for name, answer := range httpconntest.Endless("") {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			address := httpconntest.Serve(t, func(conn net.Conn, _ *http.Request) {
				written <- httpconntest.WriteEndlessly(conn, answer)
			})
			g := NewWithT(t)
			var number int
			g.Expect(cmdutil.NewFactory(cmdutil.Streams{}).GetJSON("http://"+address+"/status", &number)).NotTo(Succeed())
			g.Expect(<-written).To(BeNumerically("<", 128<<20))
		})
	}
}

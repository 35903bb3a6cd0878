package e2e_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
)

// uploadBytes is a body that a target which does not read it leaves unwritten in part.
const uploadBytes = 16 << 20

const rawKinds = `[
 {"name":"live","weight":10,"mode":"repeatable","deadline_ms":1000,"usual_ms":10},
 {"name":"single","weight":5,"mode":"single","deadline_ms":20000,"usual_ms":10},
 {"name":"book","weight":8,"mode":"once","deadline_ms":1000,"usual_ms":10}]`

// rawTargets are as many as the box still finds one of that did not fail just before.
const rawTargets = 60

// rawFleet is a box in front of targets that answer as a test sets.
type rawFleet struct {
	*fleet
	url    string
	answer atomic.Pointer[func(net.Conn)]
	asked  atomic.Int32
}

func newRawFleet() *rawFleet {
	f := &rawFleet{fleet: newFleet()}
	var targets []string
	for range rawTargets {
		address := httpconntest.Serve(GinkgoTB(), func(conn net.Conn, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/raw/") {
				f.asked.Add(1)
				(*f.answer.Load())(conn)
				return
			}
			httpconntest.Write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		targets = append(targets, fmt.Sprintf(`{"address":%q,"hall":"north","slots":8}`, address))
	}
	f.startBoxes(1)
	doc := fmt.Sprintf(`{"name":"raw","prefix":"/raw","targets":[%s]}`, strings.Join(targets, ","))
	code, _, errOut := f.operator(doc, "service", "submit", "-")
	Expect(code).To(Equal(0), errOut)
	doc = fmt.Sprintf(`{"service":"raw","program":%s,"kinds":%s}`, quoted(mixedProgram), rawKinds)
	code, _, errOut = f.operator(doc, "policy", "submit", "-")
	Expect(code).To(Equal(0), errOut)
	f.inForce("config/service/raw")
	f.inForce("config/policy/raw")
	f.url = "http://" + f.boxes[0].settings.Listen + "/raw/x"
	return f
}

// say sets the answer from now on.
func (f *rawFleet) say(answer func(net.Conn)) { f.answer.Store(&answer) }

func (f *rawFleet) write(text string) {
	f.say(func(conn net.Conn) { httpconntest.Write(conn, text) })
}

// upload sends a long body and returns what the client read as the whole answer.
func (f *rawFleet) upload(c *http.Client) (string, error) {
	r, err := http.NewRequest(http.MethodPost, f.url, io.LimitReader(zeros{}, uploadBytes))
	Expect(err).NotTo(HaveOccurred())
	r.ContentLength = uploadBytes
	response, err := c.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return string(text), err
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("answers that the protocol does not allow", func() {
	var f *rawFleet
	BeforeEach(func() { f = newRawFleet() })

	// Guards against a box that passes on, or keeps for repetition, an answer that is none.
	DescribeTable("reach no client and are not kept for repetition",
		func(method string, once bool) {
			c := client()
			invalid := httpconntest.Invalid("")
			for name, answer := range invalid {
				header := map[string]string{}
				if once {
					header["Idempotency-Key"] = newKey()
				}
				f.write(answer)
				for range 2 { // the second one would be the answer that was kept
					a := ask(context.Background(), c, method, f.url, header, "")
					Expect(a.err != nil || a.status >= http.StatusInternalServerError || a.status == http.StatusConflict).To(
						BeTrue(), "%s: status %d, body %q", name, a.status, a.body)
					Expect(a.header.Get("X-Field")+a.header.Get("X Field")).To(BeEmpty(), name)
				}
			}
			Expect(f.asked.Load()).To(BeNumerically(">=", len(invalid)))
		},
		Entry("of repeatable requests", http.MethodGet, false),
		Entry("of single requests", http.MethodPost, false),
		Entry("of requests that run at most once", http.MethodPost, true),
	)

	// Guards against a part of an answer that looks complete since a reset cut it off.
	It("reach no client when a reset cuts them off during the upload", func() {
		f.say(func(conn net.Conn) { httpconntest.WriteAndReset(conn, "HTTP/1.1 200 OK\r\n\r\npart of it") })
		c := client()
		for range 20 {
			text, err := f.upload(c)
			Expect(err).To(HaveOccurred(), text)
		}
	})

	// Guards against whole answers that are refused since they came before the upload was read.
	It("are not confused with whole ones that come during the upload", func() {
		for _, length := range []string{"", "Content-Length: 3\r\n"} {
			f.say(func(conn net.Conn) {
				httpconntest.WriteAndReadOn(conn, "HTTP/1.1 200 OK\r\n"+length+"\r\n123")
			})
			for range 5 {
				Expect(f.upload(client())).To(Equal("123"))
			}
		}
	})

	// Guards against answers without an end that hold a request beyond its deadline.
	It("end by the deadline where they have no end", func() {
		for name, answer := range httpconntest.Endless("") {
			f.say(func(conn net.Conn) { httpconntest.WriteEndlessly(conn, answer) })
			ctx, cancel := context.WithTimeout(context.Background(), eventually)
			err := readEndless(ctx, f.url)
			Expect(ctx.Err()).NotTo(HaveOccurred(), "%s: %v", name, err)
			cancel()
		}
	})
})

// readEndless reads an answer until it ends or fails.
func readEndless(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client().Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

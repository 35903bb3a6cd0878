package httpconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/httpconn"
	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
)

// textConn is a connection on which a text arrives, byte by byte, before its orderly end.
type textConn struct {
	net.Conn
	text io.Reader
}

func newTextConn(text string) *textConn {
	near, _ := net.Pipe()
	return &textConn{Conn: near, text: iotest.OneByteReader(strings.NewReader(text))}
}

func (c *textConn) Read(p []byte) (int, error) { return c.text.Read(p) }

// Guards against a check that depends on how the bytes of a head are split into reads.
func TestAnswersAreCheckedByteByByte(t *testing.T) {
	read := func(text string) (string, error) {
		conn := httpconn.New(newTextConn(text))
		response, err := conn.ReadAnswer(bufio.NewReader(conn), http.MethodGet)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	for name, text := range httpconntest.Invalid("") {
		_, err := read(text)
		NewWithT(t).Expect(err).To(HaveOccurred(), name)
	}
	for name, text := range httpconntest.Valid("") {
		body, err := read(text)
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), name)
		NewWithT(t).Expect(body).To(Equal("123"), name)
	}
}

// Guards against a second answer that is not checked because it was read along with the first.
func TestAnswerThatIsBufferedAlreadyIsChecked(t *testing.T) {
	g := NewWithT(t)
	first := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n123"
	conn := httpconn.New(&textConn{Conn: newTextConn("").Conn, text: strings.NewReader(first + "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n")})
	reader := bufio.NewReader(conn)
	response, err := conn.ReadAnswer(reader, http.MethodGet)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("123"))
	_, err = conn.ReadAnswer(reader, http.MethodGet)
	g.Expect(err).To(MatchError(httpconn.ErrInvalid))
}

// What the check passes has names of fields that are tokens, and a status that exists.
func FuzzReadAnswer(f *testing.F) {
	for _, text := range httpconntest.Invalid("") {
		f.Add(text)
	}
	for _, text := range httpconntest.Valid("") {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		conn := httpconn.New(newTextConn(text))
		response, err := conn.ReadAnswer(bufio.NewReader(conn), http.MethodGet)
		if err != nil {
			return
		}
		if response.StatusCode < 200 || response.StatusCode > 599 {
			t.Fatalf("status %d", response.StatusCode)
		}
		for name := range response.Header {
			if strings.ContainsAny(name, " \t\r\n\x00:") {
				t.Fatalf("field %q", name)
			}
		}
	})
}

// usualAnswer is one as targets send it.
const usualAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: request-17\r\nContent-Type: application/json\r\nServer-Load: 1,0,3,100\r\n" +
	"Server-Signature: i-12\r\nDate: Mon, 07 Dec 2026 12:00:00 GMT\r\nContent-Length: 3\r\n\r\n123"

// What the check adds to each answer is the difference to BenchmarkHeadWithoutCheck.
func BenchmarkHead(b *testing.B) {
	conn := httpconn.New(newTextConn(""))
	benchmarkHead(b, func(r *bufio.Reader) (*http.Response, error) { return conn.ReadAnswer(r, http.MethodGet) })
}

func BenchmarkHeadWithoutCheck(b *testing.B) {
	benchmarkHead(b, func(r *bufio.Reader) (*http.Response, error) {
		return http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	})
}

func benchmarkHead(b *testing.B, read func(*bufio.Reader) (*http.Response, error)) {
	reader := strings.NewReader("")
	buffered := bufio.NewReaderSize(reader, 4<<10)
	for b.Loop() {
		reader.Reset(usualAnswer)
		buffered.Reset(reader)
		if _, err := buffered.Peek(1); err != nil {
			b.Fatal(err)
		}
		if _, err := read(buffered); err != nil {
			b.Fatal(err)
		}
	}
}

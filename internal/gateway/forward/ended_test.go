package forward_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
)

// end has the target's process end: nobody listens at its address any more, and all that
// it has under way is broken off.
func (s *standin) end(http.ResponseWriter, *http.Request) { _ = s.entry.Config.Close() }

// requestLine is what a test looks at of a request's line.
type requestLine struct {
	Message string         `json:"msg"`
	Request string         `json:"request"`
	Content string         `json:"content"`
	Caller  string         `json:"caller"`
	Reason  string         `json:"reason"`
	Sends   []forward.Send `json:"sends"`
}

// logLines keeps what a gateway logs; it is safe for concurrent use.
type logLines struct {
	mu    sync.Mutex
	bytes bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes.Write(p)
}

// all are the lines that were logged so far.
func (l *logLines) all(t testing.TB) (lines []requestLine) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for raw := range bytes.Lines(l.bytes.Bytes()) {
		var line requestLine
		if err := json.Unmarshal(raw, &line); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	return lines
}

// of waits for the line of one request.
func (l *logLines) of(t testing.TB, id string) requestLine {
	t.Helper()
	var found requestLine
	NewWithT(t).Eventually(func() bool {
		lines := l.all(t)
		i := slices.IndexFunc(lines, func(line requestLine) bool { return line.Request == id })
		if i >= 0 {
			found = lines[i]
		}
		return i >= 0
	}, eventual).Should(BeTrue())
	return found
}

func TestALineTellsWhetherTheTargetEndedAndWhoseRequestItWas(t *testing.T) {
	g := NewWithT(t)
	breaks := newStandin(t, "s1", "shop", "a", breakOff)
	ends := newStandin(t, "s2", "farm", "a", nil)
	ends.do = ends.end
	f := newFixture(t, breaks, ends)
	logged := &logLines{}
	f.options.Log = slog.New(slog.NewJSONHandler(logged, nil))
	f.start()

	broken := f.order()
	g.Expect(broken.status).To(Equal(http.StatusBadGateway))
	line := logged.of(t, broken.id)
	g.Expect(line.Sends).To(HaveLen(1))
	g.Expect(line.Sends[0].TargetEnded).To(BeFalse())
	g.Expect(line.Content).NotTo(BeEmpty())
	g.Expect(line.Caller).NotTo(BeEmpty())

	again := logged.of(t, f.order().id)
	g.Expect(again.Content).To(Equal(line.Content))
	g.Expect(again.Caller).To(Equal(line.Caller))
	other := logged.of(t, f.send(t.Context(), http.MethodPost, orderPath, "Authorization", "another").id)
	g.Expect(other.Content).To(Equal(line.Content))
	g.Expect(other.Caller).NotTo(Equal(line.Caller))

	f.view.ByService()["shop"] = f.view.ByService()["farm"]
	ended := f.order()
	g.Expect(ended.status).To(Equal(http.StatusBadGateway))
	g.Expect(logged.of(t, ended.id).Sends[0].TargetEnded).To(BeTrue())
}

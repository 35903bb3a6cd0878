package logging_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/gateway/logging"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockedWriter) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func TestBlockedOutputNeverBlocksTheCallerAndDroppedLinesAreReported(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := logging.NewWriter(out, logging.Options{MaxPending: 10, PerSecond: 1e9, Burst: 1 << 30, FlushEvery: time.Millisecond})
	const lines = 1000
	for range lines { // must return although the output blocks
		n, err := w.Write([]byte("{}\n"))
		g.Expect(n).To(Equal(3))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(w.Dropped()).To(BeNumerically(">=", lines-2*10))
	close(out.release)
	g.Eventually(out.String, 10*time.Second).Should(ContainSubstring("log lines dropped"))
	w.Close()
	g.Expect(strings.Count(out.String(), "{}\n")).To(BeNumerically("==", lines-int(w.Dropped())))
}

func TestLinesBeyondTheRateLimitAreDropped(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	w := logging.NewWriter(out, logging.Options{PerSecond: 0.001, Burst: 5})
	for range 100 {
		_, _ = w.Write([]byte("{}\n"))
	}
	w.Close()
	g.Expect(strings.Count(out.String(), "{}\n")).To(Equal(5))
	g.Expect(w.Dropped()).To(Equal(uint64(95)))
}

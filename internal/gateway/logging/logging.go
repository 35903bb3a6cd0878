// Package logging writes a process's structured logs without ever blocking the
// caller: lines go into a bounded buffer that a separate goroutine writes out, and
// a rate limit bounds their volume. Lines beyond these bounds are dropped and
// counted, and a log line reports how many were dropped.
//
// It owns the pending lines and the count of dropped ones. An output that blocks
// costs log lines, nothing else.
//
// # Usage
//
//	w := logging.NewWriter(os.Stdout, logging.Options{})
//	log := slog.New(slog.NewJSONHandler(w, nil))
//	defer w.Close()
package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Options configure the bounds of a Writer; zero values mean the defaults.
type Options struct {
	// MaxPending bounds the lines waiting to be written.
	MaxPending int
	// PerSecond and Burst limit the rate at which lines are accepted.
	PerSecond float64
	Burst     int
	// FlushEvery is how long a line may wait to be written together with others.
	FlushEvery time.Duration
}

const (
	// defaultMaxPending bounds the pending lines: some seconds at the default rate.
	defaultMaxPending = 2048
	// defaultPerSecond and defaultBurst bound the volume under overload. Normal
	// operation stays below; for the cost of log lines see docs/DESIGN.md, "Costs".
	defaultPerSecond = 300
	defaultBurst     = 1000
	// defaultFlushEvery batches lines into one write.
	defaultFlushEvery = 200 * time.Millisecond
	// closeTimeout bounds the last write when the process stops.
	closeTimeout = 500 * time.Millisecond
)

// Writer accepts whole lines and never blocks. It implements io.Writer.
type Writer struct {
	out       io.Writer
	options   Options
	limiter   *rate.Limiter
	mu        sync.Mutex
	pending   [][]byte
	wake      chan struct{}
	dropped   atomic.Uint64
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a Writer to out and starts its goroutine.
func NewWriter(out io.Writer, o Options) *Writer {
	if o.MaxPending == 0 {
		o.MaxPending = defaultMaxPending
	}
	if o.PerSecond == 0 {
		o.PerSecond = defaultPerSecond
	}
	if o.Burst == 0 {
		o.Burst = defaultBurst
	}
	if o.FlushEvery == 0 {
		o.FlushEvery = defaultFlushEvery
	}
	w := &Writer{
		out: out, options: o, limiter: rate.NewLimiter(rate.Limit(o.PerSecond), o.Burst),
		wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Write accepts or drops one line; it always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) >= w.options.MaxPending {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, bytes.Clone(line))
	if len(w.pending) == 1 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	var reported uint64
	for {
		select {
		case <-w.closing:
			w.flush(&reported)
			return
		case <-w.wake:
		}
		select {
		case <-w.closing:
		case <-time.After(w.options.FlushEvery):
		}
		w.flush(&reported)
	}
}

// flush writes the pending lines, and a line with the number of lines dropped since the last flush.
func (w *Writer) flush(reported *uint64) {
	w.mu.Lock()
	lines := w.pending
	w.pending = nil
	w.mu.Unlock()
	if dropped := w.dropped.Load(); dropped > *reported {
		lines = append(lines, fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"dropped\":%d,\"total\":%d}\n", dropped-*reported, dropped))
		*reported = dropped
	}
	if len(lines) > 0 {
		// If the write fails, its lines are lost, and there is nowhere to report that.
		_, _ = w.out.Write(bytes.Join(lines, nil))
	}
}

// Close writes the pending lines, but waits for out no longer than closeTimeout.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

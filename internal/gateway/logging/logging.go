// Package logging writes a process's structured logs without ever holding up
// what logs: lines go into a bounded ring with a writer of its own, and a rate
// bounds how many are written. Lines that find no room are counted, and a line
// says how many were dropped.
//
// It owns the lines that wait and the count of those dropped. It relies on its
// output only to take lines now and then: one that blocks costs lines and nothing
// else.
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

// Options bound a Writer; zero values mean the defaults.
type Options struct {
	// MaxPending is how many lines may wait to be written.
	MaxPending int
	// PerSecond and Burst bound how many are taken in.
	PerSecond float64
	Burst     int
	// FlushEvery is how long a line may wait for others to be written with it.
	FlushEvery time.Duration
}

const (
	// defaultMaxPending is how many lines may wait: some seconds of the rate.
	defaultMaxPending = 2048
	// defaultPerSecond and defaultBurst bound the volume under overload. A usual
	// day stays below; what lines cost: docs/DESIGN.md, "Costs".
	defaultPerSecond = 300
	defaultBurst     = 1000
	// defaultFlushEvery gathers lines for one write.
	defaultFlushEvery = 200 * time.Millisecond
	// closeTimeout bounds the last write of a process that stops.
	closeTimeout = 500 * time.Millisecond
)

// Writer takes whole lines and never blocks. It implements io.Writer.
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

// NewWriter begins to write to out.
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

// Dropped counts the lines that found no room.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Write takes in one line; it always succeeds.
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

// flush writes what waits, and how many lines were dropped since the last time.
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
		// Lines that out does not take are lost, and there is nowhere to say so.
		_, _ = w.out.Write(bytes.Join(lines, nil))
	}
}

// Close writes what waits, unless out takes nothing for too long.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

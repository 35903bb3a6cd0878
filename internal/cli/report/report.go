// Package report sums up the logs of many gateways: by service, how requests ended,
// what second sends brought, how long sends took against what was predicted by how
// full their targets were, and the same over time.
//
// It reads one line after the other and holds sums alone, so that its memory does not
// grow with the logs: the number of services, of levels of fullness and of spans of
// time is bounded. It relies on the log lines of internal/gateway/forward, whose fields
// docs/OPERATIONS.md lists.
//
// # Usage
//
//	r := report.New()
//	err := r.Read("gateway-1.log", file)
//	for _, s := range r.Services() { ... }
package report

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/cli/timeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
)

const (
	// maxLine bounds one line of a log, in bytes.
	maxLine = 1 << 20
	// maxServices bounds the services that are told apart; the rest count as one.
	maxServices = 64
	// maxBadLines bounds the lines that are named of those that could not be read.
	maxBadLines = 5
	// others is the name of the services beyond the bound.
	others = "(others)"
)

// Report sums up logs. It is not safe for concurrent use.
type Report struct {
	services map[string]*Service
	spans    *spans
	lines    int
	bad      int
	badLines []string
}

// New makes an empty report.
func New() *Report { return &Report{services: map[string]*Service{}, spans: newSpans()} }

// Lines counts the lines that tell of a request.
func (r *Report) Lines() int { return r.lines }

// Bad counts the lines that could not be read, and names the first of them.
func (r *Report) Bad() (count int, named []string) { return r.bad, r.badLines }

// Services are the sums by service, in the order of their names.
func (r *Report) Services() []*Service {
	return slices.SortedFunc(maps.Values(r.services), func(a, b *Service) int { return cmp.Compare(a.name, b.name) })
}

// Read takes in a log. Whatever stands before a line's first brace, such as a time or
// a machine's name, is passed over. It fails only if the log itself cannot be read.
func (r *Report) Read(name string, log io.Reader) error {
	in := bufio.NewReaderSize(log, 64<<10)
	for number := 1; ; number++ {
		raw, whole, err := readLine(in)
		if !whole {
			r.addBad(fmt.Sprintf("%s:%d: longer than %d bytes", name, number, maxLine))
		} else if cause := r.add(raw); cause != nil {
			r.addBad(fmt.Sprintf("%s:%d: %v", name, number, cause))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLine reads a line; one that is too long is read to its end and left out.
func readLine(in *bufio.Reader) (line []byte, whole bool, err error) {
	whole = true
	for {
		part, err := in.ReadSlice('\n')
		if len(line)+len(part) > maxLine {
			whole = false
		}
		if whole {
			line = append(line, part...)
		}
		if err != bufio.ErrBufferFull {
			return line, whole, err
		}
	}
}

func (r *Report) addBad(what string) {
	r.bad++
	if len(r.badLines) < maxBadLines {
		r.badLines = append(r.badLines, what)
	}
}

// add takes in a line; one that tells of no request is passed over.
func (r *Report) add(raw []byte) error {
	brace := bytes.IndexByte(raw, '{')
	if brace < 0 {
		return nil
	}
	var line timeline.Line
	if err := json.Unmarshal(raw[brace:], &line); err != nil {
		return err
	}
	if line.Message != forward.MessageServed && line.Message != forward.MessageNotServed {
		return nil
	}
	r.lines++
	ending := endingOf(line)
	s := r.service(line.Service)
	before := s.secondSends()
	s.add(line, ending)
	made := s.secondSends() - before
	s.spans.add(line.Time, ending, made)
	r.spans.add(line.Time, ending, made)
	return nil
}

func (r *Report) service(name string) *Service {
	if s, ok := r.services[name]; ok {
		return s
	}
	if len(r.services) >= maxServices {
		name = others
	}
	if s, ok := r.services[name]; ok {
		return s
	}
	s := newService(name)
	r.services[name] = s
	return s
}

// Spans are the sums over time, in order, and how long each span is.
func (r *Report) Spans() ([]Span, time.Duration) { return r.spans.list(), r.spans.width }

// Ending is how a request ended.
type Ending int

// The endings that are told apart.
const (
	// InTime: served within the route's objective, counted from the gateway.
	InTime Ending = iota
	// Late: served after it.
	Late
	// Refused: it has not run, and the client was told so.
	Refused
	// Failed: any other end, as a target's failure or a client that left.
	Failed
	endings
)

// String names the ending as the report prints it.
func (e Ending) String() string {
	return [endings]string{"in time", "late", "refused", "failed"}[e]
}

// notRun is the verdict in a line about a request that was refused.
const notRun = "not-run"

func endingOf(line timeline.Line) Ending {
	switch {
	case line.Message == forward.MessageNotServed && line.Verdict == notRun && line.Status != 0:
		return Refused
	case line.Message == forward.MessageNotServed || line.Status >= 500:
		return Failed
	case line.ObjectiveMS > 0 && line.HeldMS > line.ObjectiveMS:
		return Late
	default:
		return InTime
	}
}

// isServed says whether a send brought the answer that its request got.
func isServed(send forward.Send, status int) bool { return send.Result == strconv.Itoa(status) }

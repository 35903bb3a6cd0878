// Package timeline reads the logs of many gateways and puts together what became
// of one request, in the order of time, with the cause of its end in words. Lines
// that are not whole are counted and left out.
//
// It relies on the log lines of internal/gateway/forward (Send, and the messages
// "served" and "not served"), whose fields docs/OPERATIONS.md lists.
//
// # Usage
//
//	logs, err := timeline.Read(reader)
//	line, ok := logs.Of("9c41d07be2a35f68")
package timeline

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a gateway's log about a request.
type Line struct {
	Time        time.Time `json:"time"`
	Message     string    `json:"msg"`
	Gateway     string    `json:"gateway"`
	Request     string    `json:"request"`
	Status      int       `json:"status"`
	HeldMS      float64   `json:"held_ms"`
	ObjectiveMS float64   `json:"objective_ms,omitzero"`
	Config      uint64    `json:"config"`
	Service     string    `json:"service"`
	Route       string    `json:"route"`
	Workspace   string    `json:"workspace,omitzero"`
	Waits       int       `json:"waits"`
	Probed      int       `json:"probed,omitzero"`
	Idle        int       `json:"idle,omitzero"`
	// PassedOver are some of the targets that the request passed over by what they said of
	// themselves.
	PassedOver   []forward.PassedOver `json:"passed_over,omitzero"`
	Sends        []forward.Send       `json:"sends"`
	Verdict      string               `json:"verdict"`
	Reason       verdict.Reason       `json:"reason"`
	RetryAfterMS float64              `json:"retry_after_ms"`
	Detail       string               `json:"cause"`
}

// Logs are the lines of some logs that tell of requests.
type Logs struct {
	byRequest map[string][]Line
	torn      int
}

// Torn counts the lines that could not be read.
func (l *Logs) Torn() int { return l.torn }

// Requests counts the requests that the logs tell of.
func (l *Logs) Requests() int { return len(l.byRequest) }

// Read takes in a log. Whatever stands before a line's first brace, such as a
// time or a machine's name, is passed over.
func Read(r io.Reader) (*Logs, error) {
	logs := &Logs{byRequest: map[string][]Line{}}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		brace := bytes.IndexByte(scanner.Bytes(), '{')
		if brace < 0 {
			continue
		}
		var line Line
		if err := json.Unmarshal(scanner.Bytes()[brace:], &line); err != nil {
			logs.torn++
			continue
		}
		if line.Request != "" {
			logs.byRequest[line.Request] = append(logs.byRequest[line.Request], line)
		}
	}
	return logs, scanner.Err()
}

// Timeline is what became of one request.
type Timeline struct {
	Request string `json:"request"`
	// Lines are in the order of their times.
	Lines []Line `json:"lines"`
	// Causes say in words what each line's end was due to.
	Causes []string `json:"causes"`
}

// Of is the timeline of one request; false when no log names it.
func (l *Logs) Of(request string) (Timeline, bool) {
	lines, ok := l.byRequest[request]
	if !ok {
		return Timeline{}, false
	}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s := Timeline{Request: request, Lines: lines}
	for _, line := range lines {
		s.Causes = append(s.Causes, line.Cause())
	}
	return s, true
}

// NotServed lists the ids of the requests that a gateway ended itself, or whose
// target failed, in the order of their times.
func (l *Logs) NotServed() []string {
	var failed []Line
	for _, lines := range l.byRequest {
		for _, line := range lines {
			if line.failed() {
				failed = append(failed, line)
			}
		}
	}
	slices.SortFunc(failed, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Request, b.Request))
	})
	ids := make([]string, 0, len(failed))
	for _, line := range failed {
		ids = append(ids, line.Request)
	}
	return slices.Compact(ids)
}

func (l Line) failed() bool {
	return l.Message == forward.MessageNotServed || l.Status >= 500
}

// slow is the slowness from which the cause of a late answer is put down to the
// target.
const slow = 2

// causes are those that a reason tells whole.
var causes = map[verdict.Reason]string{
	verdict.ReasonNotReady:         "the gateway did not know enough: it had just begun, or its configuration was not confirmed lately",
	verdict.ReasonNoTarget:         "no target of the service was known",
	verdict.ReasonEvacuated:        "all targets of the service stand in halls that are evacuated",
	verdict.ReasonRegionNotAllowed: "no target of the service stands in a region that the route allows",
	verdict.ReasonQuarantined:      "three targets or more ended under this request; lines \"request quarantined\" with its content name them",
	verdict.ReasonTargetLimits:     "all targets of the service had got as many requests as the limits allow that they name; lines \"limit of a target\" say which these are",
	verdict.ReasonTargetsBackOff:   "all targets of the service had asked to be sent nothing for a while; lines \"target asks for back-off\" say which and for how long",
	verdict.ReasonUnreachable:      "no connection to any target could be made",
}

// Cause says in words what the end of the request was due to.
func (l Line) Cause() string {
	if l.Message == forward.MessageServed {
		return l.servedCause()
	}
	if cause, ok := causes[l.Reason]; ok {
		return cause
	}
	switch l.Reason {
	case verdict.ReasonNoService:
		return fmt.Sprintf("configuration %d has no route for it", l.Config)
	case verdict.ReasonTooLate:
		return fmt.Sprintf("every target asked in %s was too full to answer in time", rounds(l.Waits+1))
	case verdict.ReasonClientGone:
		return "the client left after " + milliseconds(l.HeldMS) + l.lastSend()
	case verdict.ReasonBodyTooLarge, verdict.ReasonBadRequest:
		return "the client's request could not be taken: " + string(l.Reason)
	case verdict.ReasonDeadline:
		return "its time ran out" + l.lastSend()
	case verdict.ReasonShed:
		return "the targets refused it, and no second send was left" + l.lastSend()
	default:
		return "the target broke off or sent no whole answer" + l.lastSend()
	}
}

func (l Line) servedCause() string {
	last, ok := l.last()
	switch {
	case l.Status >= 500:
		return fmt.Sprintf("the target answered %d%s", l.Status, l.lastSend())
	case !ok:
		return "answered"
	case slices.ContainsFunc(l.Sends, func(s forward.Send) bool { return s.Hedge && s.Result == strconv.Itoa(l.Status) }):
		return "answered by a second target; the first was slow"
	case l.Waits > 0:
		return fmt.Sprintf("answered after %s without a free target", rounds(l.Waits))
	case last.Cold:
		return "answered by a target that was cold"
	case last.Slowness >= slow:
		return fmt.Sprintf("answered by a target at %.1f times its usual time, the best of those asked", last.Slowness)
	case last.Running >= last.Slots && last.Slots > 0:
		return "answered after a wait in the target's queue"
	default:
		return "answered"
	}
}

func (l Line) last() (forward.Send, bool) {
	if len(l.Sends) == 0 {
		return forward.Send{}, false
	}
	return l.Sends[len(l.Sends)-1], true
}

// lastSend says where the request was when it ended.
func (l Line) lastSend() string {
	send, ok := l.last()
	if !ok {
		return ", before it was sent to a target"
	}
	return fmt.Sprintf(", %s into its send to %s, which had %d of %d slots taken at %.1f times the usual time",
		milliseconds(send.TookMS), send.Target, send.Running, send.Slots, send.Slowness)
}

func milliseconds(ms float64) string { return fmt.Sprintf("%.0f ms", ms) }

func rounds(n int) string {
	if n == 1 {
		return "1 round"
	}
	return strconv.Itoa(n) + " rounds"
}

package report_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/cli/report"
	"github.com/sprucecrank/sprucecrank/internal/cli/timeline"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func text(t *testing.T, l timeline.Line) string {
	t.Helper()
	raw, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw) + "\n"
}

func served(after time.Duration, held float64, sends ...forward.Send) timeline.Line {
	return timeline.Line{
		Time: start.Add(after), Message: forward.MessageServed, Request: "r", Service: "shop", Status: 200,
		HeldMS: held, ObjectiveMS: 600, Probed: 3, Idle: 1, Sends: sends,
	}
}

func send(running int, predicted, took float64, result string) forward.Send {
	return forward.Send{Running: running, Slots: 6, PredictedMS: predicted, TookMS: took, Result: result}
}

func read(t *testing.T, logs string) *report.Report {
	t.Helper()
	r := report.New()
	NewWithT(t).Expect(r.Read("a.log", strings.NewReader(logs))).To(Succeed())
	return r
}

func TestEndingsAreTold(t *testing.T) {
	notServed := func(status int, verdict, reason string) timeline.Line {
		return timeline.Line{
			Time: start, Message: forward.MessageNotServed, Service: "shop", Status: status, Verdict: verdict,
			Reason: "too-late", HeldMS: 10,
		}
	}
	targetFailed := served(0, 10)
	targetFailed.Status = 500
	for name, c := range map[string]struct {
		line   timeline.Line
		ending report.Ending
	}{
		"within the objective":     {served(0, 600), report.InTime},
		"after it":                 {served(0, 601), report.Late},
		"a route without one":      {timeline.Line{Message: forward.MessageServed, Service: "shop", Status: 200, HeldMS: 9e9}, report.InTime},
		"refused":                  {notServed(503, "not-run", "too-late"), report.Refused},
		"may have run":             {notServed(502, "may-have-run", "target-failed"), report.Failed},
		"a client that left":       {notServed(0, "not-run", "client-gone"), report.Failed},
		"the target's own failure": {targetFailed, report.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			services := read(t, text(t, c.line)).Services()
			g.Expect(services).To(HaveLen(1))
			g.Expect(services[0].Ended(c.ending)).To(Equal(1))
			g.Expect(services[0].Requests()).To(Equal(1))
		})
	}
}

func TestSecondSendsAndLevelsAreTold(t *testing.T) {
	g := NewWithT(t)
	hedge := send(1, 200, 150, "200")
	hedge.Hedge = true
	lostHedge := send(1, 200, 150, "client-gone")
	lostHedge.Hedge = true
	r := read(t, text(t, served(0, 300, send(4, 220, 380, "200")))+
		text(t, served(0, 300, send(4, 220, 360, "target-failed"), send(0, 220, 220, "200")))+
		text(t, served(0, 300, hedge, send(5, 240, 900, "client-gone")))+
		text(t, served(0, 300, send(4, 220, 380, "200"), lostHedge)))
	s := r.Services()[0]
	g.Expect(s.Retries()).To(Equal(report.SecondSends{Sent: 1, Won: 1}))
	g.Expect(s.Hedges()).To(Equal(report.SecondSends{Sent: 2, Won: 1}))
	probed, idle := s.Probed()
	g.Expect([]int{probed, idle}).To(Equal([]int{12, 4}))
	var levels []string
	for _, l := range s.Levels() {
		levels = append(levels, fmt.Sprintf("%s: %d, %s, %s", l, l.Sends(), l.Predicted(), l.Took()))
	}
	g.Expect(levels).To(Equal([]string{"0 of 6: 1, 220ms, 220ms", "1 of 6: 1, 200ms, 150ms", "4 of 6: 2, 220ms, 381ms"}))
}

func TestPeakOfSecondSendsIsTheMostInAnySpan(t *testing.T) {
	g := NewWithT(t)
	again := []forward.Send{send(4, 220, 360, "target-failed"), send(0, 220, 220, "200")}
	r := read(t, text(t, served(0, 300, again...))+text(t, served(11*time.Second, 300))+
		text(t, served(13*time.Second, 300, again...))+text(t, served(19*time.Second, 300, again...)))
	secondSends, requests, span := r.Services()[0].PeakSecondSends()
	g.Expect([]int{secondSends, requests}).To(Equal([]int{2, 2}))
	g.Expect(span).To(Equal(10 * time.Second))
}

func TestBadLinesAreCountedAndNamed(t *testing.T) {
	g := NewWithT(t)
	long := `{"msg":"` + strings.Repeat("x", 2<<20) + `"}` + "\n"
	r := read(t, "no brace\n12.5 frontend {\"msg\":\"served\",\"service\":\"shop\"}\n{\"msg\":\"ser\n"+long+text(t, served(0, 1)))
	bad, named := r.Bad()
	g.Expect(bad).To(Equal(2))
	g.Expect(named).To(HaveLen(2))
	g.Expect(named[0]).To(HavePrefix("a.log:3: "))
	g.Expect(named[1]).To(Equal("a.log:4: longer than 1048576 bytes"))
	g.Expect(r.Lines()).To(Equal(2))
	g.Expect(r.Read("b.log", strings.NewReader(strings.Repeat("{x\n", 100)))).To(Succeed())
	bad, named = r.Bad()
	g.Expect(bad).To(Equal(102))
	g.Expect(named).To(HaveLen(5), "the first of them")
}

func TestALogThatCannotBeReadIsAnError(t *testing.T) {
	g := NewWithT(t)
	broken := errors.New("the disk is gone")
	g.Expect(report.New().Read("a.log", iotest.ErrReader(broken))).To(MatchError(broken))
}

func TestSpansAreTwoSecondsAndGetLongerWithTheLogs(t *testing.T) {
	g := NewWithT(t)
	r := read(t, text(t, served(0, 1))+text(t, served(time.Second, 700))+text(t, served(3*time.Second, 1)))
	list, width := r.Spans()
	g.Expect(width).To(Equal(2 * time.Second))
	g.Expect(list).To(HaveLen(2))
	g.Expect([]int{list[0].Ended(report.InTime), list[0].Ended(report.Late), list[1].Ended(report.InTime)}).To(Equal([]int{1, 1, 1}))
	g.Expect(list[0].Began()).To(BeTemporally("==", start))
	var long strings.Builder
	for i := range 5000 {
		long.WriteString(text(t, served(time.Duration(i)*2*time.Second, 1)))
	}
	list, width = read(t, long.String()).Spans()
	g.Expect(width).To(Equal(8 * time.Second))
	g.Expect(len(list)).To(BeNumerically("~", 1250, 1))
}

// repeat gives the same lines again and again.
type repeat struct {
	lines string
	left  int
	in    *strings.Reader
}

func (r *repeat) Read(p []byte) (int, error) {
	if r.in == nil || r.in.Len() == 0 {
		if r.left == 0 {
			return 0, io.EOF
		}
		r.left--
		r.in = strings.NewReader(r.lines)
	}
	return r.in.Read(p)
}

func TestMemoryDoesNotGrowWithTheLogs(t *testing.T) {
	g := NewWithT(t)
	var lines strings.Builder
	for i := range 1000 {
		l := served(time.Duration(i)*time.Millisecond, 1, send(i%7, 200, 200, "200"))
		l.Request, l.Service = fmt.Sprint("r", i), fmt.Sprint("s", i%100)
		lines.WriteString(text(t, l))
	}
	held := func(times int) uint64 {
		r := report.New()
		g.Expect(r.Read("a.log", &repeat{lines: lines.String(), left: times})).To(Succeed())
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		g.Expect(r.Lines()).To(Equal(1000 * times))
		g.Expect(len(r.Services())).To(Equal(65), "64 and the others")
		return m.HeapAlloc
	}
	few, many := held(1), held(20)
	g.Expect(many).To(BeNumerically("<", few+few/2))
}

func TestThePageIsWholeAndNeedsNothingElse(t *testing.T) {
	g := NewWithT(t)
	odd := served(5*time.Second, 900, send(5, 240, 400, "200"))
	odd.Service = `<script>"&`
	r := read(t, text(t, served(0, 300, send(4, 220, 380, "200")))+text(t, odd)+"{bad\n")
	var out bytes.Buffer
	g.Expect(r.WriteHTML(&out)).To(Succeed())
	pageText := out.String()
	g.Expect(strings.Count(pageText, "<svg")).To(Equal(3))
	g.Expect(pageText).To(ContainSubstring("a.log:3"))
	for _, foreign := range []string{"<script", "src=", "href=", "@import", "url("} {
		g.Expect(pageText).NotTo(ContainSubstring(foreign))
	}
	decoder := xml.NewDecoder(strings.NewReader(pageText[strings.Index(pageText, "<svg") : strings.Index(pageText, "</svg>")+len("</svg>")]))
	for {
		if _, err := decoder.Token(); err == io.EOF {
			break
		} else {
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
}

func ExampleReport() {
	r := report.New()
	if err := r.Read("a.log", strings.NewReader(`{"msg":"served","service":"shop","status":200,"held_ms":80,"objective_ms":600}`)); err != nil {
		panic(err)
	}
	for _, s := range r.Services() {
		fmt.Println(s.Name(), s.Ended(report.InTime), s.Held(50))
	}
	// Output: shop 1 80ms
}

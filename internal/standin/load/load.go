// Package load is the load driver: it sends requests at a steady rate, whether
// or not earlier ones were answered, checks that every answer is whole and the
// own, and reports latencies.
//
// # Usage
//
//	report := load.Run(ctx, load.Plan{Addresses: boxes, Rate: 100, Requests: 1000, Kinds: kinds})
//	report.WriteTable(os.Stdout)
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// Kind is one sort of request to send.
type Kind struct {
	Name   string
	Method string
	Path   string
	// Share is how often the kind is sent, relative to the others.
	Share float64
	// Once gives each request an Idempotency-Key.
	Once bool
	// WorkMS is the work at the target; 0 leaves it to the target.
	WorkMS float64
	// Lines is how many lines the answer has.
	Lines int
}

// Plan is what to send.
type Plan struct {
	// Addresses are the boxes, or targets for a direct comparison.
	Addresses []string
	// Rate is in requests per second.
	Rate     float64
	Requests int
	Kinds    []Kind
	Seed     uint64
	// OneWay delays each request and answer, as the way to the client does.
	OneWay time.Duration
}

// KindReport is what became of the requests of a kind.
type KindReport struct {
	Name     string
	Sent     int
	Verdicts map[string]int
	Foreign  int // answers that were cut, or held another's mark
	Latency  *hdrhistogram.Histogram
}

// Report is what became of all requests.
type Report struct {
	Kinds []*KindReport
	mu    sync.Mutex
}

const (
	longest     = 60 * time.Second
	callTimeout = 60 * time.Second
)

// Run sends the plan's requests and waits for their answers.
func Run(ctx context.Context, p Plan) *Report {
	client := &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true},
		Timeout:   callTimeout,
	}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	report := newReport(p.Kinds)
	var group sync.WaitGroup
	next := time.Now()
	for i := range p.Requests {
		next = next.Add(time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second)))
		if !pause.For(ctx, time.Until(next)) {
			break
		}
		k := pick(random, p.Kinds)
		address := p.Addresses[random.IntN(len(p.Addresses))]
		group.Go(func() { report.send(ctx, client, p, address, k, i) })
	}
	group.Wait()
	return report
}

func newReport(kinds []Kind) *Report {
	r := &Report{}
	for _, k := range kinds {
		r.Kinds = append(r.Kinds, &KindReport{
			Name: k.Name, Verdicts: map[string]int{},
			Latency: hdrhistogram.New(1, longest.Microseconds(), 3),
		})
	}
	return r
}

func pick(random *rand.Rand, kinds []Kind) int {
	total := 0.0
	for _, k := range kinds {
		total += k.Share
	}
	at := random.Float64() * total
	for i, k := range kinds {
		at -= k.Share
		if at < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

func (r *Report) send(ctx context.Context, client *http.Client, p Plan, address string, kind, n int) {
	k := p.Kinds[kind]
	began := time.Now()
	time.Sleep(p.OneWay)
	mark := fmt.Sprintf("mark-%d-%d", p.Seed, n)
	verdict, whole := exchange(ctx, client, address, k, mark)
	time.Sleep(p.OneWay)
	r.note(kind, verdict, whole, time.Since(began))
}

// exchange sends one request and checks its answer.
func exchange(ctx context.Context, client *http.Client, address string, k Kind, mark string) (verdict string, whole bool) {
	request, err := http.NewRequestWithContext(ctx, k.Method, "http://"+address+k.Path, strings.NewReader(""))
	if err != nil {
		return "error", true
	}
	request.Header.Set("X-Mark", mark)
	request.Header.Set("X-Lines", strconv.Itoa(max(k.Lines, 1)))
	if k.WorkMS > 0 {
		request.Header.Set("X-Work-Ms", strconv.FormatFloat(k.WorkMS, 'f', -1, 64))
	}
	if k.Once {
		request.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	}
	response, err := client.Do(request)
	if err != nil {
		return "error", true
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut", true // a cut answer that shows that it is cut
	}
	verdict = response.Header.Get("Sprucecrank-Verdict")
	if verdict == "" {
		verdict = "direct"
	}
	if response.StatusCode != http.StatusOK {
		return verdict + " " + strconv.Itoa(response.StatusCode), true
	}
	return verdict, strings.Count(string(body), mark+" ") == max(k.Lines, 1)
}

func (r *Report) note(kind int, verdict string, whole bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.Kinds[kind]
	k.Sent++
	k.Verdicts[verdict]++
	if !whole {
		k.Foreign++
	}
	if verdict == "ran" || verdict == "direct" {
		_ = k.Latency.RecordValue(min(took, longest).Microseconds())
	}
}

// Package observe samples a fleet from outside: what each box spends on
// processor time, memory, peers and the platform, and how soon a version is in
// force everywhere.
//
// # Usage
//
//	report, err := observe.Fleet(ctx, admins, 20*time.Second)
//	took, err := observe.InForce(ctx, admins, "config/service/look", 7)
package observe

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/box"
)

// Report is the mean and the greatest of what a box spent.
type Report struct {
	Boxes int
	// CPU is in percent of one core.
	CPU, CPUMost float64
	// MemoryMB is resident memory.
	MemoryMB, MemoryMBMost float64
	// Sent is what a box sent to its peers, per second.
	Messages, Bytes, BytesMost float64
	// Reads and Writes are calls of the platform, per second and box.
	Reads, Writes float64
}

type sample struct {
	status box.Status
	cpu    float64 // seconds
	memory float64 // bytes
}

// Fleet samples the boxes with the given administration addresses at the
// beginning and end of d.
func Fleet(ctx context.Context, admins []string, d time.Duration) (Report, error) {
	before, err := sampleAll(ctx, admins)
	if err != nil {
		return Report{}, err
	}
	time.Sleep(d)
	after, err := sampleAll(ctx, admins)
	if err != nil {
		return Report{}, err
	}
	return summarise(before, after, d), nil
}

func summarise(before, after []sample, d time.Duration) Report {
	r := Report{Boxes: len(after)}
	n, seconds := float64(len(after)), d.Seconds()
	for i := range after {
		b, a := before[i], after[i]
		cpu := 100 * (a.cpu - b.cpu) / seconds
		memory := a.memory / (1 << 20)
		bytes := float64(a.status.PeerBytes-b.status.PeerBytes) / seconds
		r.CPU += cpu / n
		r.CPUMost = max(r.CPUMost, cpu)
		r.MemoryMB += memory / n
		r.MemoryMBMost = max(r.MemoryMBMost, memory)
		r.Bytes += bytes / n
		r.BytesMost = max(r.BytesMost, bytes)
		r.Messages += float64(a.status.PeerMessages-b.status.PeerMessages) / seconds / n
		r.Reads += float64(a.status.PlatformCalls.Reads-b.status.PlatformCalls.Reads) / seconds / n
		r.Writes += float64(a.status.PlatformCalls.Writes-b.status.PlatformCalls.Writes) / seconds / n
	}
	return r
}

func sampleAll(ctx context.Context, admins []string) ([]sample, error) {
	out := make([]sample, len(admins))
	errs := make([]error, len(admins))
	var group sync.WaitGroup
	for i, admin := range admins {
		group.Go(func() { out[i], errs[i] = sampleOne(ctx, admin) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

func sampleOne(ctx context.Context, admin string) (sample, error) {
	var s sample
	if err := get(ctx, "http://"+admin+"/status", func(r *http.Response) error {
		return json.NewDecoder(r.Body).Decode(&s.status)
	}); err != nil {
		return s, err
	}
	return s, get(ctx, "http://"+admin+"/metrics", func(r *http.Response) error {
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			s.take(lines.Text())
		}
		return lines.Err()
	})
}

func (s *sample) take(line string) {
	name, value, ok := strings.Cut(line, " ")
	if !ok {
		return
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return
	}
	switch name {
	case "process_cpu_seconds_total":
		s.cpu = number
	case "process_resident_memory_bytes":
		s.memory = number
	}
}

func get(ctx context.Context, url string, read func(*http.Response) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return read(response)
}

const pollEvery = 20 * time.Millisecond

// InForce waits until every box has at least the given version of an object.
func InForce(ctx context.Context, admins []string, key string, version uint64) error {
	for _, admin := range admins {
		for {
			s, err := sampleOne(ctx, admin)
			if err == nil && has(s.status, key, version) {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("box at %s does not have version %d of %s: %w", admin, version, key, ctx.Err())
			}
			time.Sleep(pollEvery)
		}
	}
	return nil
}

func has(s box.Status, key string, version uint64) bool {
	for _, o := range s.Objects {
		if o.Key == key && o.Version >= version {
			return true
		}
	}
	return false
}

package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// soakMemory is the memory of each gateway, in megabytes: that of the users' smallest machines.
	soakMemory = leastMemory
	// soakBody is the longest body that the soak's configurations allow, in bytes.
	soakBody = 16 * megabyte
	// largeClients is how many clients send large bodies, in pieces, slowly or without an end, or read
	// slowly, beside the others.
	largeClients = 4
	// restingConnections is how many connections rest at most beside them.
	restingConnections = 100
	// memoryPollInterval is how often the memory of the processes is looked at.
	memoryPollInterval = 50 * time.Millisecond
)

// peaks are the most memory that processes used, by gateway. It is safe for concurrent use.
type peaks struct {
	mu   sync.Mutex
	used map[string]int // bytes
}

func (p *peaks) add(id string, used int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used == nil {
		p.used = map[string]int{}
	}
	p.used[id] = max(p.used[id], used)
}

func (p *peaks) all() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.used)
}

// large is a client that sends bodies of any length in any way.
func (w *world) large(ctx context.Context, seed uint64, n int) {
	random := rand.New(rand.NewPCG(seed, uint64(n)+3000))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("large-%d-%d-%d", seed, n, i)
		switch random.IntN(6) {
		case 0:
			w.leaveHalfway(ctx, random, id)
		case 1:
			w.rest(ctx, random)
		default:
			w.sendLarge(random, id)
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// sendLarge sends a body of up to the longest length, whole or in chunks, now and then slowly, and
// checks the answer; it may read that slowly.
func (w *world) sendLarge(random *rand.Rand, id string) {
	g := w.gateways[random.IntN(len(w.gateways))]
	length := 1 + random.IntN(soakBody)>>random.IntN(10)
	u := upload{path: "/book/", length: length, chunked: random.IntN(3) == 0}
	if random.IntN(4) == 0 {
		u.pause = time.Duration(random.IntN(100)) * time.Millisecond
	}
	body := content()[random.IntN(maxAttempts):][:length]
	o := outcome{method: http.MethodPost, uri: "/book/x", body: string(body), began: time.Since(w.began)}
	w.records.ended(id, o)
	conn, err := net.DialTimeout("tcp", g.clients.Address(), clientTime)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * clientTime))
	go u.write(conn, id, body)
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		o.cut = true
		w.records.ended(id, o)
		return
	}
	if random.IntN(4) == 0 {
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	got, err := io.ReadAll(response.Body)
	o.status, o.cut, o.ended = response.StatusCode, err != nil, time.Since(w.began)
	w.records.ended(id, o)
	switch {
	case err != nil:
	case o.status == http.StatusServiceUnavailable && response.Header.Get("Attempt-Id") == "": // its head was not read
		if response.Header.Get("Retry-After") == "" {
			w.t.Errorf("%s was turned away without a word on when to come back", id)
		}
	default:
		w.checkAnswer(id, o, response.Header, string(got))
	}
}

// leaveHalfway announces a body, sends part of it, stops for a while and leaves.
func (w *world) leaveHalfway(ctx context.Context, random *rand.Rand, id string) {
	g := w.gateways[random.IntN(len(w.gateways))]
	conn, err := net.DialTimeout("tcp", g.clients.Address(), clientTime)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTime))
	w.records.ended(id, outcome{method: http.MethodPost, uri: "/book/x", began: time.Since(w.began), cut: true})
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", soakBody)
	if random.IntN(2) == 0 {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", soakBody)
	}
	head := fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\n%s", id, framing)
	if random.IntN(4) == 0 {
		head = head[:random.IntN(len(head))]
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	if strings.HasSuffix(head, framing) {
		_, _ = conn.Write(content()[:random.IntN(soakBody)]) // it is cut by the deadline where nobody reads
	}
	pauseUntil(ctx, time.Duration(random.Int64N(int64(clientTime))))
}

// rest opens connections that send nothing, and closes them after a while.
func (w *world) rest(ctx context.Context, random *rand.Rand) {
	g := w.gateways[random.IntN(len(w.gateways))]
	for range random.IntN(restingConnections) {
		conn, err := net.DialTimeout("tcp", g.clients.Address(), clientTime)
		if err != nil {
			break
		}
		defer func() { _ = conn.Close() }()
	}
	pauseUntil(ctx, time.Duration(random.Int64N(int64(clientTime))))
}

func pauseUntil(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchMemory notes the most memory that each life of each gateway had resident, until ctx ends.
func (w *world) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, g := range w.gateways {
			pid := int(g.pid.Load())
			used, err := residentPeak(pid)
			if errors.Is(err, fs.ErrNotExist) || used == 0 {
				continue // the process has ended
			}
			if err != nil {
				w.t.Errorf("the memory of %s can't be read: %v", g.id, err)
				return
			}
			w.peaks.add(g.id, used)
		}
		pauseUntil(ctx, memoryPollInterval)
	}
}

// residentPeak returns the most memory that a process had resident, in bytes; 0 if it has ended.
func residentPeak(pid int) (int, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			return kilobytes << 10, err
		}
	}
	return 0, nil
}

// checkMemory checks that no gateway went over its memory.
func (w *world) checkMemory() {
	for id, used := range w.peaks.all() {
		if used > soakMemory*megabyte {
			w.t.Errorf("MEMORY: %s used %d MB of %d", id, used/megabyte, soakMemory)
		}
	}
	w.t.Logf("memory at most, in bytes: %v", w.peaks.all())
}

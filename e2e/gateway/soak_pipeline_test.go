package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// mostBehind is how many requests a client that pipelines sends at most before it
// reads an answer.
const mostBehind = 5

// pipeliningClients is how many clients do so, beside the others.
const pipeliningClients = 3

// pipelining is a client that sends several requests behind one another.
func (w *world) pipelining(ctx context.Context, seed uint64, n int) {
	random := rand.New(rand.NewPCG(seed, uint64(n)+1000))
	for i := 0; ctx.Err() == nil; i++ {
		w.pipeline(random, fmt.Sprintf("behind-%d-%d-%d", seed, n, i))
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// piped is one request of a pipeline.
type piped struct {
	id string
	o  outcome
}

// pipeline sends some requests on a connection of its own and reads their answers:
// they must come in order, and nothing behind an answer that closes may have run.
func (w *world) pipeline(random *rand.Rand, name string) {
	g := w.gateways[random.IntN(len(w.gateways))]
	sent := w.behindOneAnother(random, name)
	calm, planned := w.calm(), g.down.Load()
	answered, closed, err := w.converse(g, sent)
	for _, p := range sent[answered:] {
		p.o.cut = true
		w.records.ended(p.id, p.o)
		switch {
		case closed && w.arrived(p.id):
			w.t.Errorf("LOST %s: it lay behind an answer that closes, and was sent to a target all the same", p.id)
		case !closed && calm && w.calm() && w.arrived(p.id):
			w.t.Errorf("LOST %s: cut though nothing but planned work went on (gateway %s, stopping %v): %v", p.id, g.id, planned, err)
		}
	}
}

// behindOneAnother draws the requests of a pipeline, lookups but for a booking now
// and then, and has each known before it is sent.
func (w *world) behindOneAnother(random *rand.Rand, name string) []piped {
	sent := make([]piped, 2+random.IntN(mostBehind-1))
	for i := range sent {
		p := &sent[i]
		p.id = fmt.Sprintf("%s-%d", name, i)
		method, path := http.MethodGet, []string{"/read/", "/far/"}[random.IntN(2)]
		if random.IntN(6) == 0 {
			method, path = http.MethodPost, "/book/"
			p.o.body = strings.Repeat(p.id+";", 1+random.IntN(20))
		}
		p.o.method, p.o.uri, p.o.began = method, path+"x?q="+p.id, time.Since(w.began)
		w.records.ended(p.id, p.o)
	}
	return sent
}

// converse sends a pipeline and reads answers until one closes the connection or it
// breaks. It returns how many were read whole, and whether the last one closes.
func (w *world) converse(g *soakGateway, sent []piped) (answered int, closed bool, err error) {
	conn, err := net.DialTimeout("tcp", g.clients.Address(), clientTime)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTime))
	var all strings.Builder
	for _, p := range sent {
		fmt.Fprintf(&all, "%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			p.o.method, p.o.uri, p.id, clientTime.Milliseconds(), len(p.o.body), p.o.body)
	}
	if _, err := io.WriteString(conn, all.String()); err != nil {
		return 0, false, err
	}
	in := bufio.NewReader(conn)
	for i, p := range sent {
		response, err := http.ReadResponse(in, &http.Request{Method: p.o.method})
		if err != nil {
			return i, false, err
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return i, false, err
		}
		p.o.status, p.o.ended = response.StatusCode, time.Since(w.began)
		w.records.ended(p.id, p.o)
		w.checkAnswer(p.id, p.o, response.Header, string(body))
		if response.Close {
			return i + 1, true, nil
		}
	}
	return len(sent), false, nil
}

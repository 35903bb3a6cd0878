// Package probe is the measuring duty of a box. It asks only targets that no
// request has visited lately, or that look bad, and none that asks for back-off. It
// never spends more of a target's time than the box's share of the budget: the greatest
// cost is reserved before the probe is sent, and the probe is cut off at that cost.
//
// It owns the box's share of each target's budget. It relies on homes to say which
// targets need measuring.
//
// # Usage
//
//	p := probe.New(probe.Options{Home: home, MaxBoxes: 18, Clock: time.Now})
//	p.Configure(services)
//	go p.Run(ctx)
package probe

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/core/box/budget"
	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/internal/box/entry"
	"github.com/sprucecrank/sprucecrank/internal/box/home"
	"github.com/sprucecrank/sprucecrank/internal/box/telemetry"
	"github.com/sprucecrank/sprucecrank/internal/httpconn"
	"github.com/sprucecrank/sprucecrank/internal/pause"
	"github.com/sprucecrank/sprucecrank/internal/resetconn"
)

const (
	// Most is the greatest cost of one probe; it is cut off there.
	Most      = 20 * time.Millisecond
	lookEvery = 100 * time.Millisecond
	// idleFor is how long a target goes unvisited before it is probed.
	idleFor = 2 * time.Second
	// stockFor bounds what a box saves up: its share of this long, but enough
	// for one probe.
	stockFor = 5 * time.Second
	// maxBody bounds the body of an answer, in bytes.
	maxBody = 64 << 10
)

// Options configure a Prober.
type Options struct {
	Home      *home.Home
	Telemetry *telemetry.Telemetry
	Clock     func() time.Time
	Log       *slog.Logger
	// MaxBoxes is the greatest number of boxes at any moment; each owns an
	// equal share of every target's budget.
	MaxBoxes int
	// IsHome says whether this box is the home of a service now.
	IsHome func(*policy.Service) bool
	// Dial opens connections to targets; nil means TCP.
	Dial resetconn.Dial
}

// Prober measures targets. It is safe for concurrent use.
type Prober struct {
	options  Options
	client   *http.Client
	mu       sync.Mutex
	services []*policy.Service
	targets  map[string]*state
	order    []owned // all targets, for handing over in turn
	cursor   int
}

// owned is a target with its service.
type owned struct {
	service *policy.Service
	address string
}

type state struct {
	tokens *budget.TimeBudget
	busy   bool
	spent  time.Duration
	probes int
}

// New makes a prober without targets.
func New(o Options) *Prober {
	transport := httpconn.NewTransport(&http.Transport{DialContext: resetconn.Dialer(o.Dial), DisableKeepAlives: true})
	return &Prober{options: o, client: &http.Client{Transport: transport}, targets: map[string]*state{}}
}

// Configure takes over the services in force. Tokens of targets that stay are
// kept, those of new ones start at nothing.
func (p *Prober) Configure(services []*policy.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = services
	p.order = p.order[:0]
	next := map[string]*state{}
	for _, s := range services {
		share := s.Probe.BudgetMS / float64(p.options.MaxBoxes)
		for _, t := range s.Targets {
			next[t.Address] = p.stateOf(t.Address, share)
			p.order = append(p.order, owned{service: s, address: t.Address})
		}
	}
	p.targets = next
}

func (p *Prober) stateOf(address string, share float64) *state {
	if known, ok := p.targets[address]; ok {
		known.tokens.SetRate(share)
		return known
	}
	stock := time.Duration(share * stockFor.Seconds() * float64(time.Millisecond))
	tokens := budget.NewTimeBudget(share, max(stock, Most))
	tokens.Level(p.options.Clock()) // the clock of the bucket starts now
	return &state{tokens: tokens}
}

// Run is the duty; it ends with ctx.
func (p *Prober) Run(ctx context.Context) error { return pause.Every(lookEvery, p.look)(ctx) }

// look begins the probes that are due and paid for.
func (p *Prober) look(ctx context.Context) {
	p.mu.Lock()
	services := p.services
	p.mu.Unlock()
	for _, s := range services {
		if !p.options.IsHome(s) {
			continue
		}
		for _, t := range p.options.Home.View(s.Name).Targets {
			if due(t) && p.reserve(t.Address) {
				go p.probe(ctx, s, t.Address)
			}
		}
	}
}

func due(t ledger.TargetView) bool {
	return !t.BacksOff && t.InFlight == 0 && (t.State != ledger.StateLive || t.Idle > idleFor)
}

func (p *Prober) reserve(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st, ok := p.targets[address]
	if !ok || st.busy || !st.tokens.Reserve(p.options.Clock(), Most) {
		return false
	}
	st.busy = true
	return true
}

func (p *Prober) settle(address string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st, ok := p.targets[address]
	if !ok {
		return
	}
	st.busy = false
	st.spent += took
	st.probes++
	st.tokens.Settle(Most, took)
}

// probe sends one probe, cut off at its reserved cost and never repeated.
func (p *Prober) probe(ctx context.Context, s *policy.Service, address string) {
	began := p.options.Clock()
	o := p.send(ctx, s, address)
	o.Took = p.options.Clock().Sub(began)
	p.settle(address, o.Took)
	p.options.Telemetry.Probe(ctx, address, o.Took)
	p.options.Home.Probed(s.Name, address, o)
}

func (p *Prober) send(ctx context.Context, s *policy.Service, address string) ledger.Outcome {
	ctx, cancel := context.WithTimeout(ctx, Most)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+s.Probe.Path, nil)
	if err != nil {
		return ledger.Outcome{Result: health.Unused}
	}
	response, err := p.do(r)
	if ctx.Err() != nil {
		return ledger.Outcome{Result: health.Cancelled} // slow, or this box is: proves nothing
	}
	if err != nil {
		return ledger.Outcome{Result: health.Unreachable}
	}
	o := ledger.Outcome{Result: health.OK}
	if response.StatusCode >= http.StatusInternalServerError {
		o.Result = health.Failed
	}
	if err := entry.ReadTargetState(response, &o); err != nil {
		p.options.Log.Warn("back-off of a target passed over", "target", address, "error", err.Error())
	}
	return o
}

// do makes one call and reads the whole answer, which is none if its body breaks off.
func (p *Prober) do(r *http.Request) (*http.Response, error) {
	response, err := p.client.Do(r)
	if err != nil {
		return nil, err
	}
	_, err = httpconn.ReadBody(response, maxBody)
	return response, err
}

// HandOver is measuring budget for the home of a service, by target.
type HandOver struct {
	Service *policy.Service
	Tokens  map[string]time.Duration
}

// Take empties the buckets of the next targets, at most as many, and gives what
// was in them by service, to be handed to its home. What this box is the home of
// itself is left alone. Going round, it keeps what is handed over at once from
// growing with the number of targets.
func (p *Prober) Take(most int) map[*policy.Service]map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[*policy.Service]map[string]time.Duration{}
	for range min(most, len(p.order)) {
		next := p.order[p.cursor%len(p.order)]
		p.cursor = (p.cursor + 1) % len(p.order)
		if p.options.IsHome(next.service) {
			continue
		}
		if d := p.targets[next.address].tokens.Drain(p.options.Clock()); d > 0 {
			if out[next.service] == nil {
				out[next.service] = map[string]time.Duration{}
			}
			out[next.service][next.address] = d
		}
	}
	return out
}

// Add puts in what another box handed over.
func (p *Prober) Add(tokens map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, d := range tokens {
		if st, ok := p.targets[address]; ok {
			st.tokens.Add(d)
		}
	}
}

// Spent is what this box's probes took of a target's time so far.
type Spent struct {
	Target string  `json:"target"`
	Probes int     `json:"probes"`
	MS     float64 `json:"ms"`
}

// Spent lists what the probes of a service's targets took.
func (p *Prober) Spent(s *policy.Service) []Spent {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Spent, 0, len(s.Targets))
	for _, t := range s.Targets {
		if st, ok := p.targets[t.Address]; ok {
			out = append(out, Spent{Target: t.Address, Probes: st.probes, MS: float64(st.spent.Microseconds()) / 1000})
		}
	}
	return out
}

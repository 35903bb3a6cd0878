package policy

import (
	"fmt"
	"reflect"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

// Bounds on a policy, checked at submission.
const (
	MaxProgramBytes = 4096
	MaxProgramNodes = 200
	MaxKinds        = 32
	MaxDeadlineMS   = 3600 * 1000
	DefaultWeight   = 1
	DefaultDeadline = 30 * 1000
)

// Mode says how often a request of a kind may run.
type Mode string

// The modes of a kind.
const (
	// Single requests run once per try: never repeated when they may have run.
	Single Mode = "single"
	// Repeatable requests may run again, such as lookups.
	Repeatable Mode = "repeatable"
	// Once requests run at most once per Idempotency-Key, whatever fails.
	Once Mode = "once"
)

// Kind is one class of requests and how it is to be treated.
type Kind struct {
	Name string `json:"name"`
	// Weight orders the queue: a greater weight goes first.
	Weight int `json:"weight,omitempty"`
	// DeadlineMS is the longest that an answer is of use, in milliseconds.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// LongestWaitMS bounds the wait for a slot; 0 means the deadline.
	LongestWaitMS int  `json:"longest_wait_ms,omitempty"`
	Mode          Mode `json:"mode,omitempty"`
	// Hedge sends a second try when the first is slower than usual.
	Hedge bool `json:"hedge,omitempty"`
	// UsualMS is the usual service time before any was measured.
	UsualMS int `json:"usual_ms,omitempty"`
}

// Deadline is the longest that an answer is of use.
func (k *Kind) Deadline() time.Duration { return milliseconds(k.DeadlineMS) }

// LongestWait is the longest that a request may wait for a slot.
func (k *Kind) LongestWait() time.Duration {
	if k.LongestWaitMS == 0 {
		return k.Deadline()
	}
	return milliseconds(k.LongestWaitMS)
}

// Usual is the service time to expect before any was measured.
func (k *Kind) Usual() time.Duration { return milliseconds(k.UsualMS) }

// Document is a policy as operators write it.
type Document struct {
	// Service is the name of the service that the policy is for.
	Service string `json:"service"`
	// Program is an expression over the request that gives a kind's name.
	Program string `json:"program"`
	Kinds   []Kind `json:"kinds"`
}

// Request is what a policy program sees.
type Request struct {
	Method  string            `expr:"method"`
	Path    string            `expr:"path"`
	Client  string            `expr:"client"`
	Headers map[string]string `expr:"headers"`
}

// Policy is a checked and compiled policy.
type Policy struct {
	doc     Document
	program *vm.Program
	kinds   map[string]*Kind
}

// ParsePolicy checks and compiles a policy document.
// The error is a Problems with one entry for each fault found.
func ParsePolicy(raw []byte) (*Policy, error) {
	var doc Document
	if err := decodeStrict(raw, &doc); err != nil {
		return nil, err
	}
	for i := range doc.Kinds {
		doc.Kinds[i].applyDefaults()
	}
	problems := doc.check()
	program, err := compile(doc.Program)
	if err != nil {
		problems.Add("program", err.Error(), "an expression of at most 200 nodes that gives a kind's name")
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return newPolicy(doc, program), nil
}

func newPolicy(doc Document, program *vm.Program) *Policy {
	p := &Policy{doc: doc, program: program, kinds: make(map[string]*Kind, len(doc.Kinds))}
	for i := range doc.Kinds {
		p.kinds[doc.Kinds[i].Name] = &doc.Kinds[i]
	}
	return p
}

// compile bounds a program: no loops and no calls, so that its cost is at most
// its number of nodes.
func compile(source string) (*vm.Program, error) {
	if len(source) > MaxProgramBytes {
		return nil, fmt.Errorf("%d bytes, more than %d", len(source), MaxProgramBytes)
	}
	if err := bound(source); err != nil {
		return nil, err
	}
	return expr.Compile(source,
		expr.Env(Request{}),
		expr.MaxNodes(MaxProgramNodes),
		expr.AsKind(reflect.String),
	)
}

func (k *Kind) applyDefaults() {
	if k.Weight == 0 {
		k.Weight = DefaultWeight
	}
	if k.DeadlineMS == 0 {
		k.DeadlineMS = DefaultDeadline
	}
	if k.Mode == "" {
		k.Mode = Single
	}
	if k.UsualMS == 0 {
		k.UsualMS = 50
	}
}

func (d *Document) check() Problems {
	var p Problems
	p.require(namePattern.MatchString(d.Service), "service", d.Service, "the name of a service")
	p.require(len(d.Kinds) >= 1 && len(d.Kinds) <= MaxKinds, "kinds", len(d.Kinds), "1 to 32 kinds")
	seen := map[string]bool{}
	for i := range d.Kinds {
		d.Kinds[i].check(&p, i)
		name := d.Kinds[i].Name
		p.require(!seen[name], indexed("kinds", i, "name"), name, "each name once")
		seen[name] = true
	}
	return p
}

func (k *Kind) check(p *Problems, i int) {
	at := func(field string) string { return indexed("kinds", i, field) }
	p.require(namePattern.MatchString(k.Name), at("name"), k.Name, "lower-case letters, digits and dashes, a letter first")
	p.require(k.Weight >= 1 && k.Weight <= 1000, at("weight"), k.Weight, "1 to 1000")
	p.require(k.DeadlineMS >= 1 && k.DeadlineMS <= MaxDeadlineMS, at("deadline_ms"), k.DeadlineMS, "1 to 3600000")
	p.require(k.LongestWaitMS >= 0 && k.LongestWaitMS <= k.DeadlineMS, at("longest_wait_ms"), k.LongestWaitMS, "0 to the deadline")
	p.require(k.UsualMS >= 1 && k.UsualMS <= k.DeadlineMS, at("usual_ms"), k.UsualMS, "1 to the deadline")
	modeOK := k.Mode == Single || k.Mode == Repeatable || k.Mode == Once
	p.require(modeOK, at("mode"), string(k.Mode), "single, repeatable or once")
	p.require(!k.Hedge || k.Mode == Repeatable, at("hedge"), k.Hedge, "true only where mode is repeatable")
}

// Service is the name of the service that the policy is for.
func (p *Policy) Service() string { return p.doc.Service }

// Classify runs the program and finds the kind that it names.
func (p *Policy) Classify(r Request) (*Kind, error) {
	out, err := vm.Run(p.program, r)
	if err != nil {
		return nil, fmt.Errorf("program of policy %s: %w", p.doc.Service, err)
	}
	name, _ := out.(string)
	kind, ok := p.kinds[name]
	if !ok {
		return nil, fmt.Errorf("program of policy %s names kind %q, which the policy does not have", p.doc.Service, name)
	}
	return kind, nil
}

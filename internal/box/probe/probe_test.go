package probe_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/internal/box/home"
	"github.com/sprucecrank/sprucecrank/internal/box/probe"
	"github.com/sprucecrank/sprucecrank/internal/box/telemetry"
	"github.com/sprucecrank/sprucecrank/internal/httpconn/httpconntest"
)

const address = "10.0.0.1:80"

// target answers probes in memory, and counts them.
type target struct {
	probes atomic.Int64
	answer atomic.Pointer[string]
	home   *home.Home // knows it as the one target of "look"
}

func newTarget() *target {
	t := &target{}
	t.say("200 OK", "")
	return t
}

// say sets the answer to probes from now on.
func (t *target) say(status, header string) {
	answer := "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: 0\r\n\r\n"
	t.answer.Store(&answer)
}

func (t *target) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go t.serve(far)
	return near, nil
}

func (t *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	t.probes.Add(1)
	_, _ = io.Copy(conn, strings.NewReader(*t.answer.Load()))
}

// withProber runs f beside the prober of a box that is the home of one target.
func withProber(t *testing.T, log *slog.Logger, f func(g *WithT, target *target)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		metrics, err := telemetry.New(telemetry.Options{})
		g.Expect(err).NotTo(HaveOccurred())
		services := []*policy.Service{{
			Name: "look", Targets: []policy.Target{{Address: address, Hall: "north", Slots: 4}},
			Probe: policy.Probe{Path: "/up", BudgetMS: 100},
		}}
		h := home.New(home.Options{Clock: time.Now, Random: rand.Float64})
		h.Configure(services)
		target := newTarget()
		target.home = h
		p := probe.New(probe.Options{
			Home: h, Telemetry: metrics, Clock: time.Now, Log: log, MaxBoxes: 1, Dial: target.dial,
			IsHome: func(*policy.Service) bool { return true },
		})
		p.Configure(services)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- p.Run(ctx) }()
		f(g, target)
		stop()
		g.Expect(<-done).To(Succeed())
		synctest.Wait()
	})
}

func TestATargetThatAsksForBackOffIsNotProbedUntilThen(t *testing.T) {
	withProber(t, slog.New(slog.DiscardHandler), func(g *WithT, target *target) {
		target.say("503 Service Unavailable", "Retry-After: 8\r\n")
		time.Sleep(4 * time.Second)
		g.Expect(target.probes.Load()).To(Equal(int64(1)), "the one that was told to back off")
		target.say("200 OK", "")
		time.Sleep(3 * time.Second)
		g.Expect(target.probes.Load()).To(Equal(int64(1)))
		time.Sleep(6 * time.Second)
		g.Expect(target.probes.Load()).To(BeNumerically(">", 1), "it is probed again afterwards")
	})
}

func TestABackOffThatCannotBeReadIsLoggedAndPassedOver(t *testing.T) {
	var logs bytes.Buffer
	withProber(t, slog.New(slog.NewJSONHandler(&logs, nil)), func(g *WithT, target *target) {
		target.say("503 Service Unavailable", "Retry-After: soon\r\n")
		time.Sleep(9 * time.Second)
		g.Expect(target.probes.Load()).To(BeNumerically(">=", 3))
	})
	NewWithT(t).Expect(logs.String()).To(ContainSubstring(`"msg":"back-off of a target passed over","target":"` + address + `"`))
}

func TestATargetThatNobodyVisitsIsProbed(t *testing.T) {
	withProber(t, slog.New(slog.DiscardHandler), func(g *WithT, target *target) {
		time.Sleep(9 * time.Second)
		g.Expect(target.probes.Load()).To(BeNumerically(">=", 3))
	})
}

// Guards against health checks that believe an answer which the protocol does not allow.
func TestInvalidAnswersFail(t *testing.T) {
	for name, answer := range httpconntest.Invalid("") {
		t.Run(name, func(t *testing.T) {
			var probes int64
			ejected := false
			withProber(t, slog.New(slog.DiscardHandler), func(_ *WithT, target *target) {
				target.answer.Store(&answer)
				for range 900 {
					time.Sleep(10 * time.Millisecond)
					ejected = ejected || target.home.View("look").Targets[0].State == ledger.StateEjected
				}
				probes = target.probes.Load()
			})
			g := NewWithT(t)
			g.Expect(probes).To(BeNumerically(">=", 3))
			g.Expect(ejected).To(BeTrue())
		})
	}
}

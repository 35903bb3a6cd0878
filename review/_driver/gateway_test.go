//go:build review

package driver

import (
	"encoding/json"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is what the build line of the deploy file makes, and its run line starts.
const program = "target/sprucecrank-gateway"

// gateway is one machine with the project's program on it.
type gateway struct {
	id       string
	settings object
	file     string
	log      string
	record   *record

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	starts  int
}

// newGateway lays out a machine's settings as the template of the deploy file does.
func newGateway(dir, id, zone string, s *store, rec *record, extra object) *gateway {
	g := &gateway{id: id, file: filepath.Join(dir, id+".json"), log: filepath.Join(dir, id+".log"), record: rec}
	g.settings = object{
		"id": id, "hall": zone, "region": "bkk", "regions": object{zone: "bkk"},
		"listen": freeAddress(), "ready_listen": freeAddress(), "peer_listen": freeAddress(),
		"relay_listen": freeAddress(), "metrics_listen": freeAddress(),
		"first_start": false, "store": s.address, "memory_mb": 284,
		"apply_within_s": 2, "watch_trust_s": 3, "restore_within_s": 2.3, "stop_within_s": 6, "retry_ratio": 0.2,
	}
	maps.Copy(g.settings, extra)
	return g
}

// freeAddress is one that nothing listens at.
func freeAddress() string {
	listener := listen()
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (g *gateway) address(name string) string { return g.settings[name].(string) }

// start starts the program with the settings of the moment.
func (g *gateway) start() {
	raw, err := json.Marshal(g.settings)
	if err == nil {
		err = os.WriteFile(g.file, raw, 0o600)
	}
	if err != nil {
		cannotRun("settings: %v", err)
	}
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SPRUCECRANK_NODE_FILE=" + g.file}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("%s: %v", program, err)
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.process, g.ended = command.Process, ended
	g.starts++
	g.mu.Unlock()
	g.record.line("start     %s, process %d", g.id, command.Process.Pid)
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// signal sends the process a signal.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.line("signal    %s: %v", g.id, s)
	_ = g.process.Signal(s)
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.end()
}

// end is closed at the end of the process.
func (g *gateway) end() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// resident is how much memory the process uses, in bytes; 0 if it has ended.
func (g *gateway) resident() int64 {
	g.mu.Lock()
	pid := g.process.Pid
	g.mu.Unlock()
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// ready asks as the platform does.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.address("ready_listen") + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all are ready; the case can't run otherwise.
func awaitReady(gateways ...*gateway) {
	until := time.Now().Add(15 * time.Second)
	for _, g := range gateways {
		for !g.ready() {
			if time.Now().After(until) {
				cannotRun("%s does not get ready", g.id)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// origins tells which gateway process has a connection open. Questions that come together are
// answered by one look at the system's tables, which is slow while there are many connections.
type origins struct {
	pids func() map[string]int // the gateways' process ids, by their ids

	mu      sync.Mutex
	takenAt time.Time // when the latest look began
	byPort  map[int]string
}

// of returns the id of the gateway that has a connection open from an address; empty for any
// other process.
func (o *origins) of(client net.Addr) string {
	asked := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.takenAt.After(asked) {
		o.take()
	}
	return o.byPort[client.(*net.TCPAddr).Port]
}

// take looks up the local ports of all gateways; the lock is held.
func (o *origins) take() {
	o.takenAt = time.Now()
	o.byPort = map[int]string{}
	gateways := map[string]string{}
	for id, pid := range o.pids() {
		for _, inode := range socketInodes(pid) {
			gateways[inode] = id
		}
	}
	for port, inode := range portInodes() {
		if id, ok := gateways[inode]; ok {
			o.byPort[port] = id
		}
	}
}

// socketInodes lists the inodes of the sockets that a process has open.
func socketInodes(pid int) (inodes []string) {
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // the pattern is valid
	for _, descriptor := range descriptors {
		to, err := os.Readlink(descriptor)
		if inode, ok := strings.CutPrefix(to, "socket:["); err == nil && ok {
			inodes = append(inodes, strings.TrimSuffix(inode, "]"))
		}
	}
	return inodes
}

// portInodes returns the inodes of all connected TCP sockets by their local ports.
func portInodes() map[int]string {
	const (
		localField, stateField, inodeField = 1, 3, 9
		established                        = "01"
		hexadecimal, portBits              = 16, 16
	)
	ports := map[int]string{}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ports
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField || fields[stateField] != established {
			continue
		}
		_, port, _ := strings.Cut(fields[localField], ":")
		if number, err := strconv.ParseUint(port, hexadecimal, portBits); err == nil {
			ports[int(number)] = fields[inodeField]
		}
	}
	return ports
}

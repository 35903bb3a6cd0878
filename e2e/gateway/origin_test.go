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

	"github.com/sprucecrank/sprucecrank/internal/standin/faultproxy"
)

// origins tells which gateway process has a connection open. Questions that come together are
// answered by one look at the system's tables, which is slow while there are many connections.
type origins struct {
	processes func() map[int]faultproxy.Origin // the gateways by their process ids

	mu      sync.Mutex
	takenAt time.Time // when the latest look began
	byPorts map[ports]faultproxy.Origin
}

// ports are those of a connection, of which both ends are on loopback. One local port serves
// several connections to different ports.
type ports struct{ local, remote int }

// of returns the gateway that has a connection open between two addresses; the zero value for
// any other process.
func (o *origins) of(client, own net.Addr) (origin faultproxy.Origin) {
	connection := ports{local: client.(*net.TCPAddr).Port, remote: own.(*net.TCPAddr).Port}
	for range maxLooks {
		if origin = o.look(connection); origin.Name != "" {
			break
		}
	}
	return origin
}

// maxLooks bounds the looks for one connection. A process that has just started may not be known yet.
const maxLooks = 5

func (o *origins) look(connection ports) faultproxy.Origin {
	asked := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.takenAt.After(asked) {
		o.take()
	}
	return o.byPorts[connection]
}

// take looks up the connections of all gateways; the lock is held.
func (o *origins) take() {
	o.takenAt = time.Now()
	o.byPorts = map[ports]faultproxy.Origin{}
	gateways := map[string]faultproxy.Origin{}
	for pid, origin := range o.processes() {
		for _, inode := range socketInodes(pid) {
			gateways[inode] = origin
		}
	}
	for connection, inode := range connectionInodes() {
		if origin, ok := gateways[inode]; ok {
			o.byPorts[connection] = origin
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

// connectionInodes returns the inodes of all connected TCP sockets by their ports.
func connectionInodes() map[ports]string {
	const (
		localField, remoteField, stateField, inodeField = 1, 2, 3, 9

		established = "01"
	)
	inodes := map[ports]string{}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return inodes
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField || fields[stateField] != established {
			continue
		}
		local, errLocal := parsePort(fields[localField])
		remote, errRemote := parsePort(fields[remoteField])
		if errLocal == nil && errRemote == nil {
			inodes[ports{local: local, remote: remote}] = fields[inodeField]
		}
	}
	return inodes
}

// parsePort reads the port of an address as the system's table has it.
func parsePort(address string) (int, error) {
	const hexadecimal, portBits = 16, 16
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.ParseUint(port, hexadecimal, portBits)
	return int(number), err
}

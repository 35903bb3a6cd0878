// Package freeport finds addresses on loopback for processes that a test or a
// demonstration starts.
//
// # Usage
//
//	address, err := freeport.Address()
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports lie below the range from which the system takes those of outgoing
// connections: one from that range may be taken before the process listens on it.
const first, last = 15000, 32000

var (
	mu   sync.Mutex
	next = first + rand.IntN(last-first)
	// reserved hold the ports that were given out until this process ends.
	reserved []net.Listener
)

// Address is one that nothing listens on. It is given out once, to one process of this machine,
// so that a process of a test finds it free when it starts again.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range last - first {
		next++
		if next > last {
			next = first
		}
		address := fmt.Sprintf("127.0.0.1:%d", next)
		if isFree(address) && reserve(next) {
			return address, nil
		}
	}
	return "", fmt.Errorf("every port from %d to %d is taken", first, last)
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// reserve reports whether no other process has reserved a port. A reservation is an abstract
// socket, which leaves nothing behind when its process ends.
func reserve(port int) bool {
	listener, err := net.Listen("unix", fmt.Sprintf("@sprucecrank-freeport-%d", port))
	if err != nil {
		return false
	}
	reserved = append(reserved, listener)
	return true
}

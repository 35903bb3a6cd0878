package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// originOf returns the id of the process that has a connection open from an address, of some
// process ids by id; empty for any other process.
func originOf(client net.Addr, pids map[string]int) string {
	inode := socketInode(client.(*net.TCPAddr).Port)
	for id, pid := range pids {
		if inode != "" && hasSocket(pid, inode) {
			return id
		}
	}
	return ""
}

// socketInode returns the inode of the TCP socket that is bound to a local port and connected;
// empty if there is none.
func socketInode(port int) string {
	const (
		localField, stateField, inodeField = 1, 3, 9
		established                        = "01"
	)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	suffix := fmt.Sprintf(":%04X", port)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && strings.HasSuffix(fields[localField], suffix) && fields[stateField] == established {
			return fields[inodeField]
		}
	}
	return ""
}

func hasSocket(pid int, inode string) bool {
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid)) // the pattern is valid
	for _, descriptor := range descriptors {
		if to, err := os.Readlink(descriptor); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

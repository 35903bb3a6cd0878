package freeport

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// lastPort is the environment variable that makes a test process print an address, the first that
// it looks at being that behind a port.
const lastPort = "FREEPORT_TEST_LAST"

func TestMain(m *testing.M) {
	port, err := strconv.Atoi(os.Getenv(lastPort))
	if err != nil {
		os.Exit(m.Run())
	}
	next = port
	address, err := Address()
	if err != nil {
		panic(err)
	}
	fmt.Println(address)
}

// Guards against two processes that get the same address, one while a process of the other is
// being started again.
func TestAnAddressIsGivenOutToOneProcess(t *testing.T) {
	g := NewWithT(t)
	address, err := Address()
	g.Expect(err).NotTo(HaveOccurred())
	other := exec.Command(os.Args[0])
	other.Env = append(os.Environ(), fmt.Sprintf("%s=%d", lastPort, next-1))
	printed, err := other.Output()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.TrimSpace(string(printed))).To(HavePrefix("127.0.0.1:"))
	g.Expect(strings.TrimSpace(string(printed))).NotTo(Equal(address))
}

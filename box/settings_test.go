package box_test

import (
	"fmt"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box"
)

func TestBoxSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "box")
}

// settingsWith gives valid settings with more fields at the end; the last of
// two equal fields counts.
func settingsWith(more string) []byte {
	return []byte(fmt.Sprintf(`{"id":"b","hall":"h","listen":"10.0.0.1:80","peer_listen":"10.0.0.1:81",`+
		`"admin_listen":"127.0.0.1:82","platform":"10.0.0.9:7000"%s}`, more))
}

var _ = Describe("settings", func() {
	It("are completed with defaults", func() {
		s, err := box.ParseSettings(settingsWith(""))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.MaxBoxes).To(Equal(box.DefaultMaxBoxes))
		Expect(s.DrainLagMS).To(Equal(box.DefaultDrainLagMS))
	})

	It("of the examples are valid", func() {
		files, err := filepath.Glob("../examples/boxes/*.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			_, err := box.ReadSettings(file)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})

	DescribeTable("are refused where they are wrong, with the place and what is allowed",
		func(more, want string) {
			_, err := box.ParseSettings(settingsWith(more))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("an unknown field", `,"listn":"x"`, "listn: found an unknown field"),
		Entry("a host name", `,"listen":"host:80"`, `listen: found "host:80"; allowed: an IP number with a port`),
		Entry("no hall", `,"hall":""`, "hall: found"),
		Entry("a wrong type", `,"max_boxes":"many"`, "max_boxes: found string; allowed: int"),
		Entry("too many boxes", `,"max_boxes":20000`, "max_boxes: found 20000; allowed: 1 to 10000"),
		Entry("a log level", `,"log_level":"loud"`, `log_level: found "loud"; allowed: debug, info, warn or error`),
		Entry("traces", `,"traces":"file"`, `traces: found "file"; allowed: none or stdout`),
		Entry("administration in the open", `,"admin_listen":"10.0.0.1:82"`, "allowed: a loopback address, or any with admin_token, admin_cert and admin_key set"),
		Entry("a short token", `,"admin_token":"short"`, "admin_token: found \"a short token\"; allowed: at least 16 bytes"),
		Entry("a certificate without a key", `,"admin_cert":"c"`, "admin_cert"),
		Entry("a peer by name", `,"peers":["box-2"]`, "peers: found \"box-2\""),
		Entry("a body limit below the buffer", `,"body_bytes":1`, "body_bytes: found 1; allowed: buffer_bytes or more"),
		Entry("bad JSON", `,`, "line 1: found"),
	)
})

func FuzzParseSettings(f *testing.F) {
	f.Add(settingsWith(""))
	f.Add(settingsWith(`,"peers":["10.0.0.2:81"]`))
	f.Add([]byte("[1"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := box.ParseSettings(raw); err == nil && (s.MaxBoxes < 1 || s.ID == "") {
			t.Fatalf("accepted %+v", s)
		}
	})
}

package discovery

import (
	"bytes"
	"fmt"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
)

func TestConfigurationIsCompressedOncePerVersion(t *testing.T) {
	g := NewWithT(t)
	body := bytes.Repeat([]byte(`{"name":"r-1","kind":"safe","action":{"service":"shop"}},`), 1000)
	var p packedConfig
	first, err := p.of(7, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(first)).To(BeNumerically("<", len(body)/10))
	again, err := p.of(7, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(first))
	g.Expect(inflate(first)).To(Equal(body))
	next, err := p.of(8, []byte("another"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(inflate(next)).To(Equal([]byte("another")))
}

func TestTargetListIsCompressedOncePerRevision(t *testing.T) {
	g := NewWithT(t)
	var changes []catalog.Change
	for i := range 719 {
		changes = append(changes, catalog.Change{Revision: 530, Target: catalog.Target{
			ID: fmt.Sprintf("i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24), Service: "service-" + strconv.Itoa(i%3),
			Address: fmt.Sprintf("10.%d.64.%d:8289", i%6, i%250), Hall: "hall-" + strconv.Itoa(i%6), Slots: 3,
		}})
	}
	var p packedTargets
	first, err := p.of(530, changes)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d targets in %d bytes", len(changes), len(first))
	g.Expect(len(first)).To(BeNumerically("<", 40*len(changes)))
	g.Expect(unpackChanges(first)).To(Equal(changes))
	again, err := p.of(530, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(first))
	_, err = unpackChanges([]byte("not packed"))
	g.Expect(err).To(HaveOccurred())
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("not packed"))
	f.Fuzz(func(_ *testing.T, body []byte) { _, _ = unpackChanges(body) })
}

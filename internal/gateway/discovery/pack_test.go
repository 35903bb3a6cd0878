package discovery

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
)

func TestAConfigurationIsToldInFewerBytesAndPackedOnce(t *testing.T) {
	g := NewWithT(t)
	body := bytes.Repeat([]byte(`{"name":"r-1","kind":"safe","action":{"service":"shop"}},`), 1000)
	var p packed
	first, err := p.of(7, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(first)).To(BeNumerically("<", len(body)/10))
	again, err := p.of(7, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(first))
	g.Expect(unpack(first)).To(Equal(body))
	next, err := p.of(8, []byte("another"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unpack(next)).To(Equal([]byte("another")))
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("not packed"))
	f.Fuzz(func(_ *testing.T, body []byte) { _, _ = unpack(body) })
}

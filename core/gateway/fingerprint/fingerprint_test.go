package fingerprint_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/fingerprint"
)

func TestFingerprintDistinguishesContentAndCaller(t *testing.T) {
	g := NewWithT(t)
	request := fingerprint.Request{
		Method: "POST", Host: "a.example", URI: "/x?y=1", Body: [][]byte{[]byte("b")}, Address: "10.0.0.1", Credentials: []string{"k"},
	}
	print := fingerprint.Compute(request)
	g.Expect(fingerprint.Compute(request)).To(Equal(print))

	for _, change := range []func(r *fingerprint.Request){
		func(r *fingerprint.Request) { r.Method = "PUT" },
		func(r *fingerprint.Request) { r.Host = "b.example" },
		func(r *fingerprint.Request) { r.URI = "/x?y=2" },
		func(r *fingerprint.Request) { r.Body = [][]byte{[]byte("c")} },
		func(r *fingerprint.Request) { r.Method, r.Host = "POSTa", ".example" },
	} {
		other := request
		change(&other)
		g.Expect(fingerprint.Compute(other).Content).NotTo(Equal(print.Content), fmt.Sprint(other))
		g.Expect(fingerprint.Compute(other).Caller).To(Equal(print.Caller))
	}
	for _, change := range []func(r *fingerprint.Request){
		func(r *fingerprint.Request) { r.Address = "10.0.0.2" },
		func(r *fingerprint.Request) { r.Credentials = nil },
		func(r *fingerprint.Request) { r.Credentials = []string{"", "k"} },
	} {
		other := request
		change(&other)
		g.Expect(fingerprint.Compute(other).Caller).NotTo(Equal(print.Caller), fmt.Sprint(other))
		g.Expect(fingerprint.Compute(other).Content).To(Equal(print.Content))
	}
}

func ExampleCompute() {
	fmt.Println(fingerprint.Compute(fingerprint.Request{Method: "GET", Host: "shop.example", URI: "/read/1", Address: "10.0.0.1"}))
	// Output: 81dc37d06d2dafb2-e1160ac46bc2e877
}

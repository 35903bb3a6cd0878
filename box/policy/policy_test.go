package policy_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/box/policy"
)

func TestPolicySuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policy")
}

const goodKinds = `"kinds":[{"name":"a"},{"name":"b","mode":"once"}]`

var _ = Describe("a policy", func() {
	It("names the kind of each request", func() {
		p, err := policy.ParsePolicy([]byte(`{"service":"s","program":"method == \"POST\" ? \"b\" : \"a\"",` + goodKinds + `}`))
		Expect(err).NotTo(HaveOccurred())
		kind, err := p.Classify(policy.Request{Method: "POST"})
		Expect(err).NotTo(HaveOccurred())
		Expect(kind.Mode).To(Equal(policy.Once))
	})

	It("reports a kind that the program names but the policy lacks", func() {
		p, err := policy.ParsePolicy([]byte(`{"service":"s","program":"path",` + goodKinds + `}`))
		Expect(err).NotTo(HaveOccurred())
		_, err = p.Classify(policy.Request{Path: "/x"})
		Expect(err).To(MatchError(ContainSubstring(`names kind "/x"`)))
	})

	DescribeTable("refuses what is wrong, and says where",
		func(document, want string) {
			_, err := policy.ParsePolicy([]byte(document))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("an unknown field", `{"service":"s","programme":"x"}`, "programme: found an unknown field"),
		Entry("bad JSON", "{\n\"service\": }", "line 2"),
		Entry("a wrong type", `{"service":7}`, "service: found number"),
		Entry("no kinds", `{"service":"s","program":"\"a\""}`, "kinds: found 0; allowed: 1 to 32 kinds"),
		Entry("a program that is no text", `{"service":"s","program":"1",`+goodKinds+`}`, "program:"),
		Entry("a loop", `{"service":"s","program":"map(1..9, \"a\")[0]",`+goodKinds+`}`, "program:"),
		Entry("an unknown name", `{"service":"s","program":"body",`+goodKinds+`}`, "program:"),
		Entry("a mode", `{"service":"s","program":"\"a\"","kinds":[{"name":"a","mode":"twice"}]}`, `kinds[0].mode: found "twice"; allowed: single, repeatable or once`),
		Entry("a hedge of what may not repeat", `{"service":"s","program":"\"a\"","kinds":[{"name":"a","hedge":true}]}`, "kinds[0].hedge"),
		Entry("two documents", `{"service":"s","program":"\"a\"",`+goodKinds+`} {}`, "more after the document"),
	)

	It("bounds the size of a program", func() {
		long := `path == "x"`
		for range 100 {
			long += ` || path == "x"`
		}
		_, err := policy.ParsePolicy([]byte(`{"service":"s","program":` + quoteJSON(`(`+long+`) ? "a" : "b"`) + `,` + goodKinds + `}`))
		Expect(err).To(MatchError(ContainSubstring("program:")))
	})
})

var _ = Describe("a service", func() {
	DescribeTable("refuses what is wrong, and says where",
		func(document, want string) {
			_, err := policy.ParseService([]byte(document))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("a host name", `{"name":"s","prefix":"/s","targets":[{"address":"host:80","hall":"a"}]}`, "targets[0].address"),
		Entry("an address twice", `{"name":"s","prefix":"/s","targets":[{"address":"10.0.0.1:80","hall":"a"},{"address":"10.0.0.1:80","hall":"a"}]}`, "each address once"),
		Entry("no targets", `{"name":"s","prefix":"/s"}`, "targets: found 0"),
		Entry("a name", `{"name":"S","prefix":"/s","targets":[{"address":"10.0.0.1:80","hall":"a"}]}`, "name:"),
		Entry("a budget", `{"name":"s","prefix":"/s","probe":{"budget_ms_per_s":-1},"targets":[{"address":"10.0.0.1:80","hall":"a"}]}`, "probe.budget_ms_per_s"),
	)
})

var _ = Describe("the examples", func() {
	It("are valid", func() {
		services, err := filepath.Glob("../../examples/*/*.service.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(services).To(HaveLen(6))
		for _, file := range services {
			raw, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, err = policy.ParseService(raw)
			Expect(err).NotTo(HaveOccurred(), file)
		}
		policies, err := filepath.Glob("../../examples/*/*.policy.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(policies).To(HaveLen(6))
		for _, file := range policies {
			raw, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, err = policy.ParsePolicy(raw)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})
})

func quoteJSON(s string) string {
	raw := []byte{'"'}
	for _, c := range []byte(s) {
		if c == '"' {
			raw = append(raw, '\\')
		}
		raw = append(raw, c)
	}
	return string(append(raw, '"'))
}

func FuzzParsePolicy(f *testing.F) {
	f.Add([]byte(`{"service":"s","program":"method == \"POST\" ? \"b\" : \"a\"",` + goodKinds + `}`))
	f.Add([]byte(`{"service":"s"`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := policy.ParsePolicy(raw)
		if err == nil {
			_, _ = p.Classify(policy.Request{Method: "GET", Path: "/"})
		}
	})
}

func FuzzParseService(f *testing.F) {
	f.Add([]byte(`{"name":"s","prefix":"/s","targets":[{"address":"10.0.0.1:80","hall":"a"}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := policy.ParseService(raw); err == nil && len(s.Targets) == 0 {
			t.Fatal("accepted a service without targets")
		}
	})
}

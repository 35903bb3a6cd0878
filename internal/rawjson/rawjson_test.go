package rawjson_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/rawjson"
)

type item struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Content json.RawMessage `json:"content"`
}

type page struct {
	Items []item `json:"items"`
	More  bool   `json:"more"`
}

func names(p page) (out []string) {
	for _, i := range p.Items {
		out = append(out, i.Metadata.Name)
	}
	return out
}

// Guards against a list of which nothing can be read because of one of its values.
func TestAnOddValueCostsOnlyItself(t *testing.T) {
	const deep = 10_001
	for name, c := range map[string]struct {
		odd  string
		kept bool // its content is for others to judge
	}{
		"nested lists":        {`{"metadata":{"name":"odd"},"content":` + strings.Repeat("[", deep) + strings.Repeat("]", deep) + `}`, true},
		"nested objects":      {`{"metadata":{"name":"odd"},"content":` + strings.Repeat(`{"a":`, deep) + "1" + strings.Repeat("}", deep) + `}`, true},
		"no value":            {`{"metadata":{"name":"odd"},"content":{"a":nothing}}`, true},
		"nested metadata":     {`{"metadata":` + strings.Repeat("[", deep) + strings.Repeat("]", deep) + `}`, false},
		"a number too large":  {`{"metadata":{"name":"odd","revision":1e400}}`, false},
		"another type":        {`{"metadata":{"name":7}}`, false},
		"no object":           {`"}],"`, false},
		"brackets in a text":  {`{"metadata":{"name":"odd"},"content":"\"]}{["}`, true},
		"bytes of no meaning": {"{\"metadata\":{\"name\":\"odd\"},\"content\":\"\xff\x00\"}", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			document := `{"items":[{"metadata":{"name":"a"}},` + c.odd + ` , {"metadata":{"name":"b"}}],"more":true}`
			var p page
			skipped, err := rawjson.Unmarshal([]byte(document), &p)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(p.More).To(BeTrue())
			if c.kept {
				g.Expect(names(p)).To(Equal([]string{"a", "odd", "b"}))
				g.Expect(skipped).To(BeEmpty())
				return
			}
			g.Expect(names(p)).To(Equal([]string{"a", "b"}))
			g.Expect(skipped).To(HaveLen(1))
		})
	}
}

func TestADocumentThatIsCutFails(t *testing.T) {
	document := `{"items":[{"metadata":{"name":"a","revision":12},"content":{"a":[1,"x"]}}],"more":true}`
	for n := range len(document) {
		var p page
		_, err := rawjson.Unmarshal([]byte(document[:n]), &p)
		NewWithT(t).Expect(err).To(HaveOccurred(), document[:n])
	}
}

// What encoding/json decodes is decoded alike.
func FuzzUnmarshal(f *testing.F) {
	for _, text := range []string{
		`{}`, `null`, `[]`, `7`, `{"items":null}`, `{"items":[]}`, ` { "items" : [ { "metadata" : { "name" : "a" } } ] } `,
		`{"items":[{"metadata":{"name":"\u0061\"","revision":7},"content":[1,{"a":"]"}]},{}],"more":false}`,
		`{"items":[1,2]}`, `{"items":[{},]}`, `{"more":tru}`, `{"a":1 "b":2}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		var want, got page
		wantErr := json.Unmarshal(document, &want)
		skipped, err := rawjson.Unmarshal(document, &got)
		if wantErr != nil || strings.ContainsFunc(string(document), func(r rune) bool { return r >= 'A' && r <= 'Z' }) {
			return // it may be more lenient, and does not fold names
		}
		if err != nil || len(skipped) > 0 {
			t.Fatalf("%q: %v, %v", document, err, skipped)
		}
		if !reflect.DeepEqual(normal(want), normal(got)) {
			t.Fatalf("%q: %v, want %v", document, got, want)
		}
	})
}

func normal(p page) page {
	if len(p.Items) == 0 {
		p.Items = nil
	}
	for i := range p.Items {
		if len(p.Items[i].Content) == 0 {
			p.Items[i].Content = nil
		}
	}
	return p
}

package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Problem is one fault in a document.
type Problem struct {
	// Path names the field, such as kinds[2].weight.
	Path string `json:"path"`
	// Found is what the document holds there.
	Found string `json:"found"`
	// Allowed says what may stand there.
	Allowed string `json:"allowed"`
}

// Problems is every fault found in a document.
type Problems []Problem

// Error lists the problems, one on a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = fmt.Sprintf("%s: found %s; allowed: %s", one.Path, one.Found, one.Allowed)
	}
	return strings.Join(lines, "\n")
}

// require notes a problem unless ok.
func (p *Problems) require(ok bool, path string, found any, allowed string) {
	if !ok {
		p.Add(path, found, allowed)
	}
}

// Add notes a problem.
func (p *Problems) Add(path string, found any, allowed string) {
	*p = append(*p, Problem{Path: path, Found: quote(found), Allowed: allowed})
}

func quote(found any) string {
	if s, ok := found.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(found)
}

func indexed(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}

// DecodeStrict reads one JSON document into v and refuses unknown fields,
// wrong types and trailing bytes; errors name the place.
func DecodeStrict(raw []byte, v any) error { return decodeStrict(raw, v) }

func decodeStrict(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return Problems{describe(raw, err, dec.InputOffset())}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Problems{{Path: position(raw, dec.InputOffset()), Found: "more after the document", Allowed: "one JSON document"}}
	}
	return nil
}

func describe(raw []byte, err error, offset int64) Problem {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		return Problem{Path: orDocument(typeErr.Field), Found: typeErr.Value, Allowed: typeErr.Type.String()}
	case errors.As(err, &syntaxErr):
		return Problem{Path: position(raw, syntaxErr.Offset), Found: syntaxErr.Error(), Allowed: "valid JSON"}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return Problem{Path: strings.Trim(name, `"`), Found: "an unknown field", Allowed: "the fields in docs/OPERATIONS.md"}
	}
	return Problem{Path: position(raw, offset), Found: err.Error(), Allowed: "one JSON document"}
}

func orDocument(field string) string {
	if field == "" {
		return "document"
	}
	return field
}

func position(raw []byte, offset int64) string {
	offset = min(max(offset, 0), int64(len(raw)))
	line := 1 + bytes.Count(raw[:offset], []byte("\n"))
	return fmt.Sprintf("line %d", line)
}

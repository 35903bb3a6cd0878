// Package rawjson decodes JSON documents that hold values of many writers, of which one odd
// value must not cost the others.
//
// Unlike package encoding/json it does not look into values that are decoded into a
// json.RawMessage, whatever their depth, and it skips elements of a list that can't be decoded.
// Fields of structs are found by their exact names.
//
// # Usage
//
//	var page struct{ Items []struct{ Content json.RawMessage } }
//	skipped, err := rawjson.Unmarshal(body, &page)
package rawjson

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"reflect"
	"strings"
)

var (
	rawMessage  = reflect.TypeFor[json.RawMessage]()
	unmarshaler = reflect.TypeFor[json.Unmarshaler]()
)

// Unmarshal decodes a document into the value that into points to. skipped holds an error for
// each element of a list that was left out.
func Unmarshal(document []byte, into any) (skipped []error, err error) {
	d := decoder{fields: map[reflect.Type]map[string]int{}}
	value := reflect.ValueOf(into)
	if value.Kind() != reflect.Pointer || value.IsNil() {
		return nil, json.Unmarshal(document, into) // which explains the error
	}
	err = d.decode(document, value.Elem())
	return d.skipped, err
}

// UnmarshalAndLog is Unmarshal that logs what was left out, if anything, with more attributes.
func UnmarshalAndLog(document []byte, into any, log *slog.Logger, message string, attributes ...any) error {
	skipped, err := Unmarshal(document, into)
	if len(skipped) > 0 {
		log.Error(message, append(attributes, "count", len(skipped), "first", skipped[0].Error())...)
	}
	return err
}

type decoder struct {
	skipped []error
	// fields are those of the structs that were met, since a list has many of one type.
	fields map[reflect.Type]map[string]int
}

func (d *decoder) decode(raw []byte, into reflect.Value) error {
	switch {
	case into.Type() == rawMessage:
		into.SetBytes(append([]byte(nil), raw...))
		return nil
	case into.Addr().Type().Implements(unmarshaler):
		return json.Unmarshal(raw, into.Addr().Interface())
	case into.Kind() == reflect.Struct && kindOf(raw) == '{':
		return d.decodeStruct(raw, into)
	case into.Kind() == reflect.Slice && kindOf(raw) == '[':
		return d.decodeSlice(raw, into)
	default:
		return json.Unmarshal(raw, into.Addr().Interface())
	}
}

func (d *decoder) decodeStruct(raw []byte, into reflect.Value) error {
	members, err := split(raw)
	if err != nil {
		return err
	}
	fields := d.fieldsOf(into.Type())
	for _, m := range members {
		var name string
		if err := json.Unmarshal(m.name, &name); err != nil {
			return err
		}
		index, ok := fields[name]
		if !ok {
			continue
		}
		if err := d.decode(m.value, into.Field(index)); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (d *decoder) decodeSlice(raw []byte, into reflect.Value) error {
	members, err := split(raw)
	if err != nil {
		return err
	}
	list := reflect.MakeSlice(into.Type(), 0, len(members))
	for i, m := range members {
		element := reflect.New(into.Type().Elem()).Elem()
		if err := d.decode(m.value, element); err != nil {
			d.skipped = append(d.skipped, fmt.Errorf("element %d: %w", i, err))
			continue
		}
		list = reflect.Append(list, element)
	}
	into.Set(list)
	return nil
}

// fieldsOf returns the index of each field that can be decoded, by its name in documents.
func (d *decoder) fieldsOf(t reflect.Type) map[string]int {
	if fields, ok := d.fields[t]; ok {
		return fields
	}
	fields := map[string]int{}
	for i := range t.NumField() {
		f := t.Field(i)
		if !f.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		fields[name] = i
	}
	d.fields[t] = fields
	return fields
}

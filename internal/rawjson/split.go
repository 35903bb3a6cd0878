package rawjson

import (
	"bytes"
	"errors"
)

var errMalformed = errors.New("malformed JSON")

// member is one element of a list, or one named value of an object. Both are slices of the
// document.
type member struct{ name, value []byte }

const blanks = " \t\r\n"

// kindOf returns the first byte of a value, which says of what kind it is; 0 for none.
func kindOf(raw []byte) byte {
	raw = bytes.TrimLeft(raw, blanks)
	if len(raw) == 0 {
		return 0
	}
	return raw[0]
}

// split returns the members of a list or an object, without looking into their values.
func split(raw []byte) (members []member, err error) {
	raw = bytes.Trim(raw, blanks)
	end := map[byte]byte{'{': '}', '[': ']'}[raw[0]]
	named := raw[0] == '{'
	if len(raw) < 2 || raw[len(raw)-1] != end {
		return nil, errMalformed
	}
	rest := bytes.Trim(raw[1:len(raw)-1], blanks)
	for len(rest) > 0 {
		var m member
		if m, rest, err = cut(rest, named); err != nil {
			return nil, err
		}
		members = append(members, m)
		if len(rest) == 0 {
			break
		}
		if rest[0] != ',' {
			return nil, errMalformed
		}
		if rest = bytes.TrimLeft(rest[1:], blanks); len(rest) == 0 {
			return nil, errMalformed
		}
	}
	return members, nil
}

// cut cuts the first member off.
func cut(raw []byte, named bool) (m member, rest []byte, err error) {
	if named {
		n := lengthOf(raw)
		if raw[0] != '"' || n < 0 {
			return m, nil, errMalformed
		}
		m.name, raw = raw[:n], bytes.TrimLeft(raw[n:], blanks)
		if len(raw) == 0 || raw[0] != ':' {
			return m, nil, errMalformed
		}
		raw = bytes.TrimLeft(raw[1:], blanks)
	}
	n := lengthOf(raw)
	if n <= 0 {
		return m, nil, errMalformed
	}
	m.value = raw[:n]
	return m, bytes.TrimLeft(raw[n:], blanks), nil
}

// lengthOf returns the length of the value at the beginning of raw, which ends with the quote
// or bracket that closes it, or before what separates it from the next; -1 if it is not closed.
func lengthOf(raw []byte) int {
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			length := lengthOfString(raw[i:])
			if length < 0 {
				return -1
			}
			i += length - 1
		case '{', '[':
			depth++
			continue
		case '}', ']':
			depth--
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i
			}
			continue
		default:
			if depth == 0 && i+1 < len(raw) { // a number or a word goes on
				continue
			}
		}
		if depth == 0 {
			return i + 1
		}
	}
	return -1
}

// lengthOfString returns the length of the text in quotes at the beginning of raw; -1 if it is
// not closed.
func lengthOfString(raw []byte) int {
	for i := 1; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}

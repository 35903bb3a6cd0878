package workspace

import "strings"

// whitespace may surround the parts of a header value.
const whitespace = " \t"

// Key extracts the key from the values of a request's Authorization header: a scheme in any
// case, followed by the key. ok is false if there is no value or more than one, if the scheme
// is another one, or if more than one value follows it. The function never picks one of
// several, since a proxy in front of this gateway may have picked another.
func Key(values []string, scheme string) (key string, ok bool) {
	if len(values) != 1 {
		return "", false
	}
	givenScheme, rest, _ := strings.Cut(strings.Trim(values[0], whitespace), " ")
	key = strings.Trim(rest, whitespace)
	if !strings.EqualFold(givenScheme, scheme) || key == "" || strings.ContainsAny(key, whitespace+",") {
		return "", false
	}
	return key, true
}

package workspace

import "strings"

// blanks may stand round the parts of a header's value.
const blanks = " \t"

// Key reads the key out of the values of a request's Authorization header, which names a
// scheme in any case and then the key. ok is false where there is no value or more than
// one, another scheme, or more than one value behind it: none of them may be picked, since
// whatever stands before this gateway may have picked another.
func Key(values []string, scheme string) (key string, ok bool) {
	if len(values) != 1 {
		return "", false
	}
	given, rest, _ := strings.Cut(strings.Trim(values[0], blanks), " ")
	key = strings.Trim(rest, blanks)
	if !strings.EqualFold(given, scheme) || key == "" || strings.ContainsAny(key, blanks+",") {
		return "", false
	}
	return key, true
}

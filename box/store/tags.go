package store

import (
	"net/http"
	"strconv"
	"strings"
)

// anyTag stands in a conditional update for an object that does not exist yet.
const anyTag = "*"

// Tag is a version as an entity tag (RFC 9110, 8.8.3).
func Tag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// ExpectedVersion is the version that a conditional update expects, 0 for an
// object that does not exist yet; false when the update names none.
func ExpectedVersion(h http.Header) (uint64, bool) {
	if h.Get("If-None-Match") == anyTag {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	return version, err == nil
}

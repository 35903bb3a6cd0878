package headers

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// retryAfterHeader asks the recipient of a response to wait before the next request (RFC 9110, 10.2.3).
const retryAfterHeader = "Retry-After"

// MaxRetryAfter is the longest duration that RetryAfter returns.
const MaxRetryAfter = 365 * 24 * time.Hour

var errRetryAfter = errors.New("Retry-After must be a non-negative number of seconds or an HTTP date")

// RetryAfter returns the time for which the sender of a response asks to receive no requests, or 0 if
// there is no Retry-After header. Fractions of a second are accepted. A date is relative to the
// response's Date header, or to now if it has none. Of several values the longest applies. RetryAfter
// returns an error if there are values but none can be parsed.
func RetryAfter(h http.Header, now time.Time) (longest time.Duration, err error) {
	parsed := false
	for _, value := range h.Values(retryAfterHeader) {
		d, valueErr := parseRetryAfter(strings.TrimSpace(value), responseDate(h, now))
		if valueErr != nil {
			err = valueErr
			continue
		}
		parsed = true
		longest = max(longest, d)
	}
	if parsed {
		return longest, nil
	}
	return 0, err
}

// BackOff returns the time for which a target asks to receive no requests, or 0 if it does not ask. Only
// a 503 applies to the target as a whole: a 429 may apply only to the caller that sent the request. It
// returns an error in the same cases as RetryAfter.
func BackOff(r *http.Response, now time.Time) (time.Duration, error) {
	if r.StatusCode != http.StatusServiceUnavailable {
		return 0, nil
	}
	return RetryAfter(r.Header, now)
}

// responseDate returns when a response was sent by its sender's clock, which may differ from the local
// one; now if the response has no valid Date header.
func responseDate(h http.Header, now time.Time) time.Time {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		return at
	}
	return now
}

func parseRetryAfter(value string, sent time.Time) (time.Duration, error) {
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
			return 0, fmt.Errorf("%w: %q", errRetryAfter, value)
		}
		return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)), nil
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, fmt.Errorf("%w: %q", errRetryAfter, value)
	}
	return min(max(at.Sub(sent), 0), MaxRetryAfter), nil
}

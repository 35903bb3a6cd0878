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

// retryAfter is the header by which the sender of an answer asks for a pause (RFC 9110, 10.2.3).
const retryAfter = "Retry-After"

// MaxRetryAfter is the longest time that RetryAfter returns.
const MaxRetryAfter = 365 * 24 * time.Hour

var errRetryAfter = errors.New("Retry-After must be a number of seconds that is not negative, or a date")

// RetryAfter reads how long the sender of an answer asks to be sent nothing; 0 if it does not ask.
// Fractions of a second are taken, too. A date counts from the answer's own Date, or from now where
// it has none. Of several values the longest holds; it fails if there are any and none can be read.
func RetryAfter(h http.Header, now time.Time) (longest time.Duration, err error) {
	read := false
	for _, value := range h.Values(retryAfter) {
		d, valueErr := parseRetryAfter(strings.TrimSpace(value), sentAt(h, now))
		if valueErr != nil {
			err = valueErr
			continue
		}
		read = true
		longest = max(longest, d)
	}
	if read {
		return longest, nil
	}
	return 0, err
}

// BackOff reads how long a target asks to be sent nothing by its answer; 0 if it does not ask. Only a 503
// speaks of the target: a 429 may be of the one caller whose request it was. It fails like RetryAfter.
func BackOff(r *http.Response, now time.Time) (time.Duration, error) {
	if r.StatusCode != http.StatusServiceUnavailable {
		return 0, nil
	}
	return RetryAfter(r.Header, now)
}

// sentAt is when an answer was sent by its sender's clock, which may differ from this one.
func sentAt(h http.Header, now time.Time) time.Time {
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

package headers_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/internal/headers"
)

func TestRetryAfterAcceptsSecondsAndDatesUpToTheMaximum(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	at := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	for name, c := range map[string]struct {
		values []string
		date   string
		want   time.Duration
		fails  bool
	}{
		"no header":                          {},
		"seconds":                            {values: []string{"3"}, want: 3 * time.Second},
		"a fraction":                         {values: []string{"0.25"}, want: 250 * time.Millisecond},
		"surrounding spaces":                 {values: []string{" 2 "}, want: 2 * time.Second},
		"zero":                               {values: []string{"0"}},
		"a date":                             {values: []string{at(5 * time.Second)}, want: 5 * time.Second},
		"a date relative to the Date header": {values: []string{at(-55 * time.Second)}, date: at(-time.Minute), want: 5 * time.Second},
		"a date that has passed":             {values: []string{at(-time.Second)}},
		"the longest of several":             {values: []string{"1", "4", "2"}, want: 4 * time.Second},
		"one valid value of several":         {values: []string{"soon", "4"}, want: 4 * time.Second},
		"more than a year":                   {values: []string{"1e300"}, want: headers.MaxRetryAfter},
		"a date in a thousand years":         {values: []string{"Fri, 03 Dec 3026 09:00:00 GMT"}, want: headers.MaxRetryAfter},
		"negative":                           {values: []string{"-1"}, fails: true},
		"out of range of float64":            {values: []string{"1e400"}, fails: true},
		"infinite":                           {values: []string{"Inf"}, fails: true},
		"not a number":                       {values: []string{"NaN"}, fails: true},
		"text":                               {values: []string{"in a while"}, fails: true},
		"empty":                              {values: []string{""}, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := http.Header{"Retry-After": c.values}
			if c.date != "" {
				h.Set("Date", c.date)
			}
			got, err := headers.RetryAfter(h, now)
			g.Expect(got).To(Equal(c.want))
			g.Expect(err != nil).To(Equal(c.fails))
		})
	}
}

func FuzzRetryAfter(f *testing.F) {
	for _, seed := range []string{"3", "0.25", "-1", "1e400", "Thu, 03 Dec 2026 09:00:05 GMT", "NaN", ""} {
		f.Add(seed, seed)
	}
	f.Fuzz(func(t *testing.T, value, date string) {
		h := http.Header{"Retry-After": {value}, "Date": {date}}
		got, err := headers.RetryAfter(h, time.Unix(0, 0))
		if got < 0 || got > headers.MaxRetryAfter || err != nil && got != 0 {
			t.Errorf("%v, %v", got, err)
		}
	})
}

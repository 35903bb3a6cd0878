package upstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/load"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
)

// maxWarmup bounds how much longer a target may say that it warms up.
const maxWarmup = time.Hour

// errWrongInstance means that another target answered at the address.
var errWrongInstance = errors.New("another target answered the health check")

// Health is a target's answer to a health check.
type Health struct {
	healthy bool
	load    load.Report
	hasLoad bool
	warmup  time.Duration
	took    time.Duration
}

// Healthy reports whether the target answered with status 200.
func (h Health) Healthy() bool { return h.healthy }

// Warmup returns how much longer the target warms up; 0 if it does not.
func (h Health) Warmup() time.Duration { return h.warmup }

// Took returns the time from the request to the answer.
func (h Health) Took() time.Duration { return h.took }

// Load returns the load that the target reported; ok is false if it reported none.
func (h Health) Load() (report load.Report, ok bool) { return h.load, h.hasLoad }

// Probe asks the target for its health and load, within timeout. If the gate returns an error,
// nothing is written and Probe fails with this *verdict.Error.
func (c *Conn) Probe(path string, timeout time.Duration) (Health, error) {
	if failure := c.pool.gate(c.target.Life()); failure != nil {
		return Health{}, failure
	}
	c.exchanges++
	c.reusable = false
	if err := c.net.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Health{}, err
	}
	start := c.pool.options.Clock()
	request := "GET " + path + " HTTP/1.1\r\nHost: " + c.target.Address + "\r\n\r\n"
	if _, err := io.WriteString(c.net, request); err != nil {
		return Health{}, err
	}
	response, err := c.net.ReadAnswer(c.reader, http.MethodGet)
	if err != nil {
		return Health{}, err
	}
	if err := c.discardBody(response); err != nil {
		return Health{}, err
	}
	names := c.pool.options.Names
	if id := response.Header.Get(names.Instance); id != "" && id != c.target.ID {
		return Health{}, errWrongInstance
	}
	if response.Header.Get(names.RequestID) != "" {
		c.observeAnswer(response)
		return Health{}, errTooManySurplus
	}
	c.observeHead(response, quota.SourceProbe)
	c.learnIdleTimeout(response.Header)
	c.reusable = c.net.SetDeadline(time.Time{}) == nil && isSelfDelimited(response) && c.reader.Buffered() == 0
	return c.parseHealth(response, start), nil
}

// parseHealth reads a target's answer to a health check that was sent at start.
func (c *Conn) parseHealth(response *http.Response, start time.Time) Health {
	names, now := c.pool.options.Names, c.pool.options.Clock()
	h := Health{healthy: response.StatusCode == http.StatusOK, took: now.Sub(start)}
	if text := response.Header.Get(names.Load); text != "" {
		report, err := load.Parse(text, now)
		if err != nil {
			c.pool.options.Log.Warn("invalid load report of a target ignored", "target", c.target.ID, "error", err.Error())
		}
		h.load, h.hasLoad = report, err == nil
	}
	if ms, err := strconv.ParseFloat(response.Header.Get(names.Warmup), 64); err == nil && ms > 0 {
		h.warmup = time.Duration(min(ms*float64(time.Millisecond), float64(maxWarmup)))
	}
	return h
}

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

// errNotItself says that another target answered.
var errNotItself = errors.New("another target answered the health check")

// Health is what a target says of itself.
type Health struct {
	healthy bool
	load    load.Report
	hasLoad bool
	warmup  time.Duration
	took    time.Duration
}

// Healthy says whether the target answered that it is well.
func (h Health) Healthy() bool { return h.healthy }

// Warmup is for how much longer the target is cold; 0 for not.
func (h Health) Warmup() time.Duration { return h.warmup }

// Took is the time from the question to the answer.
func (h Health) Took() time.Duration { return h.took }

// Load is the load that the target reported; ok is false if it reported none.
func (h Health) Load() (report load.Report, ok bool) { return h.load, h.hasLoad }

// Probe asks the target for its health and load; it ends within the given time. It fails with a
// *verdict.Error, and with nothing written, where the gate is closed.
func (c *Conn) Probe(path string, within time.Duration) (Health, error) {
	if failure := c.pool.gate(c.target.Life()); failure != nil {
		return Health{}, failure
	}
	c.exchanges++
	c.reusable = false
	if err := c.net.SetDeadline(time.Now().Add(within)); err != nil {
		return Health{}, err
	}
	began := c.pool.options.Clock()
	request := "GET " + path + " HTTP/1.1\r\nHost: " + c.target.Address + "\r\n\r\n"
	if _, err := io.WriteString(c.net, request); err != nil {
		return Health{}, err
	}
	response, err := c.readHead(http.MethodGet)
	if err != nil {
		return Health{}, err
	}
	if err := c.drop(response); err != nil {
		return Health{}, err
	}
	names := c.pool.options.Names
	if id := response.Header.Get(names.Instance); id != "" && id != c.target.ID {
		return Health{}, errNotItself
	}
	if response.Header.Get(names.RequestID) != "" {
		c.observeRequest(response)
		return Health{}, errSurplus
	}
	c.observeHead(response, quota.SourceProbe)
	c.learnIdle(response.Header)
	c.reusable = c.net.SetDeadline(time.Time{}) == nil && isFramed(response) && c.reader.Buffered() == 0
	return c.healthOf(response, began), nil
}

// healthOf reads a target's answer to a question that was asked at began.
func (c *Conn) healthOf(response *http.Response, began time.Time) Health {
	names, now := c.pool.options.Names, c.pool.options.Clock()
	h := Health{healthy: response.StatusCode == http.StatusOK, took: now.Sub(began)}
	if report, err := load.Parse(response.Header.Get(names.Load), now); err == nil {
		h.load, h.hasLoad = report, true
	}
	if ms, err := strconv.ParseFloat(response.Header.Get(names.Warmup), 64); err == nil && ms > 0 {
		h.warmup = time.Duration(ms * float64(time.Millisecond))
	}
	return h
}

package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/load"
)

// errNotItself says that another target answered.
var errNotItself = errors.New("another target answered the health check")

// Health is what a target says of itself.
type Health struct {
	// Healthy says whether it answered that it is well.
	Healthy bool
	// Load is its load, where HasLoad says that it reported one.
	Load    load.Report
	HasLoad bool
}

// Probe asks the target for its health and load; it ends within the given time.
func (c *Conn) Probe(path string, within time.Duration) (Health, error) {
	c.exchanges++
	c.reusable = false
	if err := c.net.SetDeadline(time.Now().Add(within)); err != nil {
		return Health{}, err
	}
	request := "GET " + path + " HTTP/1.1\r\nHost: " + c.target.Address + "\r\n\r\n"
	if _, err := io.WriteString(c.net, request); err != nil {
		return Health{}, err
	}
	response, _, err := c.readOne(http.MethodGet)
	if err != nil {
		return Health{}, err
	}
	names := c.pool.options.Names
	if id := response.Header.Get(names.Instance); id != "" && id != c.target.ID {
		return Health{}, errNotItself
	}
	if response.Header.Get(names.RequestID) != "" {
		return Health{}, errSurplus
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	c.learnIdle(response.Header)
	c.reusable = c.net.SetDeadline(time.Time{}) == nil && framed && !response.Close && c.reader.Buffered() == 0
	h := Health{Healthy: response.StatusCode == http.StatusOK}
	if report, err := load.Parse(response.Header.Get(names.Load), c.pool.options.Clock()); err == nil {
		h.Load, h.HasLoad = report, true
	}
	return h, nil
}

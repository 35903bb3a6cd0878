package upstream

import (
	"net/http"
	"strconv"

	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/headers"
)

// observeRequest is observeHead of an answer to a request, be it one that nobody waits for any
// more. Another target at the address answers that it is misdirected.
func (c *Conn) observeRequest(response *http.Response) signal.Signals {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return signal.Signals{}
	}
	return c.observeHead(response, quota.SourceAnswer)
}

// observeHead reports what the head of an answer says of the target, also where its body breaks off.
func (c *Conn) observeHead(response *http.Response, via quota.Source) signal.Signals {
	c.observeLimit(response, via)
	s := c.signals(response)
	if !s.IsZero() {
		c.pool.observe(c.target, s)
	}
	return s
}

// observeLimit reports what the head of an answer says of the target's limit. A failed request that names
// none says nothing: its answer may be of a part of the target that knows of no limit.
func (c *Conn) observeLimit(response *http.Response, via quota.Source) {
	values := response.Header.Values(c.pool.options.Names.Limit)
	failed := response.StatusCode >= http.StatusMultipleChoices
	if via == quota.SourceAnswer && failed && len(values) == 0 {
		return
	}
	c.pool.limit(c.target.Life(), via, values)
}

// signals reads the head of an answer.
func (c *Conn) signals(response *http.Response) (s signal.Signals) {
	o := c.pool.options
	backOff, err := headers.BackOff(response, o.Clock())
	if err != nil {
		o.Log.Warn("back-off of a target passed over", "target", c.target.ID, "error", err.Error())
	}
	s.BackOff = backOff
	if value := response.Header.Get(o.Names.Leaving); value != "" {
		leaving, err := strconv.ParseBool(value)
		if err != nil {
			o.Log.Warn("header of a target passed over", "target", c.target.ID, "header", o.Names.Leaving, "value", value, "error", err.Error())
		}
		s.Leaving = leaving
	}
	return s
}

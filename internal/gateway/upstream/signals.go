package upstream

import (
	"net/http"
	"strconv"

	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/headers"
)

// observeRequest is observeHead of an answer to a request, be it one that nobody waits for any
// more. Another target at the address answers that it is misdirected.
func (c *Conn) observeRequest(response *http.Response) signal.Signals {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return signal.Signals{}
	}
	return c.observeHead(response)
}

// observeHead reports what the head of an answer says of the target, also where its body breaks off.
func (c *Conn) observeHead(response *http.Response) signal.Signals {
	s := c.signals(response)
	if !s.IsZero() {
		c.pool.observe(c.target, s)
	}
	return s
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

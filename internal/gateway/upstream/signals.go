package upstream

import (
	"net/http"
	"strconv"

	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/headers"
)

// observeAnswer calls observeHead for the answer to a request, also to one that has already
// ended. It skips a 421: that is how another target at the same address answers.
func (c *Conn) observeAnswer(response *http.Response) signal.Signals {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return signal.Signals{}
	}
	return c.observeHead(response, quota.SourceAnswer)
}

// observeHead reports the signals in the head of an answer, even if its body breaks off later.
func (c *Conn) observeHead(response *http.Response, source quota.Source) signal.Signals {
	c.observeLimit(response, source)
	s := c.parseSignals(response)
	if !s.IsZero() {
		c.pool.observeSignals(c.target, s)
	}
	return s
}

// observeLimit reports the limit that the head of an answer advertises, or that there is none. A failed
// answer without a limit is ignored: it may come from a part of the target that does not know the limit.
func (c *Conn) observeLimit(response *http.Response, source quota.Source) {
	values := response.Header.Values(c.pool.options.Names.Limit)
	failed := response.StatusCode >= http.StatusMultipleChoices
	if source == quota.SourceAnswer && failed && len(values) == 0 {
		return
	}
	c.pool.observeLimit(c.target.Life(), source, values)
}

// parseSignals reads the back-off and leaving signals in the head of an answer.
func (c *Conn) parseSignals(response *http.Response) (s signal.Signals) {
	o := c.pool.options
	backOff, err := headers.BackOff(response, o.Clock())
	if err != nil {
		o.Log.Warn("invalid back-off of a target ignored", "target", c.target.ID, "error", err.Error())
	}
	s.BackOff = backOff
	if value := response.Header.Get(o.Names.Leaving); value != "" {
		leaving, err := strconv.ParseBool(value)
		if err != nil {
			o.Log.Warn("invalid header of a target ignored", "target", c.target.ID, "header", o.Names.Leaving, "value", value, "error", err.Error())
		}
		s.Leaving = leaving
	}
	return s
}

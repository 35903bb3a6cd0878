package gateway

import (
	"net"

	"github.com/gravitational/trace"
)

// listeners are the sockets of a gateway.
type listeners struct {
	clients, ready, peers net.Listener
	metrics               net.Listener // nil if metrics are not served
}

// open opens the sockets without which a gateway can't work.
func (l *listeners) open(s Settings) error {
	for _, one := range []struct {
		address string
		set     *net.Listener
	}{
		{s.Listen, &l.clients},
		{s.ReadyListen, &l.ready},
		{s.PeerListen, &l.peers},
	} {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			l.close()
			return trace.Wrap(err, "address %s of gateway %s cannot be used; is another process on it?", one.address, s.ID)
		}
		*one.set = listener
	}
	return nil
}

// listenMetrics opens the socket of the metrics. A port that is taken is no
// reason not to serve clients.
func (g *Gateway) listenMetrics(s Settings) {
	if s.MetricsListen == "" {
		return
	}
	var err error
	if g.listeners.metrics, err = net.Listen("tcp", s.MetricsListen); err != nil {
		g.log.Error("metrics are not served", "metrics_listen", s.MetricsListen, "error", err.Error())
	}
}

// close closes the sockets that are open; the process does not start, so that
// nothing depends on how that goes.
func (l *listeners) close() {
	for _, one := range []net.Listener{l.clients, l.ready, l.peers, l.metrics} {
		if one != nil {
			_ = one.Close()
		}
	}
}

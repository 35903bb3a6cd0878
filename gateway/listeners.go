package gateway

import (
	"net"

	"github.com/gravitational/trace"
)

// listeners are the sockets of a gateway.
type listeners struct {
	clients, ready, peers net.Listener
	metrics               net.Listener // nil if metrics are not served
	relay                 net.Listener // nil if no requests are relayed
}

// open opens the sockets that a gateway requires.
func (l *listeners) open(s Settings) error {
	for _, spec := range []struct {
		address string
		set     *net.Listener
	}{
		{s.Listen, &l.clients},
		{s.ReadyListen, &l.ready},
		{s.PeerListen, &l.peers},
	} {
		listener, err := net.Listen("tcp", spec.address)
		if err != nil {
			l.close()
			return trace.Wrap(err, "address %s of gateway %s cannot be used; is another process using it?", spec.address, s.ID)
		}
		*spec.set = listener
	}
	return nil
}

// listenMetrics opens the socket of the metrics. The gateway serves clients even if
// that port is in use.
func (g *Gateway) listenMetrics(s Settings) {
	if s.MetricsListen == "" {
		return
	}
	var err error
	if g.listeners.metrics, err = net.Listen("tcp", s.MetricsListen); err != nil {
		g.log.Error("metrics are not served", "metrics_listen", s.MetricsListen, "error", err.Error())
	}
}

// listenRelay opens the socket for requests of other gateways. The gateway serves clients even
// if that port is in use.
func (g *Gateway) listenRelay(s Settings) {
	if s.RelayListen == "" {
		return
	}
	var err error
	if g.listeners.relay, err = net.Listen("tcp", s.RelayListen); err != nil {
		g.log.Error("no requests are relayed", "relay_listen", s.RelayListen, "error", err.Error())
	}
}

// close closes the open sockets. Errors are ignored, since the process fails to start
// anyway.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.clients, l.ready, l.peers, l.metrics, l.relay} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

package metrics

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// gauges are the instruments that show the current State at each scrape.
type gauges struct {
	version, evacuated, crossRegion, active, held, quarantined, limited, backingOff, leaving metric.Int64ObservableGauge
	age, roundTrip                                                                           metric.Float64ObservableGauge
	dropped                                                                                  metric.Int64ObservableCounter
}

// observe registers the gauges; state is called at each scrape.
func observe(meter metric.Meter, state func() State) error {
	g := &gauges{}
	if err := g.make(meter); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		g.observe(o, state())
		return nil
	}, g.version, g.age, g.evacuated, g.crossRegion, g.roundTrip, g.active, g.held, g.quarantined, g.limited, g.backingOff, g.leaving, g.dropped)
	return err
}

func (g *gauges) make(meter metric.Meter) (err error) {
	if err := g.makeInts(meter); err != nil {
		return err
	}
	if err := g.makeFloats(meter); err != nil {
		return err
	}
	g.dropped, err = meter.Int64ObservableCounter("sprucecrank.gateway.log.dropped", metric.WithDescription("Log lines dropped because of the rate limit or a full buffer."))
	return err
}

func (g *gauges) makeInts(meter metric.Meter) (err error) {
	for _, i := range []struct {
		set  *metric.Int64ObservableGauge
		name string
		unit string
		help string
	}{
		{&g.version, "sprucecrank.gateway.config.version", "", "Version of the configuration in force."},
		{&g.evacuated, "sprucecrank.gateway.halls.evacuated", "", "Evacuated halls, whose targets get no requests, as confirmed config.age ago."},
		{&g.crossRegion, "sprucecrank.gateway.services.far", "", "Services with requests that are now sent to other regions."},
		{&g.active, "sprucecrank.gateway.requests.active", "", "Requests in flight."},
		{&g.quarantined, "sprucecrank.gateway.requests.quarantined", "", "Quarantined requests, which are sent to no target because targets end while serving them; counted by content and caller."},
		{&g.limited, "sprucecrank.gateway.targets.limited", "", "Targets known to advertise a limit of requests per second."},
		{&g.backingOff, "sprucecrank.gateway.targets.backing_off", "", "Targets that get no requests because they asked this gateway for back-off."},
		{&g.leaving, "sprucecrank.gateway.targets.leaving", "", "Targets known to be leaving."},
		{&g.held, "sprucecrank.gateway.answers.held", "By", "Bytes of answers held in memory on their way to clients."},
	} {
		if *i.set, err = meter.Int64ObservableGauge(i.name, metric.WithUnit(i.unit), metric.WithDescription(i.help)); err != nil {
			return err
		}
	}
	return nil
}

// makeFloats creates the gauges of durations, in seconds.
func (g *gauges) makeFloats(meter metric.Meter) (err error) {
	for _, f := range []struct {
		set  *metric.Float64ObservableGauge
		name string
		help string
	}{
		{&g.age, "sprucecrank.gateway.config.age", "Time since the configuration was last confirmed to be the newest."},
		{&g.roundTrip, "sprucecrank.gateway.region.trip", "Lowest recent round trip time to each region, from connections and probes."},
	} {
		if *f.set, err = meter.Float64ObservableGauge(f.name, metric.WithUnit("s"), metric.WithDescription(f.help)); err != nil {
			return err
		}
	}
	return nil
}

func (g *gauges) observe(o metric.Observer, state State) {
	o.ObserveInt64(g.version, int64(state.ConfigVersion))
	o.ObserveFloat64(g.age, state.ConfigAge)
	o.ObserveInt64(g.evacuated, int64(state.EvacuatedHalls))
	o.ObserveInt64(g.crossRegion, int64(state.CrossRegionServices))
	for region, roundTrip := range state.RoundTrips {
		o.ObserveFloat64(g.roundTrip, roundTrip.Seconds(), metric.WithAttributes(attribute.String("region", region)))
	}
	o.ObserveInt64(g.active, state.Active)
	o.ObserveInt64(g.held, state.AnswerBytes)
	o.ObserveInt64(g.quarantined, int64(state.Quarantined))
	o.ObserveInt64(g.limited, state.LimitedTargets)
	o.ObserveInt64(g.backingOff, int64(state.BackingOff))
	o.ObserveInt64(g.leaving, int64(state.Leaving))
	o.ObserveInt64(g.dropped, int64(state.LogDropped))
}

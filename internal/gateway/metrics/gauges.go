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
	g.dropped, err = meter.Int64ObservableCounter("sprucecrank.gateway.log.dropped", metric.WithDescription("Log lines that found no room."))
	return err
}

func (g *gauges) makeInts(meter metric.Meter) (err error) {
	for _, i := range []struct {
		set  *metric.Int64ObservableGauge
		name string
		unit string
		help string
	}{
		{&g.version, "sprucecrank.gateway.config.version", "", "The configuration's version in force."},
		{&g.evacuated, "sprucecrank.gateway.halls.evacuated", "", "Halls whose targets get nothing since they are evacuated, by what was confirmed config.age ago."},
		{&g.crossRegion, "sprucecrank.gateway.services.far", "", "Services with requests that go to other regions now."},
		{&g.active, "sprucecrank.gateway.requests.active", "", "Requests under way."},
		{&g.quarantined, "sprucecrank.gateway.requests.quarantined", "", "Requests that are sent to nobody since targets end under them, by content and caller."},
		{&g.limited, "sprucecrank.gateway.targets.limited", "", "Targets that are known to name how many requests a second they take."},
		{&g.backingOff, "sprucecrank.gateway.targets.backing_off", "", "Targets that are sent nothing since they asked this gateway for back-off."},
		{&g.leaving, "sprucecrank.gateway.targets.leaving", "", "Targets that are known to leave."},
		{&g.held, "sprucecrank.gateway.answers.held", "By", "Bytes that are held of answers on their way to clients."},
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
		{&g.age, "sprucecrank.gateway.config.age", "How long ago the configuration was confirmed to be the newest."},
		{&g.roundTrip, "sprucecrank.gateway.region.trip", "Lowest time there and back to each region that connections and probes took lately."},
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

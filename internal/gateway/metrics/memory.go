package metrics

import (
	"context"
	"runtime/metrics"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// memoryGauges show what the process holds in memory for its callers.
type memoryGauges struct {
	held, peak, process, limit, waiting metric.Int64ObservableGauge
	holds, waits, refusals              metric.Int64ObservableCounter
	heldFor                             metric.Float64ObservableCounter
}

// observeMemory registers the gauges of memory; state is called at each scrape.
func observeMemory(meter metric.Meter, state func() State) error {
	g := &memoryGauges{}
	if err := g.make(meter); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		g.observe(o, state())
		return nil
	}, g.held, g.peak, g.process, g.limit, g.waiting, g.holds, g.waits, g.refusals, g.heldFor)
	return err
}

func (g *memoryGauges) make(meter metric.Meter) (err error) {
	for _, i := range []struct {
		set  *metric.Int64ObservableGauge
		name string
		unit string
		help string
	}{
		{&g.held, "sprucecrank.gateway.memory.held", "By", "Bytes held for callers, by what holds them."},
		{&g.peak, "sprucecrank.gateway.memory.peak", "By", "Most bytes that were held for callers at once, by what held them."},
		{&g.process, "sprucecrank.gateway.memory.process", "By", "Bytes of memory that the Go runtime uses."},
		{&g.limit, "sprucecrank.gateway.memory.limit", "By", "Bytes that may be held for callers."},
		{&g.waiting, "sprucecrank.gateway.memory.waiting", "", "Bodies that wait for room now."},
	} {
		if *i.set, err = meter.Int64ObservableGauge(i.name, metric.WithUnit(i.unit), metric.WithDescription(i.help)); err != nil {
			return err
		}
	}
	for _, c := range []struct {
		set  *metric.Int64ObservableCounter
		name string
		help string
	}{
		{&g.holds, "sprucecrank.gateway.memory.holds", "How often bytes were held for callers, by what held them."},
		{&g.waits, "sprucecrank.gateway.memory.waits", "Bodies that waited for room."},
		{&g.refusals, "sprucecrank.gateway.memory.refusals", "Bodies with an announced length that found no room."},
	} {
		if *c.set, err = meter.Int64ObservableCounter(c.name, metric.WithDescription(c.help)); err != nil {
			return err
		}
	}
	g.heldFor, err = meter.Float64ObservableCounter("sprucecrank.gateway.memory.held.duration", metric.WithUnit("s"),
		metric.WithDescription("For how long bytes were held for callers, all holds together, by what held them."))
	return err
}

func (g *memoryGauges) observe(o metric.Observer, state State) {
	for holder, usage := range state.Memory {
		by := metric.WithAttributes(attribute.String("holder", holder.String()))
		o.ObserveInt64(g.held, usage.Held(), by)
		o.ObserveInt64(g.peak, usage.Peak(), by)
		o.ObserveInt64(g.holds, int64(usage.Holds()), by)
		o.ObserveFloat64(g.heldFor, usage.HeldFor().Seconds(), by)
	}
	o.ObserveInt64(g.process, processMemory())
	counts := state.MemoryCounts
	o.ObserveInt64(g.limit, counts.Limit())
	o.ObserveInt64(g.waiting, int64(counts.Waiting()))
	o.ObserveInt64(g.waits, int64(counts.Waits()))
	o.ObserveInt64(g.refusals, int64(counts.Refusals()))
}

// processMemory returns the bytes that the Go runtime has mapped and not given back.
func processMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

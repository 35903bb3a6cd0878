package catalog

// Evacuation is an operator's order to send nothing more to the targets of a hall.
type Evacuation struct{ Hall string }

// EvacuationChange is the start or end of one evacuation at one revision of the store; Gone
// means that the hall is back in service.
type EvacuationChange struct {
	Revision   uint64
	Evacuation Evacuation
	Gone       bool
}

// Evacuations lists the evacuations by hall.
func (c *Catalog) Evacuations() []Evacuation { return c.evacuations.list() }

// IsEvacuated reports whether a hall is evacuated.
func (c *Catalog) IsEvacuated(hall string) bool {
	_, evacuated := c.evacuations.entries[hall]
	return evacuated
}

// ReplaceEvacuations applies the complete list of evacuations as the store held it at a
// revision, unless that is older than the known one. From a store that was restored from an
// older copy it adds no evacuation that is unknown here.
func (c *Catalog) ReplaceEvacuations(revision uint64, evacuations []Evacuation) bool {
	entries := byHall(evacuations)
	if c.evacuations.isRewound(revision) {
		entries = c.evacuations.mergeOlderCopy(entries)
	}
	return c.evacuations.replace(revision, entries)
}

// AdvanceEvacuations applies the changes of evacuations up to a revision.
func (c *Catalog) AdvanceEvacuations(revision uint64, changes []EvacuationChange) bool {
	converted := make([]entryChange[Evacuation], 0, len(changes))
	for _, change := range changes {
		converted = append(converted, entryChange[Evacuation]{
			revision: change.Revision, id: change.Evacuation.Hall, entry: change.Evacuation, gone: change.Gone,
		})
	}
	return c.evacuations.advance(revision, converted, func(e Evacuation) (Evacuation, bool) { return e, true })
}

func byHall(evacuations []Evacuation) map[string]Evacuation {
	out := make(map[string]Evacuation, len(evacuations))
	for _, e := range evacuations {
		out[e.Hall] = e
	}
	return out
}

// addEvacuations adds all evacuations if one of them changed since a revision.
func (c *Catalog) addEvacuations(d *Delta, from uint64) {
	if from >= c.evacuations.known {
		d.To.Evacuations = from
		return
	}
	if from < c.evacuations.changed {
		d.HasEvacuations, d.Evacuations = true, c.Evacuations()
	}
}

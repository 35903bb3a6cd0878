package catalog

// Evacuation is an operator's request that nothing more be sent to the targets of a
// hall.
type Evacuation struct{ Hall string }

// EvacuationChange is one evacuation at one revision of the store; it is gone once the
// hall is taken back.
type EvacuationChange struct {
	Revision   uint64
	Evacuation Evacuation
	Gone       bool
}

// Evacuations lists the evacuations by hall.
func (c *Catalog) Evacuations() []Evacuation { return c.evacuations.list() }

// IsEvacuated says whether a hall is evacuated.
func (c *Catalog) IsEvacuated(hall string) bool {
	_, evacuated := c.evacuations.entries[hall]
	return evacuated
}

// ReplaceEvacuations takes in all evacuations as the store held them at a revision, if that
// is not older than what is held. Of one that has come back from an older copy it takes in
// nothing that is not known.
func (c *Catalog) ReplaceEvacuations(revision uint64, evacuations []Evacuation) bool {
	entries := byHall(evacuations)
	if c.evacuations.rewound(revision) {
		entries = c.evacuations.reconcile(entries)
	}
	return c.evacuations.replace(revision, entries)
}

// AdvanceEvacuations takes in the changes of evacuations up to a revision.
func (c *Catalog) AdvanceEvacuations(revision uint64, changes []EvacuationChange) bool {
	made := make([]entryChange[Evacuation], 0, len(changes))
	for _, change := range changes {
		made = append(made, entryChange[Evacuation]{
			revision: change.Revision, id: change.Evacuation.Hall, entry: change.Evacuation, gone: change.Gone,
		})
	}
	return c.evacuations.advance(revision, made, func(e Evacuation) (Evacuation, bool) { return e, true })
}

func byHall(evacuations []Evacuation) map[string]Evacuation {
	out := make(map[string]Evacuation, len(evacuations))
	for _, e := range evacuations {
		out[e.Hall] = e
	}
	return out
}

// addEvacuations adds what a gateway lacks that knows the evacuations up to a revision.
func (c *Catalog) addEvacuations(d *Delta, from uint64) {
	if from >= c.evacuations.known {
		d.To.Evacuations = from
		return
	}
	if from < c.evacuations.changed {
		d.HasEvacuations, d.Evacuations = true, c.Evacuations()
	}
}

package member

import (
	"cmp"
	"slices"
	"time"
)

// Ranked lists up to n usable boxes, the box itself among them, in the order in
// which they take up a role.
func (v *View) Ranked(now time.Time, role string, n int) []Box {
	usable := make([]Box, 0, len(v.boxes)+1)
	if !v.self.Leaving {
		usable = append(usable, v.self)
	}
	for id, e := range v.boxes {
		if v.Usable(now, id) {
			usable = append(usable, e.Box)
		}
	}
	slices.SortFunc(usable, func(a, b Box) int { return cmp.Compare(score(role, b.ID), score(role, a.ID)) })
	return usable[:min(n, len(usable))]
}

// Sighting is a box and how long ago it was last heard from by anybody.
type Sighting struct {
	Box Box
	Ago time.Duration
}

// Sightings lists the boxes that were heard from lately, the box itself first.
func (v *View) Sightings(now time.Time) []Sighting {
	out := []Sighting{{Box: v.self}}
	for _, b := range v.Boxes() {
		if ago := now.Sub(v.boxes[b.ID].heard); ago < heardFor {
			out = append(out, Sighting{Box: b, Ago: ago})
		}
	}
	return out
}

// SightingsFor is like Sightings, but lists no more boxes than needed to know who
// takes up the given roles: the first few of each, so that what two boxes send
// each other does not grow with the fleet. A role of one hall names it.
func (v *View) SightingsFor(now time.Time, roles []Role, each int) []Sighting {
	all := v.Sightings(now)
	if len(all) <= each*(len(roles)+1) {
		return all
	}
	wanted := map[string]bool{v.self.ID: true}
	for _, role := range roles {
		slices.SortFunc(all, func(a, b Sighting) int {
			return cmp.Compare(score(role.Name, b.Box.ID), score(role.Name, a.Box.ID))
		})
		taken := 0
		for _, s := range all {
			if taken == each {
				break
			}
			if role.Hall == "" || role.Hall == s.Box.Hall {
				wanted[s.Box.ID] = true
				taken++
			}
		}
	}
	out := []Sighting{{Box: v.self}}
	for _, s := range all {
		if wanted[s.Box.ID] && s.Box.ID != v.self.ID {
			out = append(out, s)
		}
	}
	return out
}

// Role is what boxes rank for, in one hall or, without one, in all.
type Role struct {
	Name string
	Hall string
}

// Halls lists the halls of all boxes that are known.
func (v *View) Halls() []string {
	halls := []string{v.self.Hall}
	for _, e := range v.boxes {
		if !slices.Contains(halls, e.Hall) {
			halls = append(halls, e.Hall)
		}
	}
	slices.Sort(halls)
	return halls
}

// Sighted takes in what another box passed on.
func (v *View) Sighted(now time.Time, sightings []Sighting) {
	for _, s := range sightings {
		if s.Ago >= heardFor {
			continue
		}
		v.Learn(now, s.Box)
		if e, ok := v.boxes[s.Box.ID]; ok && e.heard.Before(now.Add(-s.Ago)) {
			e.heard = now.Add(-s.Ago)
		}
	}
	v.forgetUnheard(now)
}

// forgetUnheard drops boxes that nobody has heard from for a while.
func (v *View) forgetUnheard(now time.Time) {
	for id, e := range v.boxes {
		if now.Sub(e.heard) > 2*heardFor && now.Sub(e.listed) > heardFor {
			delete(v.boxes, id)
		}
	}
}

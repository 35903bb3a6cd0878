package catalog

import "maps"

// maxAbsentTargets is how many targets are remembered beyond those in service. A late update
// about a forgotten target would bring it back. A target is forgotten only after thousands of
// others have gone, which takes longer than any update is in transit.
const maxAbsentTargets = 4096

// incarnations holds the latest known incarnation of each target, by the target's id, and
// whether this incarnation has begun to leave.
type incarnations map[string]incarnation

type incarnation struct {
	born    int64
	leaving bool
}

// hasEnded reports whether a later incarnation of the target is known. An update with an
// earlier start time counts as late; one without a time, as from a gateway of an earlier
// version, counts for the known incarnation.
func (i incarnations) hasEnded(life Life) bool { return life.Born != 0 && life.Born < i[life.ID].born }

// record records an update of an incarnation that has not ended. It returns the start time of
// that incarnation, which the update may lack, and whether it is leaving: once it has begun
// to leave, no later update reverts that.
func (i incarnations) record(life Life, leaving bool) (born int64, isLeaving bool) {
	known := i[life.ID]
	if life.Born > known.born {
		known = incarnation{born: life.Born}
	}
	known.leaving = known.leaving || leaving
	i[life.ID] = known
	return known.born, known.leaving
}

// trim forgets all targets that are not in service once there are more than maxAbsentTargets.
func (i incarnations) trim(inService map[string]Target) {
	if len(i) <= len(inService)+maxAbsentTargets {
		return
	}
	maps.DeleteFunc(i, func(id string, _ incarnation) bool {
		_, ok := inService[id]
		return !ok
	})
}

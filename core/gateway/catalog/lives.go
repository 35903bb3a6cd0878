package catalog

import "maps"

// keptLives is how many targets are remembered beyond those in service. One that is
// forgotten could be taken for new by an update of it that comes late: of thousands that have
// gone since, which takes longer than any update is on its way.
const keptLives = 4096

// lives holds, by the id of each target that was met, its latest life and whether that has
// begun to leave.
type lives map[string]lifeState

type lifeState struct {
	born    int64
	leaving bool
}

// isOver says whether a later life of the target is known. A time that goes back is taken
// for late updates, and updates without a time, as of a gateway of an earlier version, for that of
// the life that is known.
func (l lives) isOver(life Life) bool { return life.Born != 0 && life.Born < l[life.ID].born }

// note takes in an update of a life that is not over. It returns which life that is, which the
// update may not say, and whether it is leaving: it stays so once it has begun to, whatever is
// learnt of it later.
func (l lives) note(life Life, leaving bool) (born int64, isLeaving bool) {
	known := l[life.ID]
	if life.Born > known.born {
		known = lifeState{born: life.Born}
	}
	known.leaving = known.leaving || leaving
	l[life.ID] = known
	return known.born, known.leaving
}

// trim forgets targets that are not in service once there are many.
func (l lives) trim(inService map[string]Target) {
	if len(l) <= len(inService)+keptLives {
		return
	}
	maps.DeleteFunc(l, func(id string, _ lifeState) bool {
		_, ok := inService[id]
		return !ok
	})
}

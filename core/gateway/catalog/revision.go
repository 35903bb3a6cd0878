package catalog

// revisionBits is how many bits of a revision are the store's own. A store that does
// 3,200 writes a second needs five years for them, and the rest counts thousands of lives.
const revisionBits = 40

// rereadBit is set in the revision of a list that is taken in whole though one of the same
// revision was not; only in later lives than the first, whose revisions are as the store
// gives them, as gateways of an earlier version report them.
const rereadBit = 1

// Revision orders what a store held, by its life first and by the revision that it gave
// second. A store that comes back from a copy which is some seconds old begins another life:
// it gives revisions out again, for other changes.
func Revision(life, given uint64) uint64 {
	if life == 0 {
		return given
	}
	return life<<revisionBits | given<<1
}

// StoreLife is the life of the store in which a revision was given.
func StoreLife(revision uint64) uint64 { return revision >> revisionBits }

// GivenRevision is a revision as the store gave it.
func GivenRevision(revision uint64) uint64 {
	if StoreLife(revision) == 0 {
		return revision
	}
	return revision & (1<<revisionBits - 1) >> 1
}

// reread is the revision of a list that is read again at a revision that is known already. What
// it adds, after a store came back older, those lack that know the one before: without
// it three of four gateways sent requests to an evacuated hall for 30 s, until somebody wrote.
func reread(revision uint64) uint64 {
	if StoreLife(revision) == 0 {
		return revision
	}
	return revision | rereadBit
}

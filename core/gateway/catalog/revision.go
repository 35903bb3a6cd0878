package catalog

// revisionBits is how many bits of a revision are the store's own. Chosen: a store that does
// 3,200 writes a second needs ten years for them, and the rest counts thousands of lives.
const revisionBits = 40

// Revision orders what a store held, by its life first and by the revision that it gave
// second. A store that comes back from a copy which is some seconds old begins another life:
// it gives revisions out again, for other changes.
func Revision(life, given uint64) uint64 { return life<<revisionBits | given }

// StoreLife is the life of the store in which a revision was given.
func StoreLife(revision uint64) uint64 { return revision >> revisionBits }

// GivenRevision is a revision as the store gave it.
func GivenRevision(revision uint64) uint64 { return revision & (1<<revisionBits - 1) }

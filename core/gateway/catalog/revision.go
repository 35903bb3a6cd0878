package catalog

// revisionBits is how many bits of a revision are the store's own. A store that does
// 3,200 writes a second needs five years to exhaust them; the remaining bits count thousands
// of epochs.
const revisionBits = 40

// rereadBit is set in the revision of a list that is applied whole after one of the same
// revision was applied in part. It is used only in epochs after the first, whose revisions
// are as the store gives them, as gateways of an earlier version report them.
const rereadBit = 1

// Revision returns a number that orders states of a store, by its epoch first and by the
// revision that it gave second. A store that is restored from a copy that is some seconds old
// begins another epoch: it gives the same revisions again, for other changes.
func Revision(epoch, given uint64) uint64 {
	if epoch == 0 {
		return given
	}
	return epoch<<revisionBits | given<<1
}

// StoreLife returns the epoch of the store in which a revision was given.
func StoreLife(revision uint64) uint64 { return revision >> revisionBits }

// GivenRevision returns a revision as the store gave it, without the epoch.
func GivenRevision(revision uint64) uint64 {
	if StoreLife(revision) == 0 {
		return revision
	}
	return revision & (1<<revisionBits - 1) >> 1
}

// rereadRevision returns the revision of a list that is read again at a revision that is
// known already. After a store was restored from an older copy, such a list has entries that
// gateways at the first list's position lack. With one revision for both, three of four
// gateways sent requests to an evacuated hall for 30 s, until the next write to the store.
func rereadRevision(revision uint64) uint64 {
	if StoreLife(revision) == 0 {
		return revision
	}
	return revision | rereadBit
}

package objectstore

import "github.com/pkg/errors"

// Version orders all writes of the object API: each write gets a larger one. Zero means
// that there is no object.
//
// A platform whose store may be restored from a backup names an era, which rises each time
// that happens, while revisions go back and are given out again. The era is the most significant
// part of a version, so that versions keep their order.
type Version uint64

// revisionBits is the number of bits of a version's revision; the others hold its era.
const revisionBits = 40

// NewVersion returns the version of a revision in an era, or an error if one is too large.
func NewVersion(era, revision uint64) (Version, error) {
	if era>>(64-revisionBits) != 0 || revision>>revisionBits != 0 {
		return 0, errors.Errorf("revision %d of era %d is out of range", revision, era)
	}
	return Version(era<<revisionBits | revision), nil
}

// Era returns the era of the store in which the version was given out; 0 if it names none.
func (v Version) Era() uint64 { return uint64(v >> revisionBits) }

// Revision returns the store's revision, which orders versions of the same era.
func (v Version) Revision() uint64 { return uint64(v & (1<<revisionBits - 1)) }

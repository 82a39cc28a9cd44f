// Package revision caches configuration objects and distributes them to all
// daemons. A few daemons watch the object API; the others learn changes by
// gossiped digests and by pulls. Each member keeps the newest known version of
// each object, deletions included, so that a stale read, a replayed watch event,
// a restart during an outage or a peer's older copy cannot revert a change.
package revision

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Record is the newest known state of one object. It is immutable.
type Record struct {
	objectstore.Object
	// Deleted reports that the object was deleted at Version.
	Deleted bool
	// LastGood is the last valid version of the object if this version is invalid.
	// It is nil if this version is valid or no valid one is known.
	LastGood *objectstore.Object

	invalid bool // Object failed the check
}

// Header identifies one version of an object, or its deletion.
type Header struct {
	Kind    objectstore.Kind
	Name    string
	Version objectstore.Version
	Deleted bool
}

func (r *Record) header() Header {
	return Header{Kind: r.Kind, Name: r.Name, Version: r.Version, Deleted: r.Deleted}
}

// bucketCount is the number of hash buckets of a kind. At 2,400 objects a bucket
// holds about 19, so finding one changed object costs about 2 kB.
const bucketCount = 128

// bucketOf returns the bucket of a name.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// hash returns the record's contribution to its bucket's hash. It is 0 for a
// deletion, so that members that dropped a tombstone at different times agree.
func (r *Record) hash() uint64 {
	if r == nil || r.Deleted {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Name)
	var b [9]byte
	for i := range 8 {
		b[i+1] = byte(r.Version >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Package revision is a cache of configuration objects that never goes back,
// and its spread over the daemons: a few watch the object API, the others
// learn by gossip of digests and by pulls. Each member keeps, per object, the
// newest version that it ever heard of, deletions included. A stale read, a
// replayed watch, a restart during an outage or a peer's older copy can't take
// a change back.
package revision

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Record is the newest known state of one object. It is immutable.
type Record struct {
	objectstore.Object
	// Deleted marks a deletion as of Version.
	Deleted bool
	// LastGood is the object's last version that passed the check, where this
	// one does not; nil otherwise, or where none is known.
	LastGood *objectstore.Object

	invalid bool // Object did not pass the check
}

// Header names one version of an object, or its deletion.
type Header struct {
	Kind    objectstore.Kind
	Name    string
	Version objectstore.Version
	Deleted bool
}

// header returns the record's header.
func (r *Record) header() Header {
	return Header{Kind: r.Kind, Name: r.Name, Version: r.Version, Deleted: r.Deleted}
}

// bucketCount is into how many buckets a kind's names are hashed. At 2,400
// objects a bucket holds about 19, so that finding one change among them
// costs about two kilobytes.
const bucketCount = 128

// bucketOf returns the bucket of a name.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// hash returns the record's share of its bucket's hash: zero for a deletion,
// so that members which dropped a tombstone at different times agree.
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

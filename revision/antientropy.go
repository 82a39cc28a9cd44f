package revision

import (
	"cmp"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// compareObjects orders objects of one kind by name and version.
func compareObjects(a, b objectstore.Object) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}

// KindDigest summarizes a member's state of one kind.
type KindDigest struct {
	Kind  objectstore.Kind
	Floor objectstore.Version
	Hash  uint64
	// Complete reports whether the member ever held the full kind.
	Complete bool
}

// Digest returns the digest of each kind.
func (s *Set) Digest() []KindDigest {
	out := make([]KindDigest, 0, len(s.kindOrder))
	for _, kind := range s.kindOrder {
		out = append(out, s.kinds[kind].digest(kind))
	}
	return out
}

// digest returns the digest of one kind.
func (k *kindSet) digest(kind objectstore.Kind) KindDigest {
	return KindDigest{Kind: kind, Floor: k.floor, Hash: k.hash, Complete: k.complete}
}

// MergeDigest returns the kinds whose state differs from a peer's digest. Where
// the hashes are equal, the peer's floor and Complete hold for this set too and
// are adopted. Kinds unknown to this member are ignored.
func (s *Set) MergeDigest(digest []KindDigest) (differing []objectstore.Kind) {
	for _, d := range digest {
		k, ok := s.kinds[d.Kind]
		if !ok {
			continue
		}
		if k.hash == d.Hash {
			k.raiseFloor(d.Floor)
			k.complete = k.complete || d.Complete
			continue
		}
		differing = append(differing, d.Kind)
	}
	return differing
}

// Buckets returns the bucket hashes of a kind.
func (s *Set) Buckets(kind objectstore.Kind) []uint64 {
	k, ok := s.kinds[kind]
	if !ok {
		return nil
	}
	out := k.buckets
	return out[:]
}

// BucketList lists the live objects of some buckets of a kind, as of the floor in
// the digest.
type BucketList struct {
	KindDigest
	Buckets []uint32
	Headers []Header
	// Full reports that Headers lists the whole kind and not only Buckets.
	Full bool
}

// ListDiffering lists the buckets whose hash differs from a peer's. It lists the
// whole kind if the peer's release uses another number of buckets.
func (s *Set) ListDiffering(kind objectstore.Kind, hashes []uint64) BucketList {
	k, ok := s.kinds[kind]
	if !ok {
		return BucketList{KindDigest: KindDigest{Kind: kind}}
	}
	list := BucketList{KindDigest: k.digest(kind), Full: len(hashes) != bucketCount}
	differing := make(map[int]bool)
	for i := 0; i < len(hashes) && !list.Full; i++ {
		if k.buckets[i] != hashes[i] {
			differing[i] = true
			list.Buckets = append(list.Buckets, uint32(i))
		}
	}
	for name, r := range k.records {
		if list.Full || differing[bucketOf(name)] {
			list.Headers = append(list.Headers, r.header())
		}
	}
	return list
}

// ApplyBuckets merges a peer's bucket list into the set, by the same rule as
// ApplyList: an object that is not listed is deleted here if its version is at
// most the peer's floor. It returns the deletions, the headers to fetch from the
// peer, and the headers that are newer here and that the peer needs.
func (s *Set) ApplyBuckets(list BucketList) (deleted, wanted, newer []Header) {
	k, ok := s.kinds[list.Kind]
	if !ok {
		return nil, nil, nil
	}
	listed := make(map[string]struct{}, len(list.Headers))
	for _, h := range list.Headers {
		listed[h.Name] = struct{}{}
		h.Kind = list.Kind
		switch known := k.records[h.Name]; {
		case known != nil && known.Version > h.Version:
			newer = append(newer, known.header())
		case known == nil && h.Version <= k.floor:
			// The tombstone has been dropped, but the floor proves that the object was
			// deleted.
			newer = append(newer, Header{Kind: list.Kind, Name: h.Name, Version: k.floor, Deleted: true})
		case s.IsNewer(h) && h.Deleted:
			s.Apply(deletion(h))
			deleted = append(deleted, h)
		case s.IsNewer(h):
			wanted = append(wanted, h)
		}
	}
	for _, name := range k.unlisted(listed, list.bucketSet()) {
		known := k.records[name]
		if h, ok := s.applyAbsence(list.Kind, name, list.Floor); ok {
			deleted = append(deleted, h)
		} else if known.Version > list.Floor {
			newer = append(newer, known.header())
		}
	}
	return deleted, wanted, newer
}

// bucketSet returns the listed buckets; nil means all.
func (l BucketList) bucketSet() map[uint32]bool {
	if l.Full {
		return nil
	}
	out := make(map[uint32]bool, len(l.Buckets))
	for _, b := range l.Buckets {
		out[b] = true
	}
	return out
}

// deletion returns the record for the header of a deletion.
func deletion(h Header) Record {
	return Record{Object: objectstore.Object{Kind: h.Kind, Name: h.Name, Version: h.Version}, Deleted: true}
}

// IsNewer reports whether a header is newer than the set's record of its object.
func (s *Set) IsNewer(h Header) bool {
	k, ok := s.kinds[h.Kind]
	if !ok {
		return false
	}
	known := k.records[h.Name]
	if known == nil {
		return h.Version > k.floor
	}
	return h.Version > known.Version
}

// maxAnswerBytes limits the values in one answer, in bytes. An answer holds at
// least one record.
const maxAnswerBytes = 512 << 10

// Records returns the set's records for the headers, up to the size of one
// answer.
func (s *Set) Records(headers []Header) []*Record {
	var out []*Record
	size := 0
	for _, h := range headers {
		k, ok := s.kinds[h.Kind]
		if !ok || k.records[h.Name] == nil {
			continue
		}
		r := k.records[h.Name]
		size += len(r.Value)
		if r.LastGood != nil {
			size += len(r.LastGood.Value)
		}
		if len(out) > 0 && size > maxAnswerBytes {
			break
		}
		out = append(out, r)
	}
	return out
}

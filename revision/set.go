package revision

import (
	"slices"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Set holds the newest known record of each object. It uses no clock and no
// goroutines and is not safe for concurrent use.
//
// Each kind has a floor: every change up to that version is known. If the set
// holds no record of an object, a record at or below the floor is therefore an
// old copy of a deleted object, and it is rejected. For the same reason a
// tombstone is kept until the floor has passed it, and is not needed afterwards.
type Set struct {
	kinds     map[objectstore.Kind]*kindSet
	kindOrder []objectstore.Kind
	check     func(objectstore.Object) bool
	// newest is the largest applied version.
	newest objectstore.Version
	// changes counts stored records, so that a reader can detect any change.
	changes uint64
}

// kindSet is the part of a Set for one kind.
type kindSet struct {
	floor objectstore.Version
	// complete reports that the full kind was known once, as of the floor.
	complete   bool
	records    map[string]*Record
	tombstones map[string]struct{}
	buckets    [bucketCount]uint64
	hash       uint64 // XOR of all bucket hashes
}

// NewSet returns an empty set of the kinds. check reports whether an object on
// its own is valid; nil accepts every object.
func NewSet(kinds []objectstore.Kind, check func(objectstore.Object) bool) *Set {
	if check == nil {
		check = func(objectstore.Object) bool { return true }
	}
	s := &Set{kinds: make(map[objectstore.Kind]*kindSet, len(kinds)), kindOrder: kinds, check: check}
	for _, k := range kinds {
		s.kinds[k] = &kindSet{records: map[string]*Record{}, tombstones: map[string]struct{}{}}
	}
	return s
}

// Apply stores a record if it is newer than the known one of its object. It
// reports whether the set changed.
func (s *Set) Apply(r Record) bool {
	k, ok := s.kinds[r.Kind]
	if !ok {
		return false
	}
	known := k.records[r.Name]
	if known == nil && r.Version <= k.floor {
		return false // an old copy of a deleted object, see Set
	}
	if known != nil && r.Version <= known.Version {
		return known.Version == r.Version && s.adoptLastGood(k, known, r.LastGood)
	}
	s.validate(&r, known)
	k.put(&r)
	s.changes++
	s.newest = max(s.newest, r.Version)
	return true
}

// validate checks a new record and, if it is invalid, determines the version that
// stays active. A version from before a deletion is never used.
func (s *Set) validate(r, known *Record) {
	if r.Deleted {
		r.Object.Value, r.LastGood = nil, nil
		return
	}
	r.invalid = !s.check(r.Object)
	if !r.invalid {
		r.LastGood = nil
		return
	}
	if known == nil || known.Deleted || known.Created != r.Created {
		return
	}
	good := known.LastGood
	if !known.invalid {
		good = &known.Object
	}
	if good != nil && (r.LastGood == nil || good.Version > r.LastGood.Version) {
		r.LastGood = good
	}
}

// adoptLastGood adopts a peer's newer valid version of an object that is invalid
// here.
func (s *Set) adoptLastGood(k *kindSet, known *Record, good *objectstore.Object) bool {
	if !known.invalid || good == nil || (known.LastGood != nil && known.LastGood.Version >= good.Version) {
		return false
	}
	next := *known
	next.LastGood = good
	k.put(&next)
	s.changes++
	return true
}

// put stores a record and updates the hashes.
func (k *kindSet) put(r *Record) {
	k.rehash(k.records[r.Name], r)
	delete(k.tombstones, r.Name)
	if r.Deleted {
		if r.Version <= k.floor {
			delete(k.records, r.Name)
			return
		}
		k.tombstones[r.Name] = struct{}{}
	}
	k.records[r.Name] = r
}

// rehash replaces the old record's contribution to the hashes by the new one's.
func (k *kindSet) rehash(old, next *Record) {
	delta := old.hash() ^ next.hash()
	k.buckets[bucketOf(next.Name)] ^= delta
	k.hash ^= delta
}

// raiseFloor raises the floor and drops the tombstones at or below it.
func (k *kindSet) raiseFloor(floor objectstore.Version) {
	if floor <= k.floor {
		return
	}
	k.floor = floor
	for name := range k.tombstones {
		if k.records[name].Version <= floor {
			delete(k.records, name)
			delete(k.tombstones, name)
		}
	}
}

// applyAbsence applies that an object did not exist as of a version: the object
// is deleted unless the known version is newer. It returns the deletion, if there
// was one.
func (s *Set) applyAbsence(kind objectstore.Kind, name string, asOf objectstore.Version) (Header, bool) {
	known := s.kinds[kind].records[name]
	if known == nil || known.Deleted || known.Version > asOf {
		return Header{}, false
	}
	r := Record{Object: objectstore.Object{Kind: kind, Name: name, Version: asOf}, Deleted: true}
	return r.header(), s.Apply(r)
}

// ApplyList merges a listing of one kind and returns what changed.
//
// A stale listing may lack an object that was created later, or hold one that was
// deleted later; replacing the set by the listing would revert both changes. A
// listing covers only changes up to its version. So an object that it lacks is
// deleted only if the known version is not newer than the listing, and an object
// that it holds is rejected if the floor shows that it was deleted.
func (s *Set) ApplyList(kind objectstore.Kind, list objectstore.List) []Header {
	k, ok := s.kinds[kind]
	if !ok {
		return nil
	}
	listed := make(map[string]struct{}, len(list.Objects))
	var changed []Header
	for _, o := range list.Objects {
		listed[o.Name] = struct{}{}
		if r := (Record{Object: o}); s.Apply(r) {
			changed = append(changed, r.header())
		}
	}
	for _, name := range k.unlisted(listed, nil) {
		if h, ok := s.applyAbsence(kind, name, list.Version); ok {
			changed = append(changed, h)
		}
	}
	k.raiseFloor(list.Version)
	k.complete = true
	return changed
}

// unlisted returns the known names that are not in listed, within some buckets;
// nil means all.
func (k *kindSet) unlisted(listed map[string]struct{}, buckets map[uint32]bool) []string {
	var out []string
	for name := range k.records {
		_, ok := listed[name]
		if !ok && (buckets == nil || buckets[uint32(bucketOf(name))]) {
			out = append(out, name)
		}
	}
	return out
}

// ApplyEvents applies the result of a watch of all kinds after a version, where
// next is the version to continue from, and returns what changed. Replayed and
// older events have no effect. A floor rises only if no change between it and the
// start of the watch can have been missed.
func (s *Set) ApplyEvents(events []objectstore.Event, after, next objectstore.Version) []Header {
	var changed []Header
	for _, e := range events {
		if r := (Record{Object: e.Object, Deleted: e.Deleted}); s.Apply(r) {
			changed = append(changed, r.header())
		}
	}
	for _, k := range s.kinds {
		if k.floor >= after {
			k.raiseFloor(next)
		}
	}
	return changed
}

// Floor returns the version up to which every change of every kind is known. A
// watch continues from it once the set is Complete.
func (s *Set) Floor() objectstore.Version {
	floor := s.kinds[s.kindOrder[0]].floor
	for _, k := range s.kinds {
		floor = min(floor, k.floor)
	}
	return floor
}

// Complete reports whether every kind was fully known once. Before that, an
// object that is missing here may exist in the store.
func (s *Set) Complete() bool {
	for _, k := range s.kinds {
		if !k.complete {
			return false
		}
	}
	return true
}

// Changes returns the number of applied changes.
func (s *Set) Changes() uint64 { return s.changes }

// Newest returns the largest applied version.
func (s *Set) Newest() objectstore.Version { return s.newest }

// Hash returns a hash of all live objects. It is equal on members with the same
// objects.
func (s *Set) Hash() uint64 {
	var h uint64
	for i, kind := range s.kindOrder {
		h ^= s.kinds[kind].hash * uint64(2*i+1)
	}
	return h
}

// Get returns the live record of an object.
func (s *Set) Get(kind objectstore.Kind, name string) (*Record, bool) {
	k, ok := s.kinds[kind]
	if !ok {
		return nil, false
	}
	r := k.records[name]
	return r, r != nil && !r.Deleted
}

// Objects returns every live object and the last good version of each invalid
// one, ordered by kind and name.
func (s *Set) Objects() []objectstore.Object {
	var out []objectstore.Object
	for _, kind := range s.kindOrder {
		start := len(out)
		for _, r := range s.kinds[kind].records {
			if r.Deleted {
				continue
			}
			out = append(out, r.Object)
			if r.LastGood != nil {
				out = append(out, *r.LastGood)
			}
		}
		slices.SortFunc(out[start:], compareObjects)
	}
	return out
}

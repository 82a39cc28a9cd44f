package revision

import (
	"slices"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Set holds the newest known record of each object. It is a pure aggregate:
// no clock, no goroutines, used by one goroutine at a time.
//
// Each kind has a floor: every change up to that version is known. A record
// at or under the floor of an object that the set does not hold can therefore
// only be an old copy of something deleted since, and is refused. That is
// also the rule for tombstones: one is kept until the floor has passed it,
// however long that takes, and is not needed after.
type Set struct {
	kinds     map[objectstore.Kind]*kindSet
	kindOrder []objectstore.Kind
	check     func(objectstore.Object) bool
	// newest is the largest version applied.
	newest objectstore.Version
	// changes counts the records put, so that a reader sees any change.
	changes uint64
}

// kindSet is the part of a Set for one kind.
type kindSet struct {
	floor objectstore.Version
	// complete tells that the kind was known whole once, as of the floor.
	complete   bool
	records    map[string]*Record
	tombstones map[string]struct{}
	buckets    [bucketCount]uint64
	hash       uint64 // of all buckets
}

// NewSet returns an empty set of the kinds. check tells whether an object by
// itself may go in force; nil takes all.
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

// Apply takes in a record if it is newer than what is known of its object.
// It reports whether the set changed.
func (s *Set) Apply(r Record) bool {
	k, ok := s.kinds[r.Kind]
	if !ok {
		return false
	}
	known := k.records[r.Name]
	if known == nil && r.Version <= k.floor {
		return false // deleted since: see Set
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

// validate checks a new record and, where it is bad, finds the version that
// stays in force. A version from before a deletion never does.
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

// adoptLastGood takes over a good version that a peer knows of a bad one.
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

// rehash replaces an old record's share of the hashes by a new one's.
func (k *kindSet) rehash(old, next *Record) {
	delta := old.hash() ^ next.hash()
	k.buckets[bucketOf(next.Name)] ^= delta
	k.hash ^= delta
}

// raiseFloor moves the floor up and drops the tombstones that it passed.
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

// applyAbsence applies that an object did not exist as of a version: it deletes
// what the set knows of it, unless that is newer. It reports the deletion.
func (s *Set) applyAbsence(kind objectstore.Kind, name string, asOf objectstore.Version) (Header, bool) {
	known := s.kinds[kind].records[name]
	if known == nil || known.Deleted || known.Version > asOf {
		return Header{}, false
	}
	r := Record{Object: objectstore.Object{Kind: kind, Name: name, Version: asOf}, Deleted: true}
	return r.header(), s.Apply(r)
}

// ApplyList takes in a listing of one kind and returns what changed.
//
// What goes wrong: a stale listing lacks an object that was created since, or
// holds one that was deleted since; taken at its word, it would revert both.
// A listing speaks only for changes up to its version, so an object that it
// lacks is deleted only if the known version is not newer than the listing,
// and one that it holds is refused if the floor says that it is gone.
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

// unlisted returns the names that are not in listed, of some buckets or all.
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

// ApplyEvents takes in what a watch of all kinds after a version returned,
// with the version to continue from, and returns what changed. Replayed and
// older events have no effect. The floors rise only where nothing between
// them and the watch's start can have been missed.
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

// Floor is the version up to which every change of every kind is known: where
// a watch continues, once Complete.
func (s *Set) Floor() objectstore.Version {
	floor := s.kinds[s.kindOrder[0]].floor
	for _, k := range s.kinds {
		floor = min(floor, k.floor)
	}
	return floor
}

// Complete tells whether every kind was known whole once. Before, an object
// that is not held may only not have been heard of yet.
func (s *Set) Complete() bool {
	for _, k := range s.kinds {
		if !k.complete {
			return false
		}
	}
	return true
}

// Changes counts what was applied so far: it grows with every change.
func (s *Set) Changes() uint64 { return s.changes }

// Newest is the largest version that was applied.
func (s *Set) Newest() objectstore.Version { return s.newest }

// Hash sums up all live objects: equal on members that hold the same.
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

// Objects returns every live object, and besides a bad one its last good
// version, in the order of the kinds and by name.
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

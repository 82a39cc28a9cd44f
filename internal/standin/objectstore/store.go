package objectstore

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	port "github.com/lycheekeel/lycheekeel/objectstore"
)

type key struct {
	kind port.Kind
	name string
}

// record holds an object's newest state and the previous one, for stale reads. A
// nil state means that the object does not exist.
type record struct {
	cur, prev *port.Object
	version   port.Version // of the newest change, including a deletion
}

// stateAt returns the state as of the version, or nil if the object did not exist.
func (r *record) stateAt(v port.Version) *port.Object {
	if r.version <= v {
		return r.cur
	}
	return r.prev
}

// store is a versioned map of objects. All kinds share one version counter.
type store struct {
	mu           sync.Mutex
	version      port.Version
	records      map[key]*record
	history      []port.Event // oldest first
	historyLimit int
	compacted    port.Version // newest version that was removed from history
	changed      chan struct{}
}

func newStore(limit int) *store {
	return &store{records: map[key]*record{}, historyLimit: limit, changed: make(chan struct{})}
}

func (s *store) get(kind port.Kind, name string, staleWrites uint64) (port.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key{kind, name}]
	if r == nil {
		return port.Object{}, errors.Wrapf(port.ErrNotFound, "%s %s", kind, name)
	}
	o := r.stateAt(s.version - min(s.version, port.Version(staleWrites)))
	if o == nil {
		return port.Object{}, errors.Wrapf(port.ErrNotFound, "%s %s", kind, name)
	}
	return *o, nil
}

func (s *store) list(kind port.Kind, prefix string, staleWrites uint64) port.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := port.List{Version: s.version - min(s.version, port.Version(staleWrites))}
	for k, r := range s.records {
		if k.kind != kind || !strings.HasPrefix(k.name, prefix) {
			continue
		}
		if o := r.stateAt(l.Version); o != nil {
			l.Objects = append(l.Objects, *o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b port.Object) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// create stores a new object.
func (s *store) create(kind port.Kind, name string, value []byte) (port.Version, error) {
	if len(value) > port.MaxValueBytes {
		return 0, errors.Wrapf(port.ErrTooLarge, "%d bytes", len(value))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key{kind, name}]; r != nil && r.cur != nil {
		return 0, errors.Wrapf(port.ErrConflict, "%s %s exists at version %d", kind, name, r.version)
	}
	v := s.version + 1
	s.put(port.Object{Kind: kind, Name: name, Version: v, Created: v, Value: slices.Clone(value)}, false)
	return v, nil
}

// update replaces an object, or removes it if deleted is set. It fails unless the
// object is at the expected version.
func (s *store) update(kind port.Kind, name string, value []byte, expected port.Version, deleted bool) (port.Version, error) {
	if len(value) > port.MaxValueBytes {
		return 0, errors.Wrapf(port.ErrTooLarge, "%d bytes", len(value))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key{kind, name}]
	if r == nil || r.cur == nil {
		return 0, errors.Wrapf(port.ErrNotFound, "%s %s", kind, name)
	}
	if r.cur.Version != expected {
		return 0, errors.Wrapf(port.ErrConflict, "%s %s is at version %d, expected %d", kind, name, r.cur.Version, expected)
	}
	o := port.Object{Kind: kind, Name: name, Version: s.version + 1, Created: r.cur.Created}
	if !deleted {
		o.Value = slices.Clone(value)
	}
	s.put(o, deleted)
	return o.Version, nil
}

// put stores o as the newest change. The caller holds mu.
func (s *store) put(o port.Object, deleted bool) {
	k := key{o.Kind, o.Name}
	r := s.records[k]
	if r == nil {
		r = &record{}
		s.records[k] = r
	}
	r.prev, r.cur, r.version = r.cur, &o, o.Version
	if deleted {
		r.cur = nil
	}
	s.version = o.Version
	s.history = append(s.history, port.Event{Object: o, Deleted: deleted})
	s.compact()
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact removes the oldest tenth of a full history, and the records of objects
// whose deletion is part of it. The caller holds mu.
func (s *store) compact() {
	if len(s.history) <= s.historyLimit {
		return
	}
	n := max(1, s.historyLimit/10)
	for _, e := range s.history[:n] {
		k := key{e.Object.Kind, e.Object.Name}
		if r := s.records[k]; e.Deleted && r != nil && r.cur == nil && r.version == e.Object.Version {
			delete(s.records, k)
		}
		s.compacted = e.Object.Version
	}
	s.history = slices.Clone(s.history[n:])
}

// eventsSince returns the changes of the kinds after a version, the version to
// continue from, and a channel that is closed by the next change.
func (s *store) eventsSince(kinds []port.Kind, after port.Version) ([]port.Event, port.Version, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, 0, nil, errors.Wrapf(port.ErrCompacted, "version %d, oldest kept %d", after, s.compacted)
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(e port.Event, v port.Version) int {
		return cmp.Compare(e.Object.Version, v)
	})
	var out []port.Event
	for _, e := range s.history[first:] {
		if slices.Contains(kinds, e.Object.Kind) {
			out = append(out, e)
		}
	}
	return out, max(after, s.version), s.changed, nil
}

package revision

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

var testKinds = []objectstore.Kind{"A", "B"}

// storeHistory is the object API's history of writes.
type storeHistory struct{ events []objectstore.Event }

func (t *storeHistory) version() objectstore.Version { return objectstore.Version(len(t.events)) }

// listAt returns a kind's live objects as of a version.
func (t *storeHistory) listAt(kind objectstore.Kind, v objectstore.Version) objectstore.List {
	live := map[string]objectstore.Object{}
	for _, e := range t.events[:v] {
		if e.Object.Kind != kind {
			continue
		}
		if e.Deleted {
			delete(live, e.Object.Name)
		} else {
			live[e.Object.Name] = e.Object
		}
	}
	list := objectstore.List{Version: v}
	for _, o := range live {
		list.Objects = append(list.Objects, o)
	}
	return list
}

// write creates, changes or deletes an object.
func (t *storeHistory) write(kind objectstore.Kind, name string, deleted bool) {
	o := objectstore.Object{Kind: kind, Name: name, Version: t.version() + 1, Created: t.version() + 1}
	exists := false
	for _, old := range t.listAt(kind, t.version()).Objects {
		if old.Name == name {
			o.Created, exists = old.Created, true
		}
	}
	if deleted && !exists {
		return
	}
	o.Value = []byte(fmt.Sprint(o.Version))
	t.events = append(t.events, objectstore.Event{Object: o, Deleted: deleted})
}

// deletedAfter returns the first deletion of an object after a version.
func (t *storeHistory) deletedAfter(kind objectstore.Kind, name string, v objectstore.Version) (objectstore.Version, bool) {
	for _, e := range t.events[v:] {
		if e.Deleted && e.Object.Kind == kind && e.Object.Name == name {
			return e.Object.Version, true
		}
	}
	return 0, false
}

// observedMember is a member with the newest state of each object that it has
// shown.
type observedMember struct {
	*Set
	minVersion map[Header]objectstore.Version
	live       map[Header]bool
}

func newObservedMember() *observedMember {
	return &observedMember{NewSet(testKinds, nil), map[Header]objectstore.Version{}, map[Header]bool{}}
}

// checkNoRevert fails if an object went back to an older version or to one from
// before a deletion that the member has shown, or vanished without a deletion.
func (o *observedMember) checkNoRevert(t *rapid.T, history *storeHistory, names []string) {
	for _, kind := range testKinds {
		for _, name := range names {
			id := Header{Kind: kind, Name: name}
			r, ok := o.Get(kind, name)
			if ok {
				if r.Version < o.minVersion[id] {
					t.Fatalf("%s/%s reverted to version %d, want at least %d", kind, name, r.Version, o.minVersion[id])
				}
				o.minVersion[id] = r.Version
			} else if o.live[id] {
				deletedAt, deleted := history.deletedAfter(kind, name, o.minVersion[id])
				if !deleted {
					t.Fatalf("%s/%s of version %d vanished without a deletion", kind, name, o.minVersion[id])
				}
				o.minVersion[id] = deletedAt + 1
			}
			o.live[id] = ok
		}
	}
}

// pullResult is the answer of a peer to a pull. The test delivers it late,
// repeatedly or never.
type pullResult struct {
	digest  []KindDigest
	lists   []BucketList
	records []*Record
}

// pullFrom returns the answers that peer gives to member now. Another release may
// use another number of buckets.
func pullFrom(member, peer *observedMember, otherRelease bool) pullResult {
	x := pullResult{digest: peer.Digest()}
	for _, kind := range testKinds {
		hashes := member.Buckets(kind)
		if otherRelease {
			hashes = hashes[:bucketCount/2]
		}
		list := peer.ListDiffering(kind, hashes)
		x.lists = append(x.lists, list)
		for i := range list.Headers {
			list.Headers[i].Kind = kind
		}
		x.records = append(x.records, peer.Records(list.Headers)...)
	}
	return x
}

// applyPull applies answers to a member and returns newer deletions to the peer.
func applyPull(member, peer *observedMember, x pullResult) {
	for _, list := range x.lists {
		_, _, newer := member.ApplyBuckets(list)
		for _, h := range newer {
			if h.Deleted && peer.IsNewer(h) {
				peer.Apply(deletion(h))
			}
		}
	}
	for _, r := range x.records {
		member.Apply(*r)
	}
	member.MergeDigest(x.digest)
}

func TestObjectsNeverRevert(t *testing.T) {
	// Guards against an active change that is reverted, or a deleted object that
	// reappears, on some member.
	rapid.Check(t, func(t *rapid.T) {
		history := &storeHistory{}
		names := []string{"x", "y", "z"}
		members := []*observedMember{newObservedMember(), newObservedMember(), newObservedMember()}
		type delayedPull struct {
			to, from int
			pullResult
		}
		var inFlight []delayedPull
		name := rapid.SampledFrom(names)
		kind := rapid.SampledFrom(testKinds)
		member := rapid.IntRange(0, len(members)-1)
		version := func() objectstore.Version {
			return objectstore.Version(rapid.IntRange(0, len(history.events)).Draw(t, "version"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(t *rapid.T) { history.write(kind.Draw(t, "kind"), name.Draw(t, "name"), false) },
			"delete": func(t *rapid.T) { history.write(kind.Draw(t, "kind"), name.Draw(t, "name"), true) },
			"list": func(t *rapid.T) {
				k := kind.Draw(t, "kind")
				members[member.Draw(t, "member")].ApplyList(k, history.listAt(k, version()))
			},
			"watch": func(t *rapid.T) {
				m := members[member.Draw(t, "member")]
				after, next := m.Floor(), version()
				if next > after {
					m.ApplyEvents(history.events[after:next], after, next)
				}
			},
			"replay": func(t *rapid.T) {
				after, next := version(), version()
				if next > after {
					members[member.Draw(t, "member")].ApplyEvents(history.events[after:next], after, next)
				}
			},
			"ask": func(t *rapid.T) {
				to, from := member.Draw(t, "to"), member.Draw(t, "from")
				inFlight = append(inFlight, delayedPull{to, from, pullFrom(members[to], members[from], rapid.Bool().Draw(t, "otherRelease"))})
			},
			"deliver": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("no pull in flight")
				}
				x := rapid.SampledFrom(inFlight).Draw(t, "exchange")
				applyPull(members[x.to], members[x.from], x.pullResult)
			},
			"restart": func(t *rapid.T) { members[member.Draw(t, "member")] = newObservedMember() },
			"": func(t *rapid.T) {
				for _, m := range members {
					m.checkNoRevert(t, history, names)
				}
			},
		})
		for _, k := range testKinds {
			members[0].ApplyList(k, history.listAt(k, history.version()))
		}
		for to := range members[1:] {
			applyPull(members[to+1], members[0], pullFrom(members[to+1], members[0], false))
		}
		for i, m := range members {
			m.checkNoRevert(t, history, names)
			for _, k := range testKinds {
				list := history.listAt(k, history.version())
				for _, o := range list.Objects {
					if r, ok := m.Get(k, o.Name); !ok || r.Version != o.Version || string(r.Value) != string(o.Value) {
						t.Fatalf("member %d does not hold %s/%s at version %d", i, k, o.Name, o.Version)
					}
				}
			}
			if m.Hash() != members[0].Hash() || m.Floor() != history.version() {
				t.Fatalf("member %d did not converge: floor is %d, want %d", i, m.Floor(), history.version())
			}
			for _, k := range m.kinds {
				if len(k.tombstones) != 0 {
					t.Fatalf("member %d holds tombstones at or below its floor", i)
				}
			}
		}
	})
}

func TestLastGoodVersionIsKept(t *testing.T) {
	object := func(created, version objectstore.Version, value string) Record {
		return Record{Object: objectstore.Object{Kind: "A", Name: "x", Version: version, Created: created, Value: []byte(value)}}
	}
	check := func(o objectstore.Object) bool { return string(o.Value) != "bad" }
	Convey("The last good version is kept beside an invalid one and sent to peers", t, func() {
		s := NewSet(testKinds, check)
		s.Apply(object(1, 1, "good"))
		s.Apply(object(1, 2, "bad"))
		s.Apply(object(1, 3, "bad"))
		So(s.Objects(), ShouldHaveLength, 2)
		So(string(s.Objects()[0].Value), ShouldEqual, "good")

		late := NewSet(testKinds, check)
		late.Apply(object(1, 3, "bad"))
		So(late.Objects(), ShouldHaveLength, 1)
		r, _ := s.Get("A", "x")
		So(late.Apply(*r), ShouldBeTrue)
		So(late.Objects(), ShouldHaveLength, 2)

		Convey("until a newer valid version arrives", func() {
			late.Apply(object(1, 4, "good"))
			So(late.Objects(), ShouldHaveLength, 1)
		})
		Convey("but not after a deletion, even if the deletion was missed", func() {
			late.Apply(object(5, 5, "bad"))
			So(late.Objects(), ShouldHaveLength, 1)
		})
	})
}

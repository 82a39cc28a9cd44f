package gateway

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
)

// stateWithConfig returns a state whose active configuration has one service. The value of
// a configuration's object is its version.
func stateWithConfig() *state {
	s := emptyState()
	s.platform.DecodeConfiguration = func(value []byte) (route.Document, error) {
		return route.Document{Version: uint64(value[0]), Services: []route.Service{{Name: "app"}}}, nil
	}
	s.applyConfig(objectstore.Object{Version: 70, Value: []byte{7}})
	return s
}

// Guards against a server that has left, or a withdrawn route, that comes back for a moment.
func TestStateIgnoresOlderRevisions(t *testing.T) {
	Convey("An older list of servers changes nothing", t, func() {
		s := stateWithConfig()
		s.replaceServers([]discovery.Server{{ID: "a", Service: "app"}}, 50)
		s.replaceServers([]discovery.Server{{ID: "a", Service: "app"}, {ID: "b", Service: "app"}}, 49)
		s.putServer(discovery.Server{ID: "c", Service: "app"}, 48)
		So(*s.usable.Load(), ShouldResemble, map[string]serverUse{"a": {arm: rollout.Stable}})
	})
	Convey("An older configuration is neither activated nor sent to others", t, func() {
		s := stateWithConfig()
		So(s.applyConfig(objectstore.Object{Version: 60, Value: []byte{6}}), ShouldBeTrue)
		So(s.config.Version, ShouldEqual, 70)
		So(s.routes.Load().Version, ShouldEqual, 7)
	})
	Convey("A leaving server must not be used, even with a grant", t, func() {
		s := stateWithConfig()
		s.replaceServers([]discovery.Server{{ID: "a", Service: "app", Leaving: true}, {ID: "b", Service: "app"}}, 50)
		So(*s.usable.Load(), ShouldResemble, map[string]serverUse{"a": {leaving: true, arm: rollout.Stable}, "b": {arm: rollout.Stable}})
	})
}

// at returns the version of a revision in an era.
func at(era, revision uint64) objectstore.Version {
	v, err := objectstore.NewVersion(era, revision)
	if err != nil {
		panic(err) // the tests' numbers are small
	}
	return v
}

// Guards against: after the store was restored from a backup, changes are dropped as old,
// or what the backup has reverts what is in force.
func TestStateFollowsRestoredStore(t *testing.T) {
	Convey("Given a configuration and servers of an era", t, func() {
		s := stateWithConfig()
		apply := func(version byte, v objectstore.Version) bool {
			return s.applyConfig(objectstore.Object{Version: v, Value: []byte{version}})
		}
		So(apply(8, at(1, 80)), ShouldBeTrue)
		s.replaceServers([]discovery.Server{{ID: "a", Service: "app", Revision: at(1, 50)}}, at(1, 90))

		Convey("the older configuration of the backup proves what is in force, but does not replace it", func() {
			So(apply(7, at(2, 70)), ShouldBeTrue)
			So(apply(7, at(2, 70)), ShouldBeTrue)
			So(s.routes.Load().Version, ShouldEqual, 8)
			So(s.config.Version, ShouldEqual, at(1, 80))
			Convey("the next one is in force at a lower revision", func() {
				So(apply(8, at(2, 71)), ShouldBeTrue)
				So(s.config.Version, ShouldEqual, at(2, 71))
				So(apply(9, at(2, 72)), ShouldBeTrue)
				So(s.routes.Load().Version, ShouldEqual, 9)
			})
		})
		Convey("servers change at lower revisions, and those that the backup lacks are kept for a moment", func() {
			s.replaceServers([]discovery.Server{{ID: "b", Service: "app", Revision: at(2, 40)}}, at(2, 60))
			So(*s.usable.Load(), ShouldHaveLength, 2)
			s.putServer(discovery.Server{ID: "b", Service: "app", Leaving: true, Revision: at(2, 61)}, at(2, 61))
			So((*s.usable.Load())["b"].leaving, ShouldBeTrue)
		})
		Convey("an answer of the era before that comes late changes nothing", func() {
			s.replaceServers([]discovery.Server{{ID: "a", Service: "app", Revision: at(2, 50)}}, at(2, 60))
			s.replaceServers([]discovery.Server{{ID: "c", Service: "app", Revision: at(1, 99)}}, at(1, 99))
			_, known := (*s.usable.Load())["c"]
			So(known, ShouldBeFalse)
		})
		Convey("a list that changes nothing still ends the era before", func() {
			s.replaceServers([]discovery.Server{{ID: "a", Service: "app", Revision: at(2, 50)}}, at(2, 60))
			So(s.serversRevision, ShouldEqual, at(2, 60))
		})
	})
}

// Guards against: a server that says in an answer that it leaves goes on to get requests.
func TestServersThatSayThatTheyLeaveAreNotUsed(t *testing.T) {
	Convey("A server that says so is not used any more, whatever its entry says", t, func() {
		s := stateWithConfig()
		s.replaceServers([]discovery.Server{{ID: "a", Service: "app"}, {ID: "b", Service: "app"}}, 50)
		said := s.snapshot.Load().Pools["app"].Servers[0]
		other := said
		other.Incarnation = "another"
		s.announceLeaving(other)
		So((*s.usable.Load())["a"].leaving, ShouldBeFalse)
		s.announceLeaving(said)
		So(*s.usable.Load(), ShouldResemble, map[string]serverUse{"a": {leaving: true, arm: rollout.Stable}, "b": {arm: rollout.Stable}})
		So(s.snapshot.Load().Pools["app"].Servers[0].Leaving, ShouldBeTrue)
		s.putServer(discovery.Server{ID: "a", Service: "app", Revision: 51}, 51)
		So((*s.usable.Load())["a"].leaving, ShouldBeTrue)
	})
}

// Guards against a server that has left and is used for seconds after an outage of the store.
func TestReaderConfirmsServers(t *testing.T) {
	Convey("A server is removed immediately if a reader has confirmed the list since the outage", t, func() {
		for _, confirmed := range []bool{true, false} {
			s := stateWithConfig()
			s.replaceServers([]discovery.Server{{ID: "a", Service: "app"}, {ID: "b", Service: "app"}}, 50)
			s.storeUnavailable()
			s.replaceServers([]discovery.Server{{ID: "b", Service: "app"}}, 51) // the store has recovered
			if confirmed {
				s.replaceServers([]discovery.Server{{ID: "a", Service: "app"}, {ID: "b", Service: "app"}}, 52)
				s.confirmServers(52)
			}
			s.removeServer("a", 0, 53)
			_, known := (*s.usable.Load())["a"]
			So(known, ShouldEqual, !confirmed)
		}
	})
	Convey("A reader with another revision confirms nothing", t, func() {
		s := stateWithConfig()
		s.replaceServers([]discovery.Server{{ID: "a", Service: "app"}}, 50)
		s.storeUnavailable()
		s.confirmServers(49)
		s.removeServer("a", 0, 51)
		_, known := (*s.usable.Load())["a"]
		So(known, ShouldBeTrue)
	})
}

// keyStore holds the cluster key; get and create are the errors of these calls.
type keyStore struct {
	era uint64
	objectstore.ObjectAPI
	value   []byte
	get     error
	create  error
	creates int
	reads   int  // linearizable reads
	behind  bool // stale reads find nothing yet
}

func (s *keyStore) GetStale(context.Context, objectstore.Kind, string) (objectstore.Object, error) {
	if s.behind || s.value == nil {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return objectstore.Object{Value: s.value}, nil
}

func (s *keyStore) asStore() clusterKeyStore { return clusterKeyStore{s, s} }

func (s *keyStore) Get(context.Context, objectstore.Kind, string) (objectstore.Object, error) {
	s.reads++
	if s.get != nil {
		return objectstore.Object{}, s.get
	}
	if s.value == nil {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return objectstore.Object{Value: s.value}, nil
}

// List lists what Get reads, as of a revision of the store's era.
func (s *keyStore) List(ctx context.Context, kind objectstore.Kind, _ string) (objectstore.List, error) {
	o, err := s.Get(ctx, kind, clusterKeyName)
	l := objectstore.List{Version: at(s.era, 100)}
	if errors.Is(err, objectstore.ErrNotFound) {
		return l, nil
	}
	o.Name = clusterKeyName
	l.Objects = []objectstore.Object{o}
	return l, err
}

func (s *keyStore) Create(_ context.Context, _ objectstore.Kind, _ string, value []byte) (objectstore.Version, error) {
	s.creates++
	s.value = value
	return 1, s.create
}

// Guards against daemons that can't authenticate each other after a start.
func TestClusterKey(t *testing.T) {
	ctx := context.Background()
	Convey("A key is created only if the store answers that there is none", t, func() {
		s := &keyStore{get: objectstore.ErrUnavailable}
		_, err := s.asStore().find(ctx, 0)
		So(errors.Is(err, objectstore.ErrUnavailable), ShouldBeTrue)
		So(s.creates, ShouldEqual, 0)
	})
	Convey("A create whose answer was lost is resolved by reading", t, func() {
		s := &keyStore{create: objectstore.ErrUnknownOutcome}
		key, err := clusterKey(ctx, s.asStore(), logs.For("test"))
		So(err, ShouldBeNil)
		So(len(key), ShouldEqual, clusterKeyBytes)
		So(s.creates, ShouldEqual, 1)
		again, err := clusterKey(ctx, s.asStore(), logs.For("test"))
		So(err, ShouldBeNil)
		So(again, ShouldResemble, key)
	})
	Convey("A restarted daemon reads the key by a stale read", t, func() {
		s := &keyStore{value: []byte(`{"key":"0a0b"}`)}
		key, err := s.asStore().find(ctx, 0)
		So(err, ShouldBeNil)
		So(key, ShouldResemble, []byte{10, 11})
		So(s.reads, ShouldEqual, 0)
	})
	Convey("No key is created when only a stale read does not find it", t, func() {
		s := &keyStore{value: []byte(`{"key":"0a0b"}`), behind: true}
		key, err := s.asStore().find(ctx, 0)
		So(err, ShouldBeNil)
		So(key, ShouldResemble, []byte{10, 11})
		So(s.creates, ShouldEqual, 0)
	})
}

// Guards against: the store has lost the cluster key, and a daemon that starts makes another one.
func TestClusterKeyIsPutBack(t *testing.T) {
	ctx := context.Background()
	keeper := func(s *keyStore, key []byte) *keyKeeper {
		return &keyKeeper{store: s.asStore(), key: key, isReader: func() bool { return true }, log: logs.For("test")}
	}
	Convey("A daemon that starts waits before it makes a key in a store that may have been restored", t, func() {
		s := &keyStore{era: 2}
		_, err := s.asStore().find(ctx, keyPutBackTimeout-1)
		So(errors.Is(err, errKeyLost), ShouldBeTrue)
		So(s.creates, ShouldEqual, 0)
		_, err = s.asStore().find(ctx, keyPutBackTimeout)
		So(err, ShouldBeNil)
		So(s.creates, ShouldEqual, 1)
	})
	Convey("A running daemon puts its key back, once", t, func() {
		s := &keyStore{era: 2}
		k := keeper(s, []byte{10, 11})
		So(k.putBack(ctx), ShouldBeTrue)
		So(k.putBack(ctx), ShouldBeTrue)
		So(s.creates, ShouldEqual, 1)
		key, err := s.asStore().find(ctx, 0)
		So(err, ShouldBeNil)
		So(key, ShouldResemble, k.key)
	})
	Convey("It tries again while the store does not answer, and replaces no other key", t, func() {
		So(keeper(&keyStore{get: objectstore.ErrUnavailable}, []byte{1}).putBack(ctx), ShouldBeFalse)
		So(keeper(&keyStore{create: objectstore.ErrUnknownOutcome}, []byte{1}).putBack(ctx), ShouldBeFalse)
		s := &keyStore{value: []byte(`{"key":"0a0b"}`)}
		So(keeper(s, []byte{1}).putBack(ctx), ShouldBeTrue)
		So(s.creates, ShouldEqual, 0)
	})
}

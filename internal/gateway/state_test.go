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
		_, err := s.asStore().find(ctx)
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
		key, err := s.asStore().find(ctx)
		So(err, ShouldBeNil)
		So(key, ShouldResemble, []byte{10, 11})
		So(s.reads, ShouldEqual, 0)
	})
	Convey("No key is created when only a stale read does not find it", t, func() {
		s := &keyStore{value: []byte(`{"key":"0a0b"}`), behind: true}
		key, err := s.asStore().find(ctx)
		So(err, ShouldBeNil)
		So(key, ShouldResemble, []byte{10, 11})
		So(s.creates, ShouldEqual, 0)
	})
}

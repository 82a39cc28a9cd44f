package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// putServer applies one changed entry.
func (s *state) putServer(server discovery.Server, rev objectstore.Version) {
	s.applyServerEvents([]serverEvent{{server: server}}, rev)
}

// removeServer applies the removal of an entry at the revision removedAt.
func (s *state) removeServer(id string, removedAt, rev objectstore.Version) {
	s.applyServerEvents([]serverEvent{{server: discovery.Server{ID: id, Revision: discovery.Revision(removedAt)}, removed: true}}, rev)
}

// watchedStore answers one watch with events, and then none.
type watchedStore struct {
	objectstore.ObjectAPI
	events []objectstore.Event
	cancel context.CancelFunc
}

func (s *watchedStore) Watch(ctx context.Context, _ []objectstore.Kind, after objectstore.Version, _ time.Duration) ([]objectstore.Event, objectstore.Version, error) {
	if s.events == nil {
		s.cancel()
		return nil, after, ctx.Err()
	}
	events := s.events
	s.events = nil
	return events, after + objectstore.Version(len(events)), nil
}

// Guards against a poll, and an answer, for each of the servers that change together.
func TestEventsOfAWatchAreSentInOneAnswer(t *testing.T) {
	Convey("Given a reader whose watch returns many servers at once, and a poll that it holds", t, func() {
		reader := &peerSync{state: stateWithRoutes()}
		s := reader.state
		s.platform.DecodeServer = func(id string, _ []byte) (discovery.Server, error) {
			return discovery.Server{ID: id, Service: "app"}, nil
		}
		s.replaceServers([]discovery.Server{{ID: "gone", Service: "app"}}, 50)
		ask := &wire.SyncAsk{ServersRevision: 50, Changes: true, Numbers: true, ServersSource: s.source, ServersNumber: uint64(s.changes.Newest())}
		_, changed := reader.buildAnswer(ask, s.serversFreshness.Now())
		updates := 0
		s.onIncarnations = func(map[string]string) { updates++ }
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		store := &watchedStore{cancel: cancel}
		for i := range 40 {
			store.events = append(store.events, objectstore.Event{Object: objectstore.Object{Name: fmt.Sprint("s", i), Version: objectstore.Version(51 + i)}})
		}
		store.events = append(store.events, objectstore.Event{Object: objectstore.Object{Name: "gone", Version: 91}, Deleted: true})
		r := &reflector{state: s, store: store, isReader: func() bool { return true }}
		servers := r.loops()[1]
		servers.watching.Store(true)
		r.watch(ctx, servers, 50)
		Convey("the poll is woken once and gets all of them", func() {
			select {
			case <-changed:
			default:
				t.Fatal("the poll was not woken")
			}
			So(updates, ShouldEqual, 1)
			answer, next := reader.buildAnswer(ask, s.serversFreshness.Now())
			So(answer.Servers, ShouldHaveLength, 40)
			So(answer.Removed, ShouldResemble, []string{"gone"})
			So(answer.ServersRevision, ShouldEqual, 91)
			select {
			case <-next:
				t.Fatal("there is another change")
			default:
			}
		})
	})
}

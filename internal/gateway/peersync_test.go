package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/quota"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// pollOnce lets one daemon poll another and returns the answer.
func pollOnce(from, of *peerSync) *wire.SyncAnswer {
	q := &wire.SyncAsk{ServersRevision: uint64(from.state.serversRevision), Changes: true}
	from.askServers("reader", q)
	m, _ := of.buildAnswer(q, of.state.serversFreshness.Now())
	mark := from.state.serversFreshness.Now()
	from.apply("reader", m, mark, mark)
	return m
}

// Guards against readers that send the whole list of servers, megabytes a second, to daemons in
// other zones.
func TestSyncSendsOnlyChanges(t *testing.T) {
	server := func(id string, slots int) discovery.Server {
		return discovery.Server{ID: id, Service: "app", Slots: slots}
	}
	Convey("Given a reader, and a daemon that has its list", t, func() {
		reader, follower := syncOf(stateWithRoutes()), syncOf(stateWithRoutes())
		reader.state.replaceServers([]discovery.Server{server("a", 1), server("b", 1), server("c", 1)}, 50)
		So(pollOnce(follower, reader).Servers, ShouldHaveLength, 3)
		Convey("only changed and removed servers are sent", func() {
			reader.state.putServer(server("a", 2), 51)
			reader.state.removeServer("b", 0, 52)
			m := pollOnce(follower, reader)
			So(m.Servers, ShouldHaveLength, 1)
			So(m.Removed, ShouldResemble, []string{"b"})
			So(follower.state.directory.Listed(), ShouldResemble, reader.state.directory.Listed())
			So(pollOnce(follower, reader).ServersTold, ShouldBeFalse)
		})
		Convey("a change that the daemon has listed itself is sent once more, but not repeatedly", func() {
			follower.state.putServer(server("a", 2), 51)
			reader.state.putServer(server("a", 2), 60)
			So(pollOnce(follower, reader).ServersTold, ShouldBeTrue)
			So(pollOnce(follower, reader).ServersTold, ShouldBeFalse)
		})
		Convey("changes of a list that the daemon has no more are not applied, and the whole list follows", func() {
			q := &wire.SyncAsk{ServersRevision: 50, Changes: true}
			follower.askServers("reader", q)
			reader.state.removeServer("b", 0, 52)
			m, _ := reader.buildAnswer(q, 0)
			So(m.ServersSince, ShouldBeGreaterThan, 0)
			follower.state.putServer(server("d", 1), 51)
			follower.apply("reader", m, 0, 0)
			So(follower.state.serversRevision, ShouldEqual, 51)
			m = pollOnce(follower, reader)
			So(m.ServersTold, ShouldBeTrue)
			So(m.ServersSince, ShouldEqual, 0)
			So(follower.state.directory.Listed(), ShouldResemble, reader.state.directory.Listed())
		})
		Convey("a server that came and went between two lists of the reader is not kept", func() {
			follower.state.replaceServers([]discovery.Server{server("a", 1), server("b", 1), server("c", 1), server("d", 1)}, 51)
			reader.state.replaceServers([]discovery.Server{server("a", 2), server("b", 1), server("c", 1)}, 52)
			pollOnce(follower, reader)
			So(follower.state.directory.Listed(), ShouldResemble, reader.state.directory.Listed())
		})
		Convey("a daemon of an earlier version gets the whole list when the revision has moved", func() {
			old := func(revision uint64) *wire.SyncAnswer {
				m, _ := reader.buildAnswer(&wire.SyncAsk{ServersRevision: revision, Changes: true}, 0)
				return m
			}
			So(old(50).ServersTold, ShouldBeFalse)
			reader.state.removeServer("b", 0, 52)
			So(old(50).Servers, ShouldHaveLength, 2)
			So(old(52).ServersTold, ShouldBeFalse)
		})
		Convey("the changes of a daemon of an earlier version are applied to the list at their revision alone", func() {
			m := &wire.SyncAnswer{ServersTold: true, ServersBase: 49, ServersRevision: 52, Removed: []string{"b"}}
			follower.apply("reader", m, 0, 0)
			So(follower.state.directory.Listed(), ShouldHaveLength, 3)
			m.ServersBase = 50
			follower.apply("reader", m, 0, 0)
			So(follower.state.directory.Listed(), ShouldHaveLength, 2)
			So(follower.state.serversRevision, ShouldEqual, 52)
		})
		Convey("a daemon that can't apply changes, or has no list, gets the whole list", func() {
			reader.state.removeServer("b", 0, 52)
			m, _ := reader.buildAnswer(&wire.SyncAsk{ServersRevision: 50}, 0)
			So(m.ServersBase+m.ServersSince, ShouldEqual, 0)
			So(m.Servers, ShouldHaveLength, 2)
			m, _ = reader.buildAnswer(&wire.SyncAsk{Numbers: true, Changes: true}, 0)
			So(m.ServersBase+m.ServersSince, ShouldEqual, 0)
			So(m.Servers, ShouldHaveLength, 2)
		})
	})
}

// syncOf returns the sync of a daemon without a transport.
func syncOf(s *state) *peerSync { return &peerSync{state: s, heard: newHeardServers()} }

func stateWithRoutes() *state {
	s := emptyState()
	s.routes.Update(&route.Table{Version: 1, Services: map[string]*route.Service{"app": {}}})
	return s
}

func emptyState() *state {
	limiter := quota.NewLimiter(time.Now, 1, quota.Tolerance{})
	return newState(Platform{}, "r", &route.Live{}, &workspace.CurrentSnapshot{}, limiter, func(map[string]string) {}, metrics.New())
}

// Guards against: of two daemons, one of which knows of the store's new era, the other one keeps
// or sends what is older.
func TestPeersAcrossEras(t *testing.T) {
	apply := func(s *state, version byte, v objectstore.Version) {
		So(s.applyConfig(objectstore.Object{Version: v, Value: []byte{version}}), ShouldBeTrue)
	}
	poll := func(from, of *peerSync) *wire.SyncAnswer {
		q := &wire.SyncAsk{
			ServersRevision: uint64(from.state.serversRevision), ConfigRevision: uint64(from.state.config.Version),
			ConfigVersion: from.state.configVersion(), Changes: true,
		}
		from.askServers("reader", q)
		m, _ := of.buildAnswer(q, of.state.serversFreshness.Now())
		from.apply("reader", m, 0, 0)
		return m
	}
	Convey("Given a daemon with the newest configuration, and one that started on the backup", t, func() {
		knows, started := syncOf(stateWithConfig()), syncOf(emptyState())
		started.state.platform.DecodeConfiguration = knows.state.platform.DecodeConfiguration
		apply(knows.state, 9, at(1, 90))
		apply(started.state, 8, at(2, 80))
		Convey("the second is told, the first is not", func() {
			So(poll(knows, started).Config, ShouldBeEmpty)
			So(poll(started, knows).Config, ShouldNotBeEmpty)
			So(started.state.routes.Load().Version, ShouldEqual, 9)
			So(poll(started, knows).Config, ShouldBeEmpty)
			So(poll(knows, started).Config, ShouldBeEmpty)
		})
		Convey("one that does not tell its configuration's own version is told by the revision", func() {
			m, _ := knows.buildAnswer(&wire.SyncAsk{ConfigRevision: uint64(at(1, 90))}, 0)
			So(m.Config, ShouldBeEmpty)
			m, _ = knows.buildAnswer(&wire.SyncAsk{ConfigRevision: uint64(at(1, 89))}, 0)
			So(m.Config, ShouldNotBeEmpty)
		})
	})
	Convey("A reader that has just started on the backup asks another daemon, once", t, func() {
		all, nets, readers, _ := newPeerSyncs(3)
		reader := all[readers[0]]
		for _, p := range all {
			p.state.platform.DecodeConfiguration = stateWithConfig().platform.DecodeConfiguration
			p.setProofAge(100 * time.Millisecond)
			if p != reader {
				apply(p.state, 9, at(1, 90))
			}
		}
		apply(reader.state, 8, at(2, 80))
		So(reader.pollNext(), ShouldBeNil)
		So(reader.state.routes.Load().Version, ShouldEqual, 9)
		_, ok := reader.pickReader()
		So(ok, ShouldBeFalse)
		So(nets[readers[0]].polled, ShouldHaveLength, 1)
	})
	Convey("It does not ask for long where nobody answers", t, func() {
		all, _, readers, _ := newPeerSyncs(3)
		reader := all[readers[0]]
		reader.setProofAge(100 * time.Millisecond)
		reader.startedAt = time.Now().Add(-startPollTimeout)
		_, ok := reader.pickReader()
		So(ok, ShouldBeFalse)
	})
	Convey("A daemon is told once that another era has begun, also if no server has changed", t, func() {
		reader, follower := syncOf(stateWithRoutes()), syncOf(stateWithRoutes())
		servers := []discovery.Server{{ID: "a", Service: "app"}}
		reader.state.replaceServers(servers, at(1, 50))
		poll(follower, reader)
		reader.state.replaceServers(servers, at(2, 45))
		So(poll(follower, reader).ServersTold, ShouldBeTrue)
		So(follower.state.storeEra(), ShouldEqual, 2)
		So(follower.state.storeRestored, ShouldHaveLength, 1)
		So(poll(follower, reader).ServersTold, ShouldBeFalse)
	})
	Convey("A daemon of the era before is sent the whole list", t, func() {
		reader, follower := syncOf(stateWithRoutes()), syncOf(stateWithRoutes())
		reader.state.replaceServers([]discovery.Server{{ID: "a", Service: "app"}, {ID: "b", Service: "app"}}, at(1, 50))
		poll(follower, reader)
		reader.state.replaceServers([]discovery.Server{{ID: "a", Service: "app"}, {ID: "b", Service: "app", Slots: 2}}, at(2, 45))
		So(poll(follower, reader).Servers, ShouldHaveLength, 2)
		So(follower.state.serversRevision, ShouldEqual, at(2, 45))
		listed := reader.state.directory.Listed()
		So(poll(reader, follower).ServersTold, ShouldBeTrue) // it has never polled that daemon
		So(reader.state.directory.Listed(), ShouldResemble, listed)
		So(poll(reader, follower).ServersTold, ShouldBeFalse)
	})
}

// Guards against proofs that count as too old, so that each daemon lists the servers itself every
// few seconds.
func TestProofAgeCountsFromReadersRead(t *testing.T) {
	Convey("Given a reader that has just read", t, func() {
		reader := syncOf(emptyState())
		reader.state.serversFreshness.Confirm(reader.state.serversFreshness.Now())
		reader.state.configFreshness.Confirm(reader.state.configFreshness.Now())

		Convey("a poll that it held for a second proves almost as much as its read", func() {
			received := reader.state.serversFreshness.Now() - time.Second
			m, _ := reader.buildAnswer(&wire.SyncAsk{}, received)
			So(m.HeldMs, ShouldBeGreaterThanOrEqualTo, 1000)

			follower := syncOf(emptyState())
			sent := follower.state.serversFreshness.Now() - 1100*time.Millisecond
			follower.apply("reader", m, sent, sent)
			age, ok := follower.state.serversFreshness.Age()
			So(ok, ShouldBeTrue)
			sinceSent := follower.state.serversFreshness.Now() - sent
			So(age, ShouldBeLessThanOrEqualTo, sinceSent-time.Second+milliseconds(m.ServersAgeMs))
			So(age, ShouldBeGreaterThanOrEqualTo, 100*time.Millisecond)
			age, ok = follower.state.configFreshness.Age()
			So(ok, ShouldBeTrue)
			So(age, ShouldBeLessThanOrEqualTo, follower.state.configFreshness.Now()-sent-time.Second+milliseconds(m.ConfigAgeMs))
		})
		Convey("the hold time that it reports is no longer than the real one", func() {
			start := reader.state.serversFreshness.Now()
			payload, err := proto.Marshal(&wire.SyncAsk{HoldMs: 1})
			So(err, ShouldBeNil)
			answer, err := reader.handlePoll(context.Background(), "b", payload)
			So(err, ShouldBeNil)
			var m wire.SyncAnswer
			So(proto.Unmarshal(answer, &m), ShouldBeNil)
			So(m.HeldMs, ShouldBeGreaterThanOrEqualTo, 1)
			So(milliseconds(m.HeldMs), ShouldBeLessThanOrEqualTo, reader.state.serversFreshness.Now()-start)
		})
		Convey("an answer with too long a hold time gives no proof that lies in the future", func() {
			follower := syncOf(emptyState())
			sent := follower.state.serversFreshness.Now()
			follower.apply("reader", &wire.SyncAnswer{ConfigAgeMs: 20, ServersAgeMs: 20, HeldMs: 3_600_000}, sent, sent)
			for _, f := range []*revision.Freshness{follower.state.serversFreshness, follower.state.configFreshness} {
				age, ok := f.Age()
				So(ok, ShouldBeTrue)
				So(age, ShouldBeGreaterThanOrEqualTo, 20*time.Millisecond)
			}
		})
		Convey("a poll that arrives after the read proves no more than the read", func() {
			m := &wire.SyncAnswer{ConfigAgeMs: -1, ServersAgeMs: 5000, HeldMs: 300}
			follower := syncOf(emptyState())
			sent := follower.state.serversFreshness.Now() - 400*time.Millisecond
			follower.apply("reader", m, sent, sent)
			age, _ := follower.state.serversFreshness.Age()
			So(age, ShouldBeGreaterThanOrEqualTo, 5100*time.Millisecond)
		})
	})
}

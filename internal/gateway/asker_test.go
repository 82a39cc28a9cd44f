package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/quota"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

func emptyState() *state {
	ledger := quota.NewLedger(time.Now, 1, quota.Tolerance{})
	return newState(Platform{}, "r", &route.Live{}, &workspace.Live{}, ledger, func(map[string]bool) {}, metrics.New())
}

// Symptom: daemons that get what they know from a reader list the servers
// themselves each few seconds; on 72 daemons these were 927 of 2,350 calls of
// the store in a quiet day.
// Sequence: an ask is held for a second, until the reader has read again.
// Cause: the proof counted from the asking, so it was a second old on arrival.
func TestAProofCountsFromTheReadersRead(t *testing.T) {
	Convey("Given a reader that has just read", t, func() {
		reader := &asker{state: emptyState()}
		reader.state.serversFresh.Prove(reader.state.serversFresh.Mark())
		reader.state.configFresh.Prove(reader.state.configFresh.Mark())

		Convey("an ask that it held for a second proves almost as much as its read", func() {
			came := reader.state.serversFresh.Mark() - time.Second
			m, _ := reader.newer(&wire.SyncAsk{}, came)
			So(m.HeldMs, ShouldBeGreaterThanOrEqualTo, 1000)

			other := &asker{state: emptyState()}
			sent := other.state.serversFresh.Mark() - 1100*time.Millisecond
			other.take(m, sent, sent)
			age, ok := other.state.serversFresh.Age()
			So(ok, ShouldBeTrue)
			sinceSent := other.state.serversFresh.Mark() - sent
			So(age, ShouldBeLessThanOrEqualTo, sinceSent-time.Second+milliseconds(m.ServersAgeMs))
			So(age, ShouldBeGreaterThanOrEqualTo, 100*time.Millisecond)
			age, ok = other.state.configFresh.Age()
			So(ok, ShouldBeTrue)
			So(age, ShouldBeLessThanOrEqualTo, other.state.configFresh.Mark()-sent-time.Second+milliseconds(m.ConfigAgeMs))
		})
		Convey("it tells no longer a hold than there was", func() {
			began := reader.state.serversFresh.Mark()
			payload, err := proto.Marshal(&wire.SyncAsk{HoldMs: 1})
			So(err, ShouldBeNil)
			answer, err := reader.answer(context.Background(), "b", payload)
			So(err, ShouldBeNil)
			var m wire.SyncAnswer
			So(proto.Unmarshal(answer, &m), ShouldBeNil)
			So(m.HeldMs, ShouldBeGreaterThanOrEqualTo, 1)
			So(milliseconds(m.HeldMs), ShouldBeLessThanOrEqualTo, reader.state.serversFresh.Mark()-began)
		})
		Convey("an answer that tells too long a hold proves nothing of the future", func() {
			other := &asker{state: emptyState()}
			sent := other.state.serversFresh.Mark()
			other.take(&wire.SyncAnswer{ConfigAgeMs: 20, ServersAgeMs: 20, HeldMs: 3_600_000}, sent, sent)
			for _, f := range []*revision.Freshness{other.state.serversFresh, other.state.configFresh} {
				age, ok := f.Age()
				So(ok, ShouldBeTrue)
				So(age, ShouldBeGreaterThanOrEqualTo, 20*time.Millisecond)
			}
		})
		Convey("it never proves more than the read: an ask that came after it counts as of the read", func() {
			m := &wire.SyncAnswer{ConfigAgeMs: -1, ServersAgeMs: 5000, HeldMs: 300}
			other := &asker{state: emptyState()}
			sent := other.state.serversFresh.Mark() - 400*time.Millisecond
			other.take(m, sent, sent)
			age, _ := other.state.serversFresh.Age()
			So(age, ShouldBeGreaterThanOrEqualTo, 5100*time.Millisecond)
		})
	})
}

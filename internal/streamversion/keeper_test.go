package streamversion

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/peer/peertest"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/member"
)

// testTimeout bounds waits; no test passes or fails because of its value.
const testTimeout = 20 * time.Second

// The streams are at most testLife old; daemons have observed the servers for longer.
const testLife, observed = time.Minute, time.Hour

// fleet is some keepers on an in-memory network.
type fleet struct {
	t       *testing.T
	net     *peertest.Network
	members []member.Member
	keepers map[string]*testKeeper
}

type testKeeper struct {
	*Keeper
	view *member.CurrentView

	mu       sync.Mutex
	proofAge time.Duration
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, net: peertest.NewNetwork(), members: testMembers(n, 2), keepers: map[string]*testKeeper{}}
	t.Cleanup(f.net.Close)
	for i := range n {
		f.start(i)
	}
	return f
}

// start starts the ith daemon with empty records. Both versions have servers.
func (f *fleet) start(i int) *testKeeper {
	name, history := f.members[i].Name, NewHistory()
	history.Add(time.Now().Add(-observed), "svc", "v1")
	history.Add(time.Now(), "svc", "v2")
	k := &testKeeper{view: &member.CurrentView{}}
	k.Keeper = New(Config{Region: "r", History: history, Metrics: metrics.New(), ProofAge: func() (time.Duration, bool) {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.proofAge, true
	}})
	joined := make(chan struct{})
	close(joined)
	k.view.Store(member.NewView(name, append([]member.Member(nil), f.members...)))
	k.Join(f.net.Node(peer.Name(name)), k.view, joined)
	f.keepers[name] = k
	return k
}

func (f *fleet) at(i int) *testKeeper { return f.keepers[f.members[i].Name] }

// crash ends a daemon; the others still list it.
func (f *fleet) crash(i int) { f.net.Crash(peer.Name(f.members[i].Name)) }

// settle waits until a record is at the keepers.
func (f *fleet) settle(s Stream, copies int) {
	f.t.Helper()
	testwait.Until(f.t, testTimeout, "the keepers have the record", func() bool {
		n := 0
		for _, k := range f.keepers {
			if _, ok := k.table.get(time.Now(), s.key()); ok {
				n++
			}
		}
		return n >= copies
	})
}

func (k *testKeeper) setProofAge(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.proofAge = d
}

// onlyV1 leaves a daemon with no memory of the second version.
func (k *testKeeper) onlyV1() { k.cfg.History.Remove(time.Now().Add(-2*versionMemory), "svc", "v2") }

var testStream = Stream{Service: "svc", Workspace: "space", Request: "r1"}

// Guards against: a caller that comes to another daemon gets another version, or is refused
// though daemons live that know its stream.
func TestStreamIsFoundAtAnyDaemon(t *testing.T) {
	ctx := context.Background()
	Convey("Given a stream that one of six daemons has recorded", t, func() {
		f := newFleet(t, 6)
		f.at(0).Record(testStream, "v2", time.Minute)
		f.settle(testStream, 1+keepersTold)
		Convey("each finds its version", func() {
			for i := range 6 {
				version, err := f.at(i).Lookup(ctx, testStream, testLife)
				So(err, ShouldBeNil)
				So(version, ShouldEqual, "v2")
			}
		})
		Convey("any two others may die together with that daemon", func() {
			for a := 1; a < 6; a++ {
				f := newFleet(t, 6)
				f.at(0).Record(testStream, "v2", time.Minute)
				f.settle(testStream, 1+keepersTold)
				f.crash(0)
				f.crash(a)
				f.crash(1 + a%5)
				version, err := f.at(1+(a+1)%5).Lookup(ctx, testStream, testLife)
				So(err, ShouldBeNil)
				So(version, ShouldEqual, "v2")
			}
		})
		Convey("daemons that have started again know nothing, but ask the others", func() {
			for _, i := range []int{0, 3} {
				f.crash(i)
				f.start(i)
			}
			version, err := f.at(0).Lookup(ctx, testStream, testLife)
			So(err, ShouldBeNil)
			So(version, ShouldEqual, "v2")
		})
		Convey("nobody finds it under another workspace, service or id", func() {
			for _, s := range []Stream{{"svc", "other", "r1"}, {"else", "space", "r1"}, {"svc", "space", "r2"}, {"svc", "space", ""}} {
				_, err := f.at(1).Lookup(ctx, s, testLife)
				So(err, ShouldEqual, ErrUnknown)
			}
		})
		Convey("the id of another stream of the same caller makes it unknown, not wrong", func() {
			f.at(1).Record(testStream, "v1", time.Minute)
			knowsBoth := func(k *testKeeper) bool {
				version, ok := k.table.get(time.Now(), testStream.key())
				return ok && version == ambiguous
			}
			testwait.Until(t, testTimeout, "two keepers know both", func() bool {
				n := 0
				for _, k := range f.keepers {
					if knowsBoth(k) {
						n++
					}
				}
				return n >= keepersTold-1
			})
			for _, k := range f.keepers {
				if knowsBoth(k) {
					_, err := k.Lookup(ctx, testStream, testLife)
					So(err, ShouldEqual, ErrUnknown)
				}
			}
		})
	})
}

// Guards against: a stream that nobody knows goes on at a version that is a guess.
func TestUnknownStream(t *testing.T) {
	ctx := context.Background()
	Convey("While two versions serve it is refused", t, func() {
		_, err := newFleet(t, 3).at(0).Lookup(ctx, testStream, testLife)
		So(err, ShouldEqual, ErrUnknown)
	})
	Convey("It goes on where a single version is known to all", t, func() {
		f := newFleet(t, 3)
		for _, k := range f.keepers {
			k.onlyV1()
		}
		version, err := f.at(0).Lookup(ctx, testStream, testLife)
		So(err, ShouldBeNil)
		So(version, ShouldEqual, "v1")
	})
	Convey("One daemon that has seen a second version is enough to refuse it", t, func() {
		f := newFleet(t, 3)
		f.at(0).onlyV1()
		f.at(1).onlyV1()
		_, err := f.at(0).Lookup(ctx, testStream, testLife)
		So(err, ShouldEqual, ErrUnknown)
	})
	Convey("A daemon that nobody answers trusts its own list only while that is fresh", t, func() {
		f := newFleet(t, 3)
		f.at(0).onlyV1()
		f.crash(1)
		f.crash(2)
		version, err := f.at(0).Lookup(ctx, testStream, testLife)
		So(err, ShouldBeNil)
		So(version, ShouldEqual, "v1")
		f.at(0).setProofAge(2 * maxProofAge)
		_, err = f.at(0).Lookup(ctx, testStream, testLife)
		So(err, ShouldEqual, ErrNoAnswer)
	})
	Convey("Daemons that don't answer in time are not waited for", t, func() {
		f := newFleet(t, 3)
		for _, i := range []int{1, 2} {
			f.net.Drop(peer.Name(f.members[0].Name), peer.Name(f.members[i].Name))
		}
		_, err := f.at(0).Lookup(ctx, testStream, testLife)
		So(err, ShouldEqual, ErrNoAnswer)
	})
	Convey("A daemon that has not joined the others yet knows nothing", t, func() {
		k := New(Config{Region: "r", History: NewHistory(), Metrics: metrics.New(), ProofAge: func() (time.Duration, bool) { return 0, false }})
		net := peertest.NewNetwork()
		defer net.Close()
		k.Join(net.Node("a"), &member.CurrentView{}, make(chan struct{}))
		_, err := k.Lookup(ctx, testStream, testLife)
		So(err, ShouldEqual, ErrNoAnswer)
	})
}

// Guards against: a message of a peer that breaks a keeper, or is kept for ever.
func TestMessagesOfPeers(t *testing.T) {
	Convey("A malformed message is refused, and a long time is cut", t, func() {
		f := newFleet(t, 2)
		for _, handle := range []peer.Handler{f.at(0).handleBegan, f.at(0).handleQuestion} {
			_, err := handle(context.Background(), "n001", []byte{0xff})
			So(err, ShouldNotBeNil)
		}
		f.at(0).Record(testStream, "v1", 24*time.Hour)
		f.settle(testStream, 2)
		_, ok := f.at(1).table.get(time.Now().Add(maxKeep+time.Second), testStream.key())
		So(ok, ShouldBeFalse)
	})
	Convey("Many daemons ask at once", t, func() {
		f := newFleet(t, 6)
		for i := range 50 {
			f.at(0).Record(Stream{"svc", "space", fmt.Sprint(i)}, "v1", time.Minute)
		}
		f.settle(Stream{"svc", "space", "49"}, 1+keepersTold)
		var wg sync.WaitGroup
		errs := make(chan error, 250)
		for i := range 250 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, err := f.at(1+i%5).Lookup(context.Background(), Stream{"svc", "space", fmt.Sprint(i % 50)}, testLife)
				errs <- err
			}()
		}
		wg.Wait()
		close(errs)
		for err := range errs {
			So(err, ShouldBeNil)
		}
	})
}

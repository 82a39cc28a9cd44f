package callermem

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against: bytes are taken that are not given back on some way out, or more are taken
// than there are, until the process has no memory or serves nobody.
func TestEveryByteIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &callersModel{account: New(Limits{Bytes: 400, Connections: 8, ConnBytes: 10, BusyBytes: 5, RequestBytes: 3}, Events{})}
		t.Repeat(map[string]func(*rapid.T){
			"accept": m.accept, "begin": m.begin, "reserve": m.reserve, "resize": m.resize, "pin": m.pin,
			"unpin": m.unpin, "release": m.release, "answer": m.answer, "close": m.close, "": m.check,
		})
		for _, c := range m.callers {
			StateChanged(c.conn, fasthttp.StateClosed)
		}
		if used := m.account.Used(); used != 0 || m.account.Open() != 0 || len(m.account.owners) != 0 {
			t.Fatalf("%d bytes, %d connections and %d owners are left", used, m.account.Open(), len(m.account.owners))
		}
	})
}

// callersModel drives an account with callers that come, send requests and leave.
type callersModel struct {
	account *Account
	callers []*modelCaller
}

type modelCaller struct {
	conn    *Conn
	request *Reservation // nil: none
	pinned  bool
	evicted bool
}

func (m *callersModel) pick(t *rapid.T) *modelCaller {
	if len(m.callers) == 0 {
		t.Skip("no callers")
	}
	return rapid.SampledFrom(m.callers).Draw(t, "caller")
}

func (m *callersModel) pickRequest(t *rapid.T) *modelCaller {
	c := m.pick(t)
	if c.request == nil {
		t.Skip("no request")
	}
	return c
}

func (m *callersModel) accept(*rapid.T) {
	if c := m.account.Accept(&testConn{}, nil); c != nil {
		m.callers = append(m.callers, &modelCaller{conn: c})
	}
}

func (m *callersModel) begin(t *rapid.T) {
	if c := m.pick(t); c.request == nil {
		StateChanged(c.conn, fasthttp.StateActive)
		if rapid.Bool().Draw(t, "whole") {
			c.conn.BodyRead()
		}
	}
}

func (m *callersModel) reserve(t *rapid.T) {
	c := m.pick(t)
	if c.request != nil {
		t.Skip("it has a request")
	}
	owner := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")
	c.evicted, c.pinned = false, false
	c.request = m.account.Reserve(c.conn, owner, request.Tier(rapid.IntRange(0, 3).Draw(t, "tier")), func() {
		if c.pinned {
			t.Fatal("a request that was dispatched was evicted")
		}
		c.evicted = true
	})
}

func (m *callersModel) resize(t *rapid.T) {
	m.pickRequest(t).request.Resize(rapid.Int64Range(0, 200).Draw(t, "bytes"))
}

func (m *callersModel) pin(t *rapid.T) {
	c := m.pickRequest(t)
	c.pinned = c.request.Pin()
	if c.pinned && c.evicted {
		t.Fatal("a request was dispatched after it was evicted")
	}
}

func (m *callersModel) unpin(t *rapid.T) {
	c := m.pickRequest(t)
	c.request.Unpin()
	c.pinned = false
}

func (m *callersModel) release(t *rapid.T) {
	c := m.pickRequest(t)
	c.request.Release()
	c.request, c.pinned = nil, false
}

func (m *callersModel) answer(t *rapid.T) {
	c := m.pick(t)
	StateChanged(c.conn, fasthttp.StateIdle)
	c.request, c.pinned = nil, false
}

func (m *callersModel) close(t *rapid.T) {
	c := m.pick(t)
	StateChanged(c.conn, fasthttp.StateClosed)
	for i := range m.callers {
		if m.callers[i] == c {
			m.callers = append(m.callers[:i], m.callers[i+1:]...)
			return
		}
	}
}

func (m *callersModel) check(t *rapid.T) {
	sum := int64(0)
	owners := map[string]int64{}
	for _, c := range m.callers {
		if !c.conn.closed {
			sum += c.conn.bytes
		}
		if r := c.request; r != nil && !r.ended {
			sum += r.bytes
			owners[r.owner] += r.bytes
		}
	}
	if used := m.account.Used(); used != sum || used > m.account.limits.Bytes {
		t.Fatalf("%d bytes are taken, callers hold %d, limit %d", used, sum, m.account.limits.Bytes)
	}
	for owner, bytes := range owners {
		if m.account.owners[owner] != bytes {
			t.Fatalf("owner %s has %d bytes, its requests hold %d", owner, m.account.owners[owner], bytes)
		}
	}
}

// Guards against: one workspace's requests hold all memory, and others of the same tier get none.
func TestTheLargestOwnerGivesWay(t *testing.T) {
	Convey("Given a workspace whose waiting requests hold all memory", t, func() {
		a := New(Limits{Bytes: 100}, Events{})
		var evicted []int
		var waiting []*Reservation
		for i := range 4 {
			r := a.Reserve(nil, "large", 1, func() { evicted = append(evicted, i) })
			So(r.Resize(25), ShouldBeTrue)
			waiting = append(waiting, r)
		}
		other := a.Reserve(nil, "small", 1, func() {})
		Convey("the newest of them gives way to another workspace of its tier", func() {
			So(other.Resize(20), ShouldBeTrue)
			So(evicted, ShouldResemble, []int{3})
			So(waiting[3].Evicted(), ShouldBeTrue)
			Convey("until both hold as much", func() {
				So(other.Resize(60), ShouldBeFalse)
				So(other.Resize(50), ShouldBeTrue)
				So(evicted, ShouldResemble, []int{3, 2})
			})
		})
		Convey("but not to a lower tier", func() {
			So(a.Reserve(nil, "low", 2, func() {}).Resize(20), ShouldBeFalse)
			So(evicted, ShouldBeEmpty)
		})
		Convey("and one that was dispatched does not", func() {
			So(waiting[3].Pin(), ShouldBeTrue)
			So(other.Resize(20), ShouldBeTrue)
			So(evicted, ShouldResemble, []int{2})
		})
	})
}

// Guards against: an answer that waits for room is lost although room becomes free.
func TestRoomIsAwaited(t *testing.T) {
	Convey("Given no room for an answer", t, func() {
		a := New(Limits{Bytes: 100}, Events{})
		first, second := a.Reserve(nil, "", 0, func() {}), a.Reserve(nil, "", 0, func() {})
		So(first.Resize(80), ShouldBeTrue)
		So(first.Pin() && second.Pin(), ShouldBeTrue)
		Convey("it gets the room that is given back", func() {
			done := make(chan error)
			go func() { done <- second.AwaitRoom(context.Background(), 60) }()
			first.Release()
			So(<-done, ShouldBeNil)
			So(a.Used(), ShouldEqual, 60)
		})
		Convey("its context ends the wait", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(second.AwaitRoom(ctx, 60), ShouldEqual, context.Canceled)
		})
		Convey("the loss of its reservation ends the wait", func() {
			second.Release()
			So(second.AwaitRoom(context.Background(), 60), ShouldEqual, ErrEvicted)
		})
	})
}

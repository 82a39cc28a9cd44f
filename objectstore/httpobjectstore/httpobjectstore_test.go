package httpobjectstore_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore/httpobjectstore"
)

const kind = objectstore.Kind("Template")

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// serve starts a stand-in and returns its address.
func serve(t *testing.T, s *standin.Standin) string {
	ln := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx, ln) }()
	return ln.Addr().String()
}

func TestCalls(t *testing.T) {
	Convey("Given a stand-in behind HTTP", t, func() {
		ctx := context.Background()
		s := standin.New(standin.Options{History: 20, LoadBurst: 1, LoadsPerSecond: 0.01, VMs: []objectstore.VM{{Name: "a", State: objectstore.VMLive}}})
		c := httpobjectstore.New(httpobjectstore.Options{Addr: serve(t, s)})
		v1, err := c.Create(ctx, kind, "a/b ü&", []byte("one"))
		So(err, ShouldBeNil)

		Convey("writes are conditional and reads return them", func() {
			_, err = c.Create(ctx, kind, "a/b ü&", nil)
			So(errors.Is(err, objectstore.ErrConflict), ShouldBeTrue)
			v2, err := c.Update(ctx, kind, "a/b ü&", []byte("two"), v1)
			So(err, ShouldBeNil)
			_, err = c.Delete(ctx, kind, "a/b ü&", v1)
			So(errors.Is(err, objectstore.ErrConflict), ShouldBeTrue)
			o, err := c.Get(ctx, kind, "a/b ü&")
			So(err, ShouldBeNil)
			So(o, ShouldResemble, objectstore.Object{Kind: kind, Name: "a/b ü&", Version: v2, Created: v1, Value: []byte("two")})
			l, err := c.List(ctx, kind, "a/")
			So(err, ShouldBeNil)
			So(l, ShouldResemble, objectstore.List{Objects: []objectstore.Object{o}, Version: v2})
			_, err = c.Get(ctx, kind, "none")
			So(errors.Is(err, objectstore.ErrNotFound), ShouldBeTrue)
			_, err = c.Create(ctx, kind, "large", make([]byte, objectstore.MaxValueBytes+1))
			So(errors.Is(err, objectstore.ErrTooLarge), ShouldBeTrue)
		})
		Convey("a watch reports changes and deletions of its kinds, and compaction", func() {
			go func() {
				_, _ = c.Create(ctx, "Other", "x", nil)
				_, _ = c.Delete(ctx, kind, "a/b ü&", v1)
			}()
			events, next, err := c.Watch(ctx, []objectstore.Kind{kind}, v1, time.Minute)
			So(err, ShouldBeNil)
			So(events, ShouldHaveLength, 1)
			So(events[0].Deleted, ShouldBeTrue)
			events, _, err = c.Watch(ctx, []objectstore.Kind{kind}, next, 0)
			So(err, ShouldBeNil)
			So(events, ShouldBeEmpty)
			for i := range 30 {
				_, err = c.Create(ctx, kind, string(rune('A'+i)), nil)
				So(err, ShouldBeNil)
			}
			_, _, err = c.Watch(ctx, []objectstore.Kind{kind}, v1, time.Minute)
			So(errors.Is(err, objectstore.ErrCompacted), ShouldBeTrue)
		})
		Convey("the VM list and the weight store answer", func() {
			vms, err := c.VMs(ctx)
			So(err, ShouldBeNil)
			So(vms[0].Name, ShouldEqual, "a")
			wait, err := c.Reserve(ctx, "m", "1")
			So(err, ShouldBeNil)
			So(wait, ShouldEqual, 0)
			wait, err = c.Reserve(ctx, "m", "1")
			So(err, ShouldBeNil)
			So(wait, ShouldBeGreaterThan, time.Second)
		})
		Convey("faults are reported as the port's errors", func() {
			s.SetFaults(standin.Faults{LoseNext: 1})
			_, err := c.Create(ctx, kind, "lost", []byte("x"))
			So(errors.Is(err, objectstore.ErrUnknownOutcome), ShouldBeTrue)
			o, err := c.Get(ctx, kind, "lost")
			So(err, ShouldBeNil)
			So(string(o.Value), ShouldEqual, "x")
			s.SetFaults(standin.Faults{StaleWrites: 1})
			_, err = c.Get(ctx, kind, "lost")
			So(errors.Is(err, objectstore.ErrNotFound), ShouldBeTrue)
			s.SetFaults(standin.Faults{Down: true})
			_, err = c.Create(ctx, kind, "down", nil)
			So(errors.Is(err, objectstore.ErrUnavailable), ShouldBeTrue)
		})
	})
}

// Guards against: a write is repeated by the client, or a failed read is not retried.
func TestNoWriteIsRepeated(t *testing.T) {
	var requests atomic.Int64
	ln := listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				requests.Add(1)
			}
			_ = conn.Close()
		}
	}()
	Convey("Given a server that closes each connection after reading a request", t, func() {
		requests.Store(0)
		reg := metrics.New()
		c := httpobjectstore.New(httpobjectstore.Options{Addr: ln.Addr().String(), Metrics: reg})
		ctx := context.Background()
		Convey("a write is sent once and its outcome is unknown", func() {
			for _, write := range []func() error{
				func() error { _, err := c.Create(ctx, kind, "a", nil); return err },
				func() error { _, err := c.Update(ctx, kind, "a", nil, 1); return err },
				func() error { _, err := c.Delete(ctx, kind, "a", 1); return err },
			} {
				before := requests.Load()
				So(errors.Is(write(), objectstore.ErrUnknownOutcome), ShouldBeTrue)
				So(requests.Load()-before, ShouldEqual, 1)
			}
		})
		Convey("a read is sent twice, and counted", func() {
			_, err := c.Get(ctx, kind, "a")
			So(errors.Is(err, objectstore.ErrUnknownOutcome), ShouldBeTrue)
			So(requests.Load(), ShouldEqual, 2)
			So(reg.Counter("platform_retries", "broken").Value(), ShouldEqual, 1)
		})
	})
	Convey("A write whose connect was refused certainly had no effect", t, func() {
		closed := listen(t)
		_ = closed.Close()
		_, err := httpobjectstore.New(httpobjectstore.Options{Addr: closed.Addr().String()}).Create(context.Background(), kind, "a", nil)
		So(errors.Is(err, objectstore.ErrUnavailable), ShouldBeTrue)
	})
}

// relay forwards connections. After silence, the existing ones stay open but forward
// nothing more.
type relay struct {
	mu     sync.Mutex
	silent []*atomic.Bool
	opened atomic.Int64
}

func (r *relay) serve(ln net.Listener, to string) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		muted := new(atomic.Bool)
		r.mu.Lock()
		r.silent = append(r.silent, muted)
		r.mu.Unlock()
		r.opened.Add(1)
		forward := func(dst, src net.Conn) {
			buf := make([]byte, 4096)
			for {
				n, err := src.Read(buf)
				if err != nil {
					return
				}
				if !muted.Load() {
					_, _ = dst.Write(buf[:n])
				}
			}
		}
		go forward(out, in)
		go forward(in, out)
	}
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.silent {
		m.Store(true)
	}
}

// Guards against: calls on silent connections time out for minutes while the store is reachable.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	Convey("Given open connections that go silent for good", t, func() {
		ln, r := listen(t), &relay{}
		go r.serve(ln, serve(t, standin.New(standin.Options{})))
		c := httpobjectstore.New(httpobjectstore.Options{Addr: ln.Addr().String(), CallTimeout: 300 * time.Millisecond})
		ctx := context.Background()
		var all sync.WaitGroup
		for range 4 {
			all.Go(func() { _, _, _ = c.Watch(ctx, []objectstore.Kind{kind}, 0, 50*time.Millisecond) })
		}
		all.Wait()
		before := r.opened.Load()
		r.silence()
		_, err := c.Create(ctx, kind, "first", nil)
		So(errors.Is(err, objectstore.ErrUnknownOutcome), ShouldBeTrue)
		Convey("the next call uses a new connection and succeeds", func() {
			_, err := c.Create(ctx, kind, "second", nil)
			So(err, ShouldBeNil)
			So(r.opened.Load(), ShouldBeGreaterThan, before)
		})
	})
}

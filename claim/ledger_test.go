package claim_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/claim"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/request"
)

func TestOutcomes(t *testing.T) {
	for name, open := range ledgers {
		Convey("Given a claim in a ledger: "+name, t, func() {
			ctx := context.Background()
			store := standin.New(standin.Options{})
			l := open(store)
			c, err := l.Claim(ctx, key(0), claim.Hash{1}, request.NewID())
			So(err, ShouldBeNil)
			retry := func(h byte) (claim.Outcome, error) {
				other := open(store)
				Reset(func() { _ = other.Close(ctx) })
				_, err := other.Claim(ctx, key(0), claim.Hash{h}, request.NewID())
				var existing *claim.ExistingError
				if errors.As(err, &existing) {
					return existing.Outcome, nil
				}
				return claim.Outcome{}, err
			}

			Convey("a retry finds the key claimed until an outcome is recorded", func() {
				o, err := retry(1)
				So(err, ShouldBeNil)
				So(o.State, ShouldEqual, claim.Claimed)
			})
			Convey("the same key with other content is a conflict", func() {
				_, err := retry(2)
				So(errors.Is(err, claim.ErrConflict), ShouldBeTrue)
			})
			Convey("a retry gets a short answer in full, with its content type", func() {
				want := claim.Outcome{State: claim.Ran, Answer: []byte(`{"ok":1}`), ContentType: "application/json", Status: 201}
				c.Finish(want)
				c.Release() // only the first outcome counts
				So(l.Close(ctx), ShouldBeNil)
				o, err := retry(1)
				So(err, ShouldBeNil)
				So(o, ShouldResemble, want)
			})
			Convey("a long answer is not kept, not even in part", func() {
				c.Finish(claim.Outcome{State: claim.Ran, Answer: make([]byte, claim.MaxAnswerBytes+1)})
				So(l.Close(ctx), ShouldBeNil)
				o, err := retry(1)
				So(err, ShouldBeNil)
				So(o.State, ShouldEqual, claim.Ran)
				So(o.Answer, ShouldBeNil)
			})
			Convey("an outcome is recorded once the store has recovered", func() {
				store.SetFaults(standin.Faults{Down: true})
				c.Release()
				closed := make(chan error, 1)
				go func() { closed <- l.Close(ctx) }()
				store.SetFaults(standin.Faults{})
				So(<-closed, ShouldBeNil)
				_, err := retry(1)
				So(err, ShouldBeNil) // claimed: the retry may run now
			})
		})
	}
}

// Guards against a collected claim within its retention, whose request would run again.
func TestCollector(t *testing.T) {
	Convey("Given an expired claim, a recent one and one with a time in the future", t, func() {
		ctx := context.Background()
		store := standin.New(standin.Options{})
		now := time.Now()
		for i, age := range []time.Duration{25 * time.Hour, 23*time.Hour + 59*time.Minute, -time.Hour} {
			l := claim.NewLedger(store, claim.Options{Now: func() time.Time { return now.Add(-age) }})
			_, err := l.Claim(ctx, key(i), claim.Hash{}, request.NewID())
			So(err, ShouldBeNil)
		}
		left := func() int {
			l, err := store.List(ctx, claim.Kind, "")
			So(err, ShouldBeNil)
			return len(l.Objects)
		}
		c := claim.NewCollector(store, claim.CollectorOptions{DeletesPerSecond: 1e6, Options: claim.Options{Now: func() time.Time { return now }}})

		Convey("only the expired one is collected", func() {
			n, err := c.Pass(ctx, func() error { return nil })
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 1)
			So(left(), ShouldEqual, 2)
		})
		Convey("nothing is collected once the lease is lost", func() {
			lost := errors.New("lost")
			_, err := c.Pass(ctx, func() error { return lost })
			So(errors.Is(err, lost), ShouldBeTrue)
			So(left(), ShouldEqual, 3)
		})
		Convey("a claim that changed meanwhile is kept", func() {
			touch := func() error {
				l, _ := store.List(ctx, claim.Kind, "")
				for _, o := range l.Objects {
					_, _ = store.Update(ctx, claim.Kind, o.Name, o.Value, o.Version)
				}
				return nil
			}
			n, err := c.Pass(ctx, touch)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 0)
			So(left(), ShouldEqual, 3)
		})
	})
}

// staleReader answers one read with an old version of the object.
type staleReader struct {
	objectstore.ObjectAPI
	old   objectstore.Object
	after int // reads before the stale one
}

func (s *staleReader) Get(ctx context.Context, k objectstore.Kind, n string) (objectstore.Object, error) {
	if s.after--; s.after == -1 {
		return s.old, nil
	}
	return s.ObjectAPI.Get(ctx, k, n)
}

// Guards against a stale read that makes a released key appear claimed for a day.
func TestStaleReadDecidesNothing(t *testing.T) {
	Convey("Given a claim that was released", t, func() {
		ctx := context.Background()
		store := standin.New(standin.Options{})
		first := claim.NewLedger(store, claim.Options{})
		c, err := first.Claim(ctx, key(0), claim.Hash{1}, request.NewID())
		So(err, ShouldBeNil)
		list, err := store.List(ctx, claim.Kind, "")
		So(err, ShouldBeNil)
		c.Release()
		So(first.Close(ctx), ShouldBeNil)

		store.SetFaults(standin.Faults{LoseNext: 1})
		second := claim.NewLedger(&staleReader{store, list.Objects[0], 1}, claim.Options{})
		_, err = second.Claim(ctx, key(0), claim.Hash{1}, request.NewID())
		So(err, ShouldBeNil)
		So(second.Close(ctx), ShouldBeNil)
	})
}

package gateway

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// outcomeStore holds one rollout's object. UpdateStatus replaces its status if the expected
// version matches or is 0.
type outcomeStore struct {
	objectstore.ObjectAPI
	object objectstore.Object
}

func (s *outcomeStore) Get(context.Context, objectstore.Kind, string) (objectstore.Object, error) {
	return s.object, nil
}

func (s *outcomeStore) UpdateStatus(_ context.Context, _ objectstore.Kind, _ string, status []byte, expected objectstore.Version) (objectstore.Version, error) {
	if expected != 0 && expected != s.object.Version {
		return 0, objectstore.ErrConflict
	}
	s.object.Version++
	s.object.Status = status
	return s.object.Version, nil
}

// Guards against the promotion of a version that was rolled back.
func TestFirstWrittenOutcomeWins(t *testing.T) {
	Convey("Given a rollout whose final state another daemon has written", t, func() {
		state := byte(rollout.RolledBack)
		store := &outcomeStore{object: objectstore.Object{Name: "app", Version: 93, Status: []byte{state}}}
		s := stateWithRollouts()
		s.platform.Store, s.platform.Status = store, store
		s.platform.EncodeOutcome = func(r rollout.Rollout) ([]byte, error) { return []byte{byte(r.State)}, nil }
		s.platform.DecodeRollout = func(o objectstore.Object) (rollout.Rollout, error) {
			return rolloutToV2(uint64(o.Version), rollout.State(o.Status[0])), nil
		}
		late := rolloutToV2(85, rollout.Running)
		s.putRollout(late, 90)
		d := newDeciders(s, rollout.Bounds{}, &member.CurrentView{}, logs.For("test"))
		Convey("a daemon that decides later reads it and adopts it", func() {
			late.State = rollout.Succeeded
			d.writeOutcome(context.Background(), late)
			So(store.object.Status, ShouldResemble, []byte{state})
			known, _ := s.rollout("app")
			So(known.State, ShouldEqual, rollout.RolledBack)
		})
	})
}

package discovery

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func serversOf(m map[string]Server) []Server {
	var out []Server
	for _, s := range m {
		out = append(out, s)
	}
	return out
}

// TestDeltaUpdatesAnyOldList checks that applying the delta since an earlier revision
// to the list of that revision gives the newest list, and that no delta is returned for
// a revision that is no longer known.
func TestDeltaUpdatesAnyOldList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c ChangeLog
		now := map[string]Server{}
		history := map[Revision][]Server{}
		for at := Revision(1); at <= 30; at++ {
			for range rapid.IntRange(0, 3).Draw(t, "edits") {
				id := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "id"))
				if rapid.Bool().Draw(t, "remove") {
					delete(now, id)
				} else {
					now[id] = Server{ID: id, Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
				}
			}
			history[at] = serversOf(now)
			if at >= 3 {
				c.Record(serversOf(now), at)
			}
		}
		for at, old := range history {
			d, ok := c.Since(at)
			if ok != (at >= 3) {
				t.Fatalf("Since(%d): ok is %v", at, ok)
			}
			if !ok {
				continue
			}
			dir, want := NewDirectory(), NewDirectory()
			dir.Replace(time.Time{}, d.Apply(old))
			want.Replace(time.Time{}, serversOf(now))
			if fmt.Sprint(dir.Listed()) != fmt.Sprint(want.Listed()) {
				t.Fatalf("Since(%d): got list %v, want %v", at, dir.Listed(), want.Listed())
			}
		}
	})
}

func TestChangeLogDropsOldestRemovals(t *testing.T) {
	Convey("For a revision before the remembered removals there is no delta", t, func() {
		var c ChangeLog
		c.Record(nil, 1)
		for i := range maxRemovals + 10 {
			c.Record([]Server{{ID: fmt.Sprint(i)}}, Revision(2+i))
		}
		_, ok := c.Since(5)
		So(ok, ShouldBeFalse)
		d, ok := c.Since(maxRemovals)
		So(ok, ShouldBeTrue)
		So(d.Changed, ShouldHaveLength, 1)
	})
	Convey("Before the first record there is no delta", t, func() {
		var c ChangeLog
		_, ok := c.Since(0)
		So(ok, ShouldBeFalse)
	})
}

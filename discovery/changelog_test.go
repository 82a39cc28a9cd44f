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

// applyDelta returns a list with the changes applied.
func applyDelta(d Delta, listed []Server) []Server {
	superseded := make(map[string]bool, len(d.Removed)+len(d.Changed))
	for _, id := range d.Removed {
		superseded[id] = true
	}
	for _, s := range d.Changed {
		superseded[s.ID] = true
	}
	out := make([]Server, 0, len(listed)+len(d.Changed))
	for _, s := range listed {
		if !superseded[s.ID] {
			out = append(out, s)
		}
	}
	return append(out, d.Changed...)
}

// TestDeltaUpdatesAnyOldList checks that applying the delta since an earlier number
// to the list of that number gives the newest list, and that no delta is returned for
// a number that is not known.
func TestDeltaUpdatesAnyOldList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c ChangeLog
		listed := NewDirectory()
		now := map[string]Server{}
		history := map[ChangeNumber][]Server{0: nil}
		for at := 1; at <= 30; at++ {
			for range rapid.IntRange(0, 3).Draw(t, "edits") {
				id := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "id"))
				if rapid.Bool().Draw(t, "remove") {
					delete(now, id)
				} else {
					now[id] = Server{ID: id, Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
				}
			}
			if at >= 3 {
				before := c.Newest()
				changed := listed.Replace(time.Time{}, serversOf(now))
				c.Record(listed.TakeChanges())
				if changed && c.Newest() <= before {
					t.Fatalf("a change kept the number %d", before)
				}
				history[c.Newest()] = serversOf(now)
			}
		}
		for at, old := range history {
			d, ok := c.Since(at)
			if ok != (at > 0) {
				t.Fatalf("Since(%d): ok is %v", at, ok)
			}
			if !ok {
				continue
			}
			dir, want := NewDirectory(), NewDirectory()
			dir.Replace(time.Time{}, applyDelta(d, old))
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
		listed := NewDirectory()
		c.Record(listed.TakeChanges())
		for i := range maxRemovals + 10 {
			listed.Replace(time.Time{}, []Server{{ID: fmt.Sprint(i)}})
			c.Record(listed.TakeChanges())
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

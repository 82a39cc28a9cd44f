package discovery

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Invalid returns the malformed entries, sorted by ID.
func (d *Directory) Invalid() []Server {
	return d.sorted(func(s Server) bool { return s.InvalidReason != "" })
}

// drawServer draws an entry of one of a few servers.
func drawServer(t *rapid.T) Server {
	s := Server{
		ID: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")), Slots: rapid.IntRange(1, 2).Draw(t, "slots"), Leaving: rapid.Bool().Draw(t, "leaving"),
		StartedAt: rapid.Int64Range(0, 2).Draw(t, "started"), Sequence: rapid.Uint64Range(0, 20).Draw(t, "sequence"), Revision: Revision(rapid.IntRange(0, 9).Draw(t, "revision")),
	}
	if rapid.IntRange(0, 5).Draw(t, "malformed") == 0 {
		s.InvalidReason = "malformed"
	}
	return s
}

// drawServers draws entries of different servers.
func drawServers(t *rapid.T) []Server {
	var out []Server
	seen := map[string]bool{}
	for range rapid.IntRange(0, 4).Draw(t, "servers") {
		if s := drawServer(t); !seen[s.ID] {
			seen[s.ID] = true
			out = append(out, s)
		}
	}
	return out
}

// Guards against a directory that differs after a reader's changes from one after its whole list.
func TestUpdateEqualsReplaceWithTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updated, replaced := NewDirectory(), NewDirectory()
		both := func(do func(d *Directory) bool) {
			if a, b := do(updated), do(replaced); a != b {
				t.Fatalf("changed: %v by the changes, %v by the list", a, b)
			}
		}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				s := drawServer(t)
				both(func(d *Directory) bool { return d.Put(now, s) })
			case 1:
				id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
				both(func(d *Directory) bool { return d.Delete(now, id, 0) })
			case 2:
				both(func(d *Directory) bool { d.StoreUnavailable(); return false })
			case 3:
				both(func(d *Directory) bool { d.Confirm(now); return false })
			case 4:
				listed := drawServers(t)
				both(func(d *Directory) bool { return d.Replace(now, listed) })
			default:
				delta := Delta{Changed: drawServers(t)}
				for range rapid.IntRange(0, 2).Draw(t, "removed") {
					delta.Removed = append(delta.Removed, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")))
				}
				a := updated.Update(now, delta)
				a = updated.ExpireMissing(now) || a
				b := replaced.Replace(now, applyDelta(delta, replaced.Listed()))
				b = replaced.ExpireMissing(now) || b
				if a != b {
					t.Fatalf("changed: %v by the changes, %v by the list", a, b)
				}
			}
			for name, of := range map[string]func(*Directory) []Server{"Servers": (*Directory).Servers, "Invalid": (*Directory).Invalid, "Listed": (*Directory).Listed} {
				if a, b := of(updated), of(replaced); !reflect.DeepEqual(a, b) {
					t.Fatalf("%s: %v by the changes, %v by the list", name, a, b)
				}
			}
			if a, b := updated.missing, replaced.missing; !reflect.DeepEqual(a, b) {
				t.Fatalf("missing: %v by the changes, %v by the list", a, b)
			}
		}
	})
}

// Guards against servers that stay out of what changed, or out of the sorted lists.
func TestTakenChangesLeadToTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, known := NewDirectory(), map[string]Server{}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d.Put(now, drawServer(t))
			case 1:
				d.Delete(now, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")), 0)
			case 2:
				d.StoreUnavailable()
			case 3:
				d.ExpireMissing(now)
			default:
				d.Replace(now, drawServers(t))
			}
			if rapid.Bool().Draw(t, "later") {
				continue
			}
			delta := d.TakeChanges()
			for _, s := range delta.Changed {
				known[s.ID] = s
			}
			for _, id := range delta.Removed {
				delete(known, id)
			}
			listed := map[string]Server{}
			last := ""
			for _, s := range d.Listed() {
				if s.ID <= last {
					t.Fatalf("%s is listed after %s", s.ID, last)
				}
				last, listed[s.ID] = s.ID, s
			}
			if !reflect.DeepEqual(known, listed) {
				t.Fatalf("by the changes %v, listed %v", known, listed)
			}
		}
	})
}

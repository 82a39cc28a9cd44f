package discovery

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func serverIDs(d *Directory) (out []string) {
	for _, s := range d.Servers() {
		out = append(out, s.ID)
	}
	return out
}

func TestDirectoryAppliesLists(t *testing.T) {
	Convey("Servers are added, changed, leaving and removed", t, func() {
		d := NewDirectory()
		So(d.Replace(start, []Server{{ID: "a"}, {ID: "b"}}), ShouldBeTrue)
		So(d.Replace(start, []Server{{ID: "a"}, {ID: "b"}}), ShouldBeFalse)
		So(d.Replace(start, []Server{{ID: "a", Address: "10.0.0.1:1"}, {ID: "b"}}), ShouldBeTrue)
		So(d.Put(start, Server{ID: "b", Leaving: true}), ShouldBeTrue)
		So(d.Put(start, Server{ID: "b"}), ShouldBeFalse) // an older copy
		So(d.Servers()[1].Leaving, ShouldBeTrue)
		So(d.Delete(start, "b", 0), ShouldBeTrue)
		So(d.Delete(start, "b", 0), ShouldBeFalse)
		So(serverIDs(d), ShouldResemble, []string{"a"})
	})
}

// Guards against requests refused for lack of servers whose entries expired during a
// store outage.
func TestDirectoryKeepsMissingServersAfterOutage(t *testing.T) {
	Convey("A server that is missing after an outage is kept for the grace period", t, func() {
		d := NewDirectory()
		d.Replace(start, []Server{{ID: "a"}, {ID: "b"}})
		d.StoreUnavailable()
		recovered := start.Add(10 * time.Second)
		So(d.Replace(recovered, []Server{{ID: "b"}}), ShouldBeTrue)
		So(d.Replace(recovered, []Server{{ID: "b"}}), ShouldBeFalse)
		So(serverIDs(d), ShouldResemble, []string{"a", "b"})

		Convey("and stays once it is listed again", func() {
			d.Replace(recovered.Add(time.Second), []Server{{ID: "a"}, {ID: "b"}})
			So(d.ExpireMissing(recovered.Add(StoreRecoveryGrace)), ShouldBeFalse)
			So(serverIDs(d), ShouldResemble, []string{"a", "b"})
		})
		Convey("and is removed if it is not listed by then", func() {
			So(d.ExpireMissing(recovered.Add(StoreRecoveryGrace-1)), ShouldBeFalse)
			So(d.ExpireMissing(recovered.Add(StoreRecoveryGrace)), ShouldBeTrue)
			So(serverIDs(d), ShouldResemble, []string{"b"})
		})
		Convey("but is not removed during another outage", func() {
			d.StoreUnavailable()
			So(d.ExpireMissing(recovered.Add(time.Minute)), ShouldBeFalse)
			So(serverIDs(d), ShouldResemble, []string{"a", "b"})
		})
	})
	// Guards against requests to a server 2.1 s after it left: another daemon must not
	// be told of a server that is only kept for the grace period.
	Convey("A missing server is not in Listed, and ExpiresIn gives the end of the grace period", t, func() {
		d := NewDirectory()
		d.Replace(start, []Server{{ID: "a"}, {ID: "b"}})
		_, ok := d.ExpiresIn(start)
		So(ok, ShouldBeFalse)
		d.StoreUnavailable()
		recovered := start.Add(10 * time.Second)
		So(d.Replace(recovered, []Server{{ID: "b"}}), ShouldBeTrue)
		So(serverIDs(d), ShouldResemble, []string{"a", "b"})
		So(d.Listed(), ShouldResemble, []Server{{ID: "b"}})
		in, ok := d.ExpiresIn(recovered.Add(time.Second))
		So(ok, ShouldBeTrue)
		So(in, ShouldEqual, StoreRecoveryGrace-time.Second)
	})
	// Guards against requests to a server 2.07 s after its entry was removed: the grace
	// period must not apply to a server that has been listed since the outage.
	Convey("A server that was listed after the outage and is then removed has left", t, func() {
		d := NewDirectory()
		d.Replace(start, []Server{{ID: "a"}, {ID: "b"}})
		d.StoreUnavailable()
		recovered := start.Add(10 * time.Second)
		d.Replace(recovered, []Server{{ID: "a"}, {ID: "b"}})
		So(d.Delete(recovered.Add(time.Second), "a", 0), ShouldBeTrue)
		So(serverIDs(d), ShouldResemble, []string{"b"})
		So(d.Replace(recovered.Add(time.Second), nil), ShouldBeTrue)
		So(serverIDs(d), ShouldBeEmpty)
	})
	// The same for a daemon that learns of the recovery from another one, and then
	// hears nothing until the server leaves.
	Convey("A server that was confirmed after the outage and is then missing has left", t, func() {
		d := NewDirectory()
		d.Replace(start, []Server{{ID: "a"}, {ID: "b"}})
		d.StoreUnavailable()
		recovered := start.Add(10 * time.Second)
		d.Confirm(recovered)
		So(d.Replace(recovered.Add(2*time.Second), []Server{{ID: "b"}}), ShouldBeTrue)
		So(serverIDs(d), ShouldResemble, []string{"b"})
	})
	Convey("A missing server is not confirmed by Confirm", t, func() {
		d := NewDirectory()
		d.Replace(start, []Server{{ID: "a"}, {ID: "b"}})
		d.StoreUnavailable()
		recovered := start.Add(10 * time.Second)
		d.Replace(recovered, []Server{{ID: "b"}})
		d.Confirm(recovered)
		d.Replace(recovered, []Server{{ID: "b"}})
		So(serverIDs(d), ShouldResemble, []string{"a", "b"})
	})
	Convey("A server that announces its stop is leaving at once, even during an outage", t, func() {
		d := NewDirectory()
		d.Replace(start, []Server{{ID: "a"}})
		d.StoreUnavailable()
		So(d.Put(start, Server{ID: "a", Leaving: true}), ShouldBeTrue)
		So(d.Servers()[0].Leaving, ShouldBeTrue)
	})
}

// Guards against a restarted server that stays unused because its previous incarnation
// was leaving.
func TestDirectoryUsesRestartedServer(t *testing.T) {
	leaving := func(d *Directory) bool { return d.Servers()[0].Leaving }
	Convey("A new start time is a new incarnation, which is not leaving", t, func() {
		d := NewDirectory()
		d.Put(start, Server{ID: "a", StartedAt: 1000, Sequence: 40, Revision: 10, Leaving: true})
		before := d.Servers()[0].Incarnation()
		So(d.Put(start, Server{ID: "a", StartedAt: 2000, Sequence: 1, Revision: 11}), ShouldBeTrue)
		So(leaving(d), ShouldBeFalse)
		So(d.Servers()[0].Incarnation(), ShouldNotEqual, before)

		Convey("and the new incarnation may leave, which is final", func() {
			d.Put(start, Server{ID: "a", StartedAt: 2000, Sequence: 2, Revision: 12, Leaving: true})
			So(d.Put(start, Server{ID: "a", StartedAt: 2000, Sequence: 3, Revision: 13}), ShouldBeFalse)
			So(leaving(d), ShouldBeTrue)
		})
		Convey("and late entries of the previous incarnation change nothing", func() {
			So(d.Put(start, Server{ID: "a", StartedAt: 1000, Sequence: 41, Revision: 10, Leaving: true}), ShouldBeFalse)
			So(d.Put(start, Server{ID: "a", StartedAt: 1000, Sequence: 41, Revision: 14, Leaving: true}), ShouldBeFalse)
			So(d.Delete(start, "a", 10), ShouldBeFalse)
			So(leaving(d), ShouldBeFalse)
		})
		Convey("and an entry without a start time belongs to the known incarnation", func() {
			So(d.Put(start, Server{ID: "a", Sequence: 2, Revision: 12}), ShouldBeFalse)
			So(d.Servers()[0].StartedAt, ShouldEqual, 2000)
		})
	})
	Convey("Without a start time, a decreasing sequence means a new incarnation", t, func() {
		d := NewDirectory()
		d.Put(start, Server{ID: "a", Sequence: 40, Revision: 10, Leaving: true})
		So(d.Put(start, Server{ID: "a", Sequence: 1, Revision: 9}), ShouldBeFalse) // an older copy
		So(leaving(d), ShouldBeTrue)
		So(d.Put(start, Server{ID: "a", Sequence: 1, Revision: 11}), ShouldBeTrue)
		So(leaving(d), ShouldBeFalse)
		So(d.Put(start, Server{ID: "a", Sequence: 2, Revision: 12}), ShouldBeFalse)
		So(d.Servers()[0].Restarts, ShouldEqual, 1)
	})
	Convey("A write that the store applied late does not put a leaving server back into use", t, func() {
		d := NewDirectory()
		d.Put(start, Server{ID: "a", Sequence: 40, Revision: 10, Leaving: true})
		So(d.Put(start, Server{ID: "a", Sequence: 36, Revision: 11}), ShouldBeFalse)
		So(d.Put(start, Server{ID: "a", Sequence: 32, Revision: 12}), ShouldBeFalse)
		So(leaving(d), ShouldBeTrue)
	})
	Convey("A server whose entry gains a start time has restarted", t, func() {
		d := NewDirectory()
		d.Put(start, Server{ID: "a", Sequence: 4, Revision: 10, Leaving: true})
		So(d.Put(start, Server{ID: "a", StartedAt: 5, Sequence: 5, Revision: 11}), ShouldBeTrue)
		So(leaving(d), ShouldBeFalse)
	})
}

// Guards against a relisted server that daemons which do not read the store never learn
// of.
func TestDirectoryReportsRelistedServer(t *testing.T) {
	for name, relist := range map[string]func(*Directory, time.Time) bool{
		"in a list":  func(d *Directory, now time.Time) bool { return d.Replace(now, []Server{{ID: "a"}}) },
		"in a watch": func(d *Directory, now time.Time) bool { return d.Put(now, Server{ID: "a"}) },
	} {
		Convey("A relisted server is a change "+name, t, func() {
			d := NewDirectory()
			d.Replace(start, []Server{{ID: "a"}})
			d.StoreUnavailable()
			So(d.Replace(start, nil), ShouldBeTrue)
			So(d.Listed(), ShouldBeEmpty)
			So(relist(d, start), ShouldBeTrue)
			So(d.Listed(), ShouldHaveLength, 1)
			So(relist(d, start), ShouldBeFalse)
		})
	}
}

// Guards against the use of a server whose entry was overwritten with a malformed one,
// and against the loss of all servers because of one such entry.
func TestDirectoryIgnoresMalformedEntry(t *testing.T) {
	Convey("Its server is not used until the entry is valid again", t, func() {
		d := NewDirectory()
		valid := Server{ID: "a", StartedAt: 7, Sequence: 9, Revision: 10}
		d.Replace(start, []Server{valid, {ID: "b"}})
		So(d.Put(start, Server{ID: "a", InvalidReason: "no object", Revision: 11}), ShouldBeTrue)
		So(d.Put(start, Server{ID: "a", InvalidReason: "no object", Revision: 12}), ShouldBeFalse)
		So(serverIDs(d), ShouldResemble, []string{"b"})
		So(d.Invalid(), ShouldHaveLength, 1)
		So(d.Put(start, valid), ShouldBeFalse) // an older copy
		So(serverIDs(d), ShouldResemble, []string{"b"})
		valid.Revision = 13
		So(d.Put(start, valid), ShouldBeTrue)
		So(serverIDs(d), ShouldResemble, []string{"a", "b"})
	})
	Convey("Its server is not used during the grace period after an outage either", t, func() {
		d := NewDirectory()
		d.Replace(start, []Server{{ID: "a", Revision: 1}})
		d.StoreUnavailable()
		d.Replace(start, []Server{{ID: "a", InvalidReason: "no object", Revision: 2}})
		So(serverIDs(d), ShouldBeEmpty)
	})
	Convey("A leaving server stays leaving after a malformed entry", t, func() {
		d := NewDirectory()
		d.Put(start, Server{ID: "a", Leaving: true, Revision: 1})
		d.Put(start, Server{ID: "a", InvalidReason: "no object", Revision: 2})
		d.Put(start, Server{ID: "a", Revision: 3})
		So(d.Servers()[0].Leaving, ShouldBeTrue)
	})
}

// TestMalformedEntriesDoNotAffectValidOnes checks that the valid servers are the same
// with and without malformed entries among them, in any order of changes, lists and
// late copies.
func TestMalformedEntriesDoNotAffectValidOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		with, without := NewDirectory(), NewDirectory()
		for at := Revision(1); at <= 40; at++ {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			s := Server{
				ID: id, Revision: at - Revision(rapid.IntRange(0, 3).Draw(t, "late")),
				StartedAt: int64(rapid.IntRange(0, 3).Draw(t, "started")), Leaving: rapid.Bool().Draw(t, "leaving"),
			}
			malformed := Server{ID: "x" + id, InvalidReason: "no object", Revision: at}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				with.Put(start, s)
				without.Put(start, s)
			case 1:
				with.Put(start, malformed)
			case 2:
				with.Delete(start, id, s.Revision)
				without.Delete(start, id, s.Revision)
			case 3:
				listed := without.Listed()
				without.Replace(start, listed)
				with.Replace(start, append([]Server{malformed}, listed...))
			}
		}
		if fmt.Sprint(with.Servers()) != fmt.Sprint(without.Servers()) {
			t.Fatalf("got servers %v, want %v", with.Servers(), without.Servers())
		}
	})
}

// Guards against: a server that said in an answer that it leaves counts as ready again, since
// its entry says so.
func TestAnnouncedLeavingHoldsForAnIncarnation(t *testing.T) {
	Convey("Given a server that has announced that it leaves", t, func() {
		d := NewDirectory()
		ready := Server{ID: "a", StartedAt: 1000, Sequence: 40, Revision: 10}
		d.Put(start, ready)
		So(d.Announce("a", "another incarnation"), ShouldBeFalse)
		So(d.Announce("b", ready.Incarnation()), ShouldBeFalse)
		So(d.Announce("a", ready.Incarnation()), ShouldBeTrue)
		So(d.Announce("a", ready.Incarnation()), ShouldBeFalse)
		So(d.TakeChanges().Changed[0].Leaving, ShouldBeTrue)
		leaving := func() bool { return d.Servers()[0].Leaving }

		Convey("newer and older entries that call it ready change nothing", func() {
			d.Put(start, Server{ID: "a", StartedAt: 1000, Sequence: 41, Revision: 12})
			So(leaving(), ShouldBeTrue)
			d.Replace(start, []Server{{ID: "a", StartedAt: 1000, Sequence: 39, Revision: 9}})
			So(leaving(), ShouldBeTrue)
		})
		Convey("nor does an entry after its removal", func() {
			d.Delete(start, "a", 0)
			So(serverIDs(d), ShouldBeEmpty)
			d.Put(start, Server{ID: "a", StartedAt: 1000, Sequence: 42, Revision: 14})
			So(leaving(), ShouldBeTrue)
		})
		Convey("its next incarnation is ready, also after a removal", func() {
			d.Delete(start, "a", 0)
			d.Put(start, Server{ID: "a", StartedAt: 2000, Sequence: 1, Revision: 14})
			So(leaving(), ShouldBeFalse)
		})
	})
	Convey("Without start times, a lower sequence after a removal is another incarnation", t, func() {
		d := NewDirectory()
		d.Put(start, Server{ID: "a", Sequence: 5, Revision: 10, Leaving: true})
		d.Delete(start, "a", 0)
		d.Put(start, Server{ID: "a", Sequence: 1, Revision: 14})
		So(d.Servers()[0].Leaving, ShouldBeFalse)
		So(d.Servers()[0].Incarnation(), ShouldNotEqual, Server{ID: "a"}.Incarnation())
	})
}

// Guards against: a leaving server gets requests again, because the store came back from a backup of before it left.
func TestLeavingServersOfABackupStayLeaving(t *testing.T) {
	for _, startedAt := range []int64{0, 1000} {
		Convey(fmt.Sprintf("Given a server that leaves, started at %d, and a backup of many writes before", startedAt), t, func() {
			d := NewDirectory()
			entry := func(sequence uint64, rev Revision) Server {
				return Server{ID: "a", StartedAt: startedAt, Sequence: sequence, Revision: rev}
			}
			leaving := entry(40, 50)
			leaving.Leaving = true
			d.Replace(start, []Server{leaving})
			d.StoreRestored()
			restored := start.Add(time.Second)
			d.Replace(restored, []Server{entry(20, 130)})
			So(d.Servers()[0].Leaving, ShouldBeTrue)

			Convey("what the backup's history writes again is no restart either", func() {
				for sequence := range uint64(5) {
					d.Put(restored, entry(21+sequence, 131+Revision(sequence)))
				}
				So(d.Servers()[0].Leaving, ShouldBeTrue)
				So(d.Servers()[0].Restarts, ShouldEqual, 0)
			})
			Convey("a restart is noticed once the server has written on", func() {
				next := entry(3, 140)
				if startedAt > 0 {
					next.StartedAt++
				}
				d.Put(restored.Add(restoredEntryTimeout), next)
				So(d.Servers()[0].Leaving, ShouldBeFalse)
			})
		})
	}
	Convey("An entry that names the same start is no restart, whatever its sequence", t, func() {
		d := NewDirectory()
		d.Put(start, Server{ID: "a", StartedAt: 1000, Sequence: 40, Revision: 10, Leaving: true})
		d.Put(start, Server{ID: "a", StartedAt: 1000, Sequence: 1, Revision: 11})
		So(d.Servers()[0].Leaving, ShouldBeTrue)
	})
}

// Guards against: after the store was restored from a backup, servers that have ended get
// requests, or those that it lacks get none.
func TestDirectoryFollowsRestoredStore(t *testing.T) {
	Convey("Given servers of which one was removed and one is leaving, and a backup", t, func() {
		d := NewDirectory()
		d.Replace(start, []Server{{ID: "ended", Sequence: 9}, {ID: "leaves", Sequence: 9, Leaving: true}, {ID: "newcomer", Sequence: 1}})
		d.Delete(start, "ended", 0)
		d.Delete(start, "leaves", 0)
		d.StoreRestored()
		restored := start.Add(time.Second)
		copied := []Server{{ID: "ended", Sequence: 8}, {ID: "leaves", Sequence: 8}}
		d.Replace(restored, copied)

		Convey("the ended one is not used, the newcomer is kept", func() {
			So(serverIDs(d), ShouldResemble, []string{"newcomer"})
		})
		Convey("one that has written since is used, a leaving one stays leaving", func() {
			d.Put(restored, Server{ID: "ended", Sequence: 10})
			d.Put(restored, Server{ID: "leaves", Sequence: 10})
			So(serverIDs(d), ShouldResemble, []string{"ended", "leaves", "newcomer"})
			So(d.Servers()[0].Leaving, ShouldBeFalse)
			So(d.Servers()[1].Leaving, ShouldBeTrue)
		})
		Convey("the newcomer is dropped if it does not register again", func() {
			So(d.ExpireMissing(restored.Add(StoreRecoveryGrace)), ShouldBeTrue)
			So(serverIDs(d), ShouldBeEmpty)
		})
		Convey("an entry that stays is of a server that lives", func() {
			d.Replace(restored.Add(restoredEntryTimeout), copied)
			So(serverIDs(d), ShouldContain, "ended")
		})
	})
}

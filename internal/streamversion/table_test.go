package streamversion

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against: a caller that uses one id for several streams gets events of two versions,
// or another caller's streams are found under its ids.
func TestTable(t *testing.T) {
	Convey("A record lasts for its time, and longer if it is repeated", t, func() {
		x := newTable()
		x.put(start, 1, "v1", 2*time.Second)
		x.put(start.Add(time.Second), 1, "v1", 2*time.Second)
		version, ok := x.get(start.Add(2500*time.Millisecond), 1)
		So(ok, ShouldBeTrue)
		So(version, ShouldEqual, "v1")
		_, ok = x.get(start.Add(3*time.Second), 1)
		So(ok, ShouldBeFalse)
	})
	Convey("Two versions under one id are ambiguous, whatever comes then", t, func() {
		x := newTable()
		for _, v := range []string{"v1", "v2", "v2"} {
			x.put(start, 1, v, time.Second)
		}
		version, ok := x.get(start, 1)
		So(ok, ShouldBeTrue)
		So(version, ShouldEqual, ambiguous)
		Convey("until the records have expired", func() {
			x.put(start.Add(time.Minute), 1, "v2", time.Second)
			version, _ := x.get(start.Add(time.Minute), 1)
			So(version, ShouldEqual, "v2")
		})
	})
	Convey("The oldest records make room", t, func() {
		x := newTable()
		for k := range key(maxRecords + 10) {
			x.put(start, k, "v1", time.Hour)
		}
		So(x.count(), ShouldEqual, maxRecords)
		_, ok := x.get(start, 0)
		So(ok, ShouldBeFalse)
		_, ok = x.get(start, maxRecords+9)
		So(ok, ShouldBeTrue)
	})
	Convey("Expired records are dropped", t, func() {
		x := newTable()
		for k := range key(100) {
			x.put(start, k, "v1", time.Second)
		}
		x.put(start.Add(time.Minute), 1000, "v1", time.Second)
		So(x.count(), ShouldEqual, 1)
		So(len(x.order), ShouldEqual, 1)
	})
	Convey("Streams differ by service, workspace and id, also where parts run together", t, func() {
		keys := map[key]bool{}
		for _, s := range []Stream{{"s", "w", "r"}, {"s", "w", "q"}, {"s", "v", "r"}, {"t", "w", "r"}, {"s", "wr", ""}, {"sw", "", "r"}} {
			keys[s.key()] = true
		}
		So(keys, ShouldHaveLength, 6)
	})
}

func TestHistory(t *testing.T) {
	Convey("A version counts while it has servers and for a time after", t, func() {
		h := NewHistory()
		h.Add(start, "s", "v1")
		h.Add(start, "s", "v2")
		h.Add(start, "s", "v2")
		h.Add(start, "other", "v3")
		h.Remove(start, "s", "v2")
		So(h.Versions(start.Add(time.Hour), "s"), ShouldResemble, []string{"v1", "v2"})
		h.Remove(start, "s", "v2")
		So(h.Versions(start.Add(versionMemory), "s"), ShouldResemble, []string{"v1", "v2"})
		So(h.Versions(start.Add(versionMemory+1), "s"), ShouldResemble, []string{"v1"})
	})
}

// Guards against: a guess where the evidence does not tell the version.
func TestDecide(t *testing.T) {
	known := func(version string) evidence { return evidence{version: version, known: true} }
	const life = 20 * time.Second
	observed := func(from, to time.Duration, versions ...string) evidence {
		return evidence{versions: versions, proved: true, observed: span{from, to}}
	}
	serves := func(versions ...string) evidence { return observed(-life, 0, versions...) }
	young := func(versions ...string) evidence { return observed(1-life, 0, versions...) }
	for _, c := range []struct {
		name    string
		all     []evidence
		version string
		verdict verdict
	}{
		{"nobody answered", nil, "", unproved},
		{"one record", []evidence{serves("v1", "v2"), known("v2")}, "v2", recorded},
		{"equal records", []evidence{known("v2"), known("v2")}, "v2", recorded},
		{"records contradict", []evidence{known("v1"), known("v2")}, "", unknown},
		{"an ambiguous record", []evidence{known("v1"), known(ambiguous)}, "", unknown},
		{"an ambiguous record and a single version", []evidence{known(ambiguous), serves("v1")}, "", unknown},
		{"a single version", []evidence{serves("v1"), serves("v1"), serves()}, "v1", sole},
		{"two versions at one daemon", []evidence{serves("v1"), serves("v1", "v2")}, "", unknown},
		{"two daemons know other versions", []evidence{serves("v1"), serves("v2")}, "", unknown},
		{"only daemons that have just started", []evidence{young("v1"), young("v1")}, "v1", soleSeen},
		{"one has been there for long enough", []evidence{young("v1"), serves("v1")}, "v1", sole},
		{"one that has just started knows another version", []evidence{young("v2"), serves("v1")}, "", unknown},
		{"no version at all", []evidence{serves()}, "", unknown},
		{"a proof from before the take-up", []evidence{observed(-2*life, -1, "v1")}, "", unproved},
		{"one in touch that has just started, and one out of step", []evidence{observed(-2, 3, "v1"), observed(-2*life, -2, "v1")}, "v1", sole},
		{"a gap between them", []evidence{observed(-2, 3, "v1"), observed(-2*life, -3, "v1")}, "v1", soleSeen},
		{"a daemon without a proof", []evidence{{versions: []string{"v1"}, observed: span{-life, 0}}}, "", unproved},
	} {
		Convey(c.name, t, func() {
			version, v := decide(c.all, life)
			So(version, ShouldEqual, c.version)
			So(v, ShouldEqual, c.verdict)
		})
	}
}

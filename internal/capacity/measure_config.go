package capacity

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/revision/revisiontest"
	"github.com/lycheekeel/lycheekeel/workspace"
	"github.com/lycheekeel/lycheekeel/workspace/workspacetest"
)

// Names of the configuration's series.
const (
	seriesSnapshotHeap     = "snapshot_heap_by_workspaces"
	seriesRecordsHeap      = "records_heap_by_workspaces"
	seriesApplySeconds     = "apply_seconds_by_workspaces"
	seriesChangeBytes      = "change_bytes_by_members"
	seriesChangeMessages   = "change_messages_by_members"
	seriesChangeInForce    = "change_in_force_seconds_by_members"
	seriesConfigIdleBytes  = "config_idle_bytes_per_second_by_members"
	seriesConfigStoreCalls = "config_store_calls_per_second_by_members"
)

// applyRounds is how many single changes are timed.
const applyRounds = 40

// fleetOf returns the target's configuration with some of its workspaces.
func fleetOf(workspaces int) workspacetest.Size {
	f := workspacetest.TargetSize
	f.Workspaces = workspaces
	return f
}

// measureSnapshots measures what a daemon holds of the configuration, and
// the processor time to put one change in force.
func measureSnapshots(m *Measured) error {
	var snapshot, records, apply []Point
	for _, n := range []int{100, 600, 1200, 2400} {
		objects := fleetOf(n).Objects()
		compiler := workspace.NewCompiler()
		var findings workspace.Findings
		held := heapOf(func() any {
			s, f := compiler.Compile(objects)
			findings = f
			return s
		})
		if err := findings.Err(); err != nil {
			return errors.Wrap(err, "measured configuration")
		}
		snapshot = append(snapshot, Point{float64(n), held})
		records = append(records, Point{float64(n), heapOf(func() any { return setOf(objects) })})
		apply = append(apply, Point{float64(n), applyCost(compiler, objects)})
	}
	m.Add(NewSeries(seriesSnapshotHeap, "live heap of the resolved snapshot and its compiler", "workspaces", "B", snapshot))
	m.Add(NewSeries(seriesRecordsHeap, "live heap of the record set, values included", "workspaces", "B", records))
	m.Add(NewSeries(seriesApplySeconds, "compiling after one changed workspace", "workspaces", "s", apply))
	return nil
}

// setOf returns a record set that holds copies of the objects.
func setOf(objects []objectstore.Object) *revision.Set {
	set := revision.NewSet(workspace.Kinds(), revision.Check)
	for _, o := range objects {
		o.Value = append([]byte(nil), o.Value...)
		set.Apply(revision.Record{Object: o})
	}
	return set
}

// applyCost changes one workspace at a time and compiles.
func applyCost(c *workspace.Compiler, objects []objectstore.Object) float64 {
	at := 0
	for objects[at].Kind != workspace.KindWorkspace {
		at++
	}
	version := objectstore.Version(len(objects))
	return cpuPer(applyRounds, func() {
		for range applyRounds {
			version++
			objects[at].Version = version
			objects[at].Value = append([]byte(" "), objects[at].Value...)
			c.Compile(objects)
		}
	})
}

// spreadChanges is how many changes each cluster size spreads.
const spreadChanges = 10

// measureSpread measures how changes reach all members.
func measureSpread(ctx context.Context, m *Measured) error {
	var bytes, messages, inForce, idle, calls []Point
	for _, size := range []struct{ members, regions int }{{9, 1}, {65, 1}, {130, 2}, {390, 6}} {
		r, err := revisiontest.MeasurePropagation(ctx, size.members, size.regions, spreadChanges)
		if err != nil {
			return errors.Wrapf(err, "spread over %d members", size.members)
		}
		x := float64(size.members)
		bytes = append(bytes, Point{x, r.BytesPerChange})
		messages = append(messages, Point{x, r.MessagesPerChange})
		inForce = append(inForce, Point{x, r.Slowest.Seconds()})
		idle = append(idle, Point{x, r.IdleBytesPerSecond})
		calls = append(calls, Point{x, r.StoreCallsPerSecond})
	}
	m.Add(NewSeries(seriesChangeBytes, "bytes that a member sends for one change", "members", "B", bytes))
	m.Add(NewSeries(seriesChangeMessages, "messages that a member sends for one change", "members", "messages", messages))
	m.Add(NewSeries(seriesChangeInForce, "slowest change, from the write's answer to the last member", "members", "s", inForce))
	m.Add(NewSeries(seriesConfigIdleBytes, "bytes that a member sends while nothing changes", "members", "B/s", idle))
	m.Add(NewSeries(seriesConfigStoreCalls, "calls of the object API by all members while nothing changes", "members", "calls/s", calls))
	return nil
}

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

// Names of the configuration series.
const (
	seriesSnapshotHeap     = "snapshot_heap_by_workspaces"
	seriesRecordsHeap      = "records_heap_by_workspaces"
	seriesCompileSeconds   = "apply_seconds_by_workspaces"
	seriesChangeBytes      = "change_bytes_by_members"
	seriesChangeMessages   = "change_messages_by_members"
	seriesChangeActive     = "change_in_force_seconds_by_members"
	seriesConfigIdleBytes  = "config_idle_bytes_per_second_by_members"
	seriesConfigStoreCalls = "config_store_calls_per_second_by_members"
)

// compileRounds is the number of single changes that are timed.
const compileRounds = 40

// sizeWithWorkspaces returns the target size with another number of workspaces.
func sizeWithWorkspaces(workspaces int) workspacetest.Size {
	f := workspacetest.TargetSize
	f.Workspaces = workspaces
	return f
}

// measureSnapshots measures the heap that a daemon needs for the configuration, and
// the CPU time of compiling one change.
func measureSnapshots(m *Measurements) error {
	var snapshot, records, compile []Point
	for _, n := range []int{100, 600, 1200, 2400} {
		objects := sizeWithWorkspaces(n).Objects()
		compiler := workspace.NewCompiler()
		var findings workspace.Findings
		heapSize := retainedHeap(func() any {
			s, f := compiler.Compile(objects)
			findings = f
			return s
		})
		if err := findings.Err(); err != nil {
			return errors.Wrap(err, "compile configuration")
		}
		snapshot = append(snapshot, Point{float64(n), heapSize})
		records = append(records, Point{float64(n), retainedHeap(func() any { return newRecordSet(objects) })})
		compile = append(compile, Point{float64(n), compileCPU(compiler, objects)})
	}
	m.Add(NewSeries(seriesSnapshotHeap, "live heap of the resolved snapshot and its compiler", "workspaces", "B", snapshot))
	m.Add(NewSeries(seriesRecordsHeap, "live heap of the record set, values included", "workspaces", "B", records))
	m.Add(NewSeries(seriesCompileSeconds, "compiling after one changed workspace", "workspaces", "s", compile))
	return nil
}

// newRecordSet returns a record set with copies of the objects.
func newRecordSet(objects []objectstore.Object) *revision.Set {
	set := revision.NewSet(workspace.Kinds(), revision.Check)
	for _, o := range objects {
		o.Value = append([]byte(nil), o.Value...)
		set.Apply(revision.Record{Object: o})
	}
	return set
}

// compileCPU returns the CPU seconds of compiling after one changed workspace.
func compileCPU(c *workspace.Compiler, objects []objectstore.Object) float64 {
	index := 0
	for objects[index].Kind != workspace.KindWorkspace {
		index++
	}
	version := objectstore.Version(len(objects))
	return cpuPerOp(compileRounds, func() {
		for range compileRounds {
			version++
			objects[index].Version = version
			objects[index].Value = append([]byte(" "), objects[index].Value...)
			c.Compile(objects)
		}
	})
}

// propagatedChanges is the number of changes per cluster size.
const propagatedChanges = 10

// measurePropagation measures the propagation of changes to all members.
func measurePropagation(ctx context.Context, m *Measurements) error {
	var bytes, messages, active, idle, calls []Point
	for _, size := range []struct{ members, regions int }{{9, 1}, {65, 1}, {130, 2}, {390, 6}} {
		r, err := revisiontest.MeasurePropagation(ctx, size.members, size.regions, propagatedChanges)
		if err != nil {
			return errors.Wrapf(err, "propagation over %d members", size.members)
		}
		x := float64(size.members)
		bytes = append(bytes, Point{x, r.BytesPerChange})
		messages = append(messages, Point{x, r.MessagesPerChange})
		active = append(active, Point{x, r.Slowest.Seconds()})
		idle = append(idle, Point{x, r.IdleBytesPerSecond})
		calls = append(calls, Point{x, r.StoreCallsPerSecond})
	}
	m.Add(NewSeries(seriesChangeBytes, "bytes that a member sends for one change", "members", "B", bytes))
	m.Add(NewSeries(seriesChangeMessages, "messages that a member sends for one change", "members", "messages", messages))
	m.Add(NewSeries(seriesChangeActive, "slowest change, from the write's answer to the last member", "members", "s", active))
	m.Add(NewSeries(seriesConfigIdleBytes, "bytes that a member sends while nothing changes", "members", "B/s", idle))
	m.Add(NewSeries(seriesConfigStoreCalls, "calls of the object API by all members while nothing changes", "members", "calls/s", calls))
	return nil
}

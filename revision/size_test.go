package revision_test

import (
	"runtime"
	"testing"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/workspace"
	"github.com/lycheekeel/lycheekeel/workspace/workspacetest"
)

// heapMB returns the live heap in MiB.
func heapMB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// targetLists returns a new copy of the target size's objects by kind, as listed
// by the object API.
func targetLists() map[objectstore.Kind]objectstore.List {
	lists := map[objectstore.Kind]objectstore.List{}
	for _, o := range workspacetest.TargetSize.Objects() {
		l := lists[o.Kind]
		l.Objects, l.Version = append(l.Objects, o), max(l.Version, o.Version)
		lists[o.Kind] = l
	}
	return lists
}

// BenchmarkTarget measures one member at the target size: a start with an empty
// set, one changed workspace including its compilation, and the memory held by
// values, records, compiler and snapshot.
func BenchmarkTarget(b *testing.B) {
	before := heapMB()
	lists := targetLists()
	set := revision.NewSet(workspace.Kinds(), revision.Check)
	current := &workspace.CurrentSnapshot{}
	publisher := revision.NewPublisher(current, nil)
	b.Run("start", func(b *testing.B) {
		for b.Loop() {
			set = revision.NewSet(workspace.Kinds(), revision.Check)
			publisher = revision.NewPublisher(current, nil)
			for kind, l := range lists {
				set.ApplyList(kind, l)
			}
			publisher.Publish(set.Objects(), set.Newest())
		}
	})
	changed := lists[workspace.KindWorkspace].Objects[0]
	lists = nil
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			changed.Version = set.Newest() + 1
			set.ApplyEvents([]objectstore.Event{{Object: changed}}, set.Floor(), changed.Version)
			publisher.Publish(set.Objects(), set.Newest())
		}
		b.ReportMetric(heapMB()-before, "MB-held")
	})
	runtime.KeepAlive(publisher)
}

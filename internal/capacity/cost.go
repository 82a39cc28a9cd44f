package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// heapGCRuns is the number of collections before the heap is read. The first frees
// garbage, the second the memory that finalizers held.
const heapGCRuns = 2

// liveHeapBytes returns the live heap after garbage collection.
func liveHeapBytes() float64 {
	for range heapGCRuns {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// retainedHeap returns the bytes of heap that the value returned by build retains.
func retainedHeap(build func() any) float64 {
	before := liveHeapBytes()
	v := build()
	after := liveHeapBytes()
	runtime.KeepAlive(v)
	return max(after-before, 0)
}

// cpuTime returns the CPU time of this process. Unlike wall time it leaves out other
// processes on a busy machine.
func cpuTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerOp returns the CPU seconds of one operation, where run executes n of them.
func cpuPerOp(n int, run func()) float64 {
	start := cpuTime()
	run()
	return (cpuTime() - start).Seconds() / float64(n)
}

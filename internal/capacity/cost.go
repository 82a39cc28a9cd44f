package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// heapGCRuns is how many collections make the heap figure steady: the first
// frees, the second lets finalizers' memory go.
const heapGCRuns = 2

// liveHeapBytes returns the live heap after collection.
func liveHeapBytes() float64 {
	for range heapGCRuns {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// retainedHeap returns how many bytes of heap the value made by build holds.
func retainedHeap(build func() any) float64 {
	before := liveHeapBytes()
	v := build()
	after := liveHeapBytes()
	runtime.KeepAlive(v)
	return max(after-before, 0)
}

// cpuTime returns the processor time that this process has used. Other
// processes on a busy machine do not count into it.
func cpuTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerOp returns the processor seconds of one of n operations done by run.
func cpuPerOp(n int, run func()) float64 {
	start := cpuTime()
	run()
	return (cpuTime() - start).Seconds() / float64(n)
}

package capacity

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// settleRuns is how many collections make the heap figure steady: the first
// frees, the second lets finalizers' memory go.
const settleRuns = 2

// heapBytes returns the live heap after collection.
func heapBytes() float64 {
	for range settleRuns {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapOf returns how many bytes of heap the value made by build holds.
func heapOf(build func() any) float64 {
	before := heapBytes()
	v := build()
	after := heapBytes()
	runtime.KeepAlive(v)
	return max(after-before, 0)
}

// cpuTime returns the processor time that this process has used. Other
// processes on a busy machine do not count into it.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPer returns the processor seconds of one of n operations done by run.
func cpuPer(n int, run func()) float64 {
	start := cpuTime()
	run()
	return (cpuTime() - start).Seconds() / float64(n)
}

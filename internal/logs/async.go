package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of an Async writer.
const (
	// maxPendingBytes limits the bytes that wait to be written.
	maxPendingBytes = 256 << 10
	// maxBytesPerSecond limits the bytes accepted per second. During bursts of
	// twice the capacity a daemon logs 7 to 8 KB in the median second and 46 to
	// 54 KB in the busiest.
	maxBytesPerSecond = 96 << 10
	// flushInterval is the time for which lines are batched before they are
	// written. A write and a wake-up per line would cost more than the line itself.
	flushInterval = 100 * time.Millisecond
)

// Async is a writer that never blocks its callers. It drops lines beyond its limits
// and reports their number in the log.
//
// Without it, a log reader that stops reading would fill the pipe and block every
// request that writes a log line: the daemon would stall with no visible cause.
type Async struct {
	out io.Writer
	now func() time.Time

	mu          sync.Mutex
	pending     []byte
	dropped     int
	windowStart time.Time // start of the second in which windowBytes are counted
	windowBytes int
	wake        chan struct{}
	done        chan struct{}
	closed      bool
}

// NewAsync returns a writer to out and starts its goroutine, which Close ends.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It queues a copy of the line or drops it, and never
// returns an error.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.now(); now.Sub(a.windowStart) >= time.Second {
		a.windowStart, a.windowBytes = now, 0
	}
	if a.closed || len(a.pending)+len(line) > maxPendingBytes || a.windowBytes+len(line) > maxBytesPerSecond {
		a.dropped++
		return len(line), nil
	}
	a.windowBytes += len(line)
	a.pending = append(a.pending, line...)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the pending lines and ends the writer. It waits for this at most for
// the timeout.
func (a *Async) Close(timeout time.Duration) {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case <-a.done:
	case <-time.After(timeout):
	}
}

// Dropped returns the number of dropped lines that are not yet reported in the log.
func (a *Async) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

func (a *Async) run() {
	defer close(a.done)
	for range a.wake {
		batch, closed := a.takeBatch()
		if len(batch) > 0 {
			_, _ = a.out.Write(batch) // there is nowhere to report an error
		}
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}

// takeBatch removes and returns the pending lines, with a line that reports the
// dropped ones, and whether the writer is closed.
func (a *Async) takeBatch() ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch := a.pending
	a.pending = nil
	if a.dropped > 0 {
		batch = append(batch, fmt.Sprintf(`{"level":"warning","msg":"Log lines dropped.","part":"logs","dropped":%d,"time":%q}`+"\n",
			a.dropped, a.now().Format(time.RFC3339Nano))...)
		a.dropped = 0
	}
	return batch, a.closed
}

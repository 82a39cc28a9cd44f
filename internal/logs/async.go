package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// The bounds of an Async writer.
const (
	// maxPendingBytes is how many bytes may wait to be written.
	maxPendingBytes = 256 << 10
	// maxBytesPerSecond bounds the bytes of a second: a daemon's busiest second
	// in bursts to twice the capacity had 46 and 54 KB, the median 7 and 8.
	maxBytesPerSecond = 96 << 10
	// flushInterval is how long lines are gathered before they are written: a
	// write and a wake-up for each line would cost more than the line.
	flushInterval = 100 * time.Millisecond
)

// Async is a writer that never blocks its callers. What can't be kept is
// dropped, counted, and told in the log itself.
//
// What goes wrong without it: whoever reads the log stops reading, the pipe is
// full, and every request waits for its line to be written. One would notice
// a daemon that stands still without a cause of its own.
type Async struct {
	out io.Writer
	now func() time.Time

	mu          sync.Mutex
	pending     []byte
	dropped     int
	windowStart time.Time // for which written counts
	windowBytes int
	wake        chan struct{}
	done        chan struct{}
	closed      bool
}

// NewAsync returns a writer to out and starts its goroutine; Close ends it.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer; it keeps a copy of the line, or drops it.
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

// Close writes what is left, unless the reader takes none, and ends the writer.
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

// Dropped returns how many lines were dropped and not yet told in the log.
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
			_, _ = a.out.Write(batch) // there is nowhere to tell it
		}
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}

// takeBatch returns what waits, with a line about what was dropped.
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

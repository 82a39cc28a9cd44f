package forward

import (
	"cmp"
	"sync"
)

// eventMemory bounds what the streams of a process hold of events that were not passed on yet,
// beyond the first bytes of each. Servers decide on these bytes.
//
// Without it, servers that begin events and do not end them take the memory of the process, and
// with it the requests of all callers. If there is no room, the largest unfinished event gives
// way, so that ordinary streams go on beside any number of such servers.
type eventMemory struct {
	limit int64

	mu    sync.Mutex
	used  int64
	holds map[*eventHold]struct{} // those that hold anything
}

// eventHold is what one stream holds. It is used by the stream's own goroutine; evict is called
// by another stream's, with the memory's lock held, and must not block.
type eventHold struct {
	memory *eventMemory
	evict  func() // interrupts the read of the event
	// The others are guarded by the memory's lock.
	bytes      int64
	unfinished bool // the rest of an event is being read
	evicted    bool
}

// eventBytesPart is the part of what callers may make the process hold that the events may take
// in addition.
const eventBytesPart = 4

func newEventMemory(d Deps) *eventMemory {
	limit := cmp.Or(d.CallerBytes, defaultCallerBytes) / eventBytesPart
	return &eventMemory{limit: limit, holds: map[*eventHold]struct{}{}}
}

func (m *eventMemory) newHold(evict func()) *eventHold { return &eventHold{memory: m, evict: evict} }

// usedBytes returns how many bytes all streams hold.
func (m *eventMemory) usedBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// resize sets what the stream holds while it reads on. Larger unfinished events give way. It
// returns false if there is still no room, or if the stream itself had to give way before.
func (h *eventHold) resize(bytes int64) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.evicted {
		return false
	}
	for m.used-h.bytes+bytes > m.limit {
		v := m.largestUnfinished(h, bytes)
		if v == nil {
			return false
		}
		m.remove(v)
		v.evicted = true
		v.evict()
	}
	m.used += bytes - h.bytes
	h.bytes, h.unfinished = bytes, true
	m.holds[h] = struct{}{}
	return true
}

// largestUnfinished returns the stream other than h that holds most of an unfinished event, if
// that is more than so many bytes; nil if there is none.
func (m *eventMemory) largestUnfinished(h *eventHold, bytes int64) (largest *eventHold) {
	for v := range m.holds {
		if v != h && v.unfinished && v.bytes > bytes {
			largest, bytes = v, v.bytes
		}
	}
	return largest
}

func (m *eventMemory) remove(h *eventHold) {
	m.used -= h.bytes
	h.bytes, h.unfinished = 0, false
	delete(m.holds, h)
}

// finish records that what the stream holds is being passed on. It does not give way any more.
func (h *eventHold) finish() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.unfinished = false
}

// release gives everything back. It may be called more than once.
func (h *eventHold) release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.remove(h)
}

// wasEvicted reports whether the stream had to give way.
func (h *eventHold) wasEvicted() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.evicted
}

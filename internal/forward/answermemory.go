package forward

import (
	"cmp"
	"context"
	"sync"
)

// answerPart is the part of what callers may make the process hold that answers which are being
// read may take.
const answerPart = 2

// answerMemory bounds what answers that are being read take of the account of what callers hold.
//
// Without it, servers that end no answer fill the account until the deadlines of their requests,
// and nobody else's connection or request finds room.
type answerMemory struct {
	limit int64

	mu      sync.Mutex
	used    int64
	waiting int // answers that wait for room
	// freed is closed when bytes are given back; nil if nobody waits for it.
	freed chan struct{}
}

// answerHold is what one answer takes while it is read. It is used by one goroutine at a time.
type answerHold struct {
	memory *answerMemory
	bytes  int64
}

func newAnswerMemory(d Deps) *answerMemory {
	return &answerMemory{limit: cmp.Or(d.CallerBytes, defaultCallerBytes) / answerPart}
}

// usedBytes returns how many bytes all answers hold.
func (m *answerMemory) usedBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// await sets what the answer holds, at most the memory's limit, and waits until there is room for
// it or ctx ends.
func (h *answerHold) await(ctx context.Context, bytes int64) error {
	for bytes != h.bytes {
		freed := h.resize(bytes)
		if freed == nil {
			return nil
		}
		if err := h.memory.wait(ctx, freed); err != nil {
			return err
		}
	}
	return nil
}

// wait waits until bytes are given back, or ctx ends.
func (m *answerMemory) wait(ctx context.Context, freed <-chan struct{}) error {
	m.addWaiting(1)
	defer m.addWaiting(-1)
	select {
	case <-freed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (m *answerMemory) addWaiting(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting += n
}

// contended reports whether answers wait for room.
func (m *answerMemory) contended() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting > 0
}

// resize sets what the answer holds, or returns what is closed when bytes are given back.
func (h *answerHold) resize(bytes int64) (freed <-chan struct{}) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if bytes > h.bytes && m.used-h.bytes+bytes > m.limit {
		if m.freed == nil {
			m.freed = make(chan struct{})
		}
		return m.freed
	}
	if bytes < h.bytes && m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
	m.used += bytes - h.bytes
	h.bytes = bytes
	return nil
}

// release gives everything back.
func (h *answerHold) release() {
	if h.bytes > 0 {
		h.resize(0)
	}
}

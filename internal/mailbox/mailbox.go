// Package mailbox runs a part's messages one at a time without a goroutine of
// its own while it is idle.
package mailbox

import "sync"

// Mailbox is a queue of messages with at most one goroutine handling it. Post
// never blocks and may be called by the handler itself; messages are handled
// in the order of their posting. The queue has no bound: who posts bounds what
// is under way (waiting requests per entry, send queues per peer).
type Mailbox[T any] struct {
	handle func(batch []T)
	spawn  func(func())

	mu      sync.Mutex
	queue   []T
	spare   []T
	running bool
}

// New returns a mailbox. handle gets what has come together since its last
// call; it must not keep the slice. spawn starts the goroutine that drains the
// mailbox; a test may run it inline to make the order of all steps fixed.
func New[T any](spawn func(func()), handle func(batch []T)) *Mailbox[T] {
	return &Mailbox[T]{handle: handle, spawn: spawn}
}

// Post adds a message and sees to it that it is handled.
func (m *Mailbox[T]) Post(v T) {
	m.mu.Lock()
	m.queue = append(m.queue, v)
	start := !m.running
	m.running = true
	m.mu.Unlock()
	if start {
		m.spawn(m.drain)
	}
}

func (m *Mailbox[T]) drain() {
	for {
		batch := m.take()
		if batch == nil {
			return
		}
		m.handle(batch)
		clear(batch)
		m.mu.Lock()
		m.spare = batch[:0]
		m.mu.Unlock()
	}
}

// take returns the queued messages, or nil where the mailbox is now idle.
func (m *Mailbox[T]) take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.queue) == 0 {
		m.running = false
		return nil
	}
	batch := m.queue
	m.queue, m.spare = m.spare, nil
	return batch
}

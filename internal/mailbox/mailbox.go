// Package mailbox queues messages for a handler that runs on at most one
// goroutine, and on none while the queue is empty.
package mailbox

import "sync"

// Mailbox is a queue whose messages are handled in order on at most one
// goroutine. Post never blocks and may be called by the handler. The queue is
// unbounded; its senders bound the messages in flight, such as the waiting
// requests of an entry or the send queue of a peer.
type Mailbox[T any] struct {
	handle func(batch []T)
	spawn  func(func())

	mu      sync.Mutex
	queue   []T
	spare   []T
	running bool
}

// New returns a mailbox. handle receives all messages queued since its last call
// and must not keep the slice. spawn starts the goroutine that drains the queue.
// A test may run it inline for a deterministic order of steps.
func New[T any](spawn func(func()), handle func(batch []T)) *Mailbox[T] {
	return &Mailbox[T]{handle: handle, spawn: spawn}
}

// Post queues a message and starts the handler if it is not running.
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

// take returns the queued messages, or nil if there are none and the mailbox
// becomes idle.
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

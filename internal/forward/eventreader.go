package forward

import (
	"fmt"
	"io"
	"strconv"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// minEventBuffer is the size of a stream's first buffer, minReadBytes the room for a read.
	minEventBuffer, minReadBytes = 2 << 10, 512
)

// eventFault is what is wrong with an event, as logs and metrics name it.
type eventFault string

const (
	faultOutOfOrder eventFault = "out_of_order"
	faultUnnumbered eventFault = "unnumbered"
	faultSpoiled    eventFault = "spoiled"
	faultTruncated  eventFault = "truncated"
	faultTooLarge   eventFault = "too_large"
	// faultNoMemory is the fault of an unfinished event that had to give way to others.
	faultNoMemory eventFault = "no_memory"
)

func eventFaults() []eventFault {
	return []eventFault{faultOutOfOrder, faultUnnumbered, faultSpoiled, faultTruncated, faultTooLarge, faultNoMemory}
}

// eventError is the error of a stream at an event that is not what its server made. It wraps
// errMalformedAnswer.
type eventError struct {
	fault eventFault
	after int64 // the id of the last sound event; 0: none
	id    int64 // of the faulty one, if it is out of order
}

func (e *eventError) Error() string {
	if e.fault == faultOutOfOrder {
		return fmt.Sprintf("event %d after %d: %v", e.id, e.after, errMalformedAnswer)
	}
	return fmt.Sprintf("event after %d is %s: %v", e.after, e.fault, errMalformedAnswer)
}

// Unwrap lets errors.Is find errMalformedAnswer.
func (e *eventError) Unwrap() error { return errMalformedAnswer }

// eventReader splits a reply's body into complete blocks and checks that the ids of the events
// among them are contiguous, from 1 in a new stream. It never returns a truncated event.
//
// It ends at the first event that it can't place. If it passed on what it can't read, a stream
// would look complete without that event, or bring it twice after it is resumed.
type eventReader struct {
	reply *reply
	// lastID is the id of the last event returned, at first that of the event to resume after;
	// 0: the stream is new.
	lastID   int64
	buf      []byte
	consumed int        // bytes of buf that were returned
	kept     int        // bytes of earlier batches that are kept beside buf
	hold     *eventHold // what buf and the batches take beyond includedBytes
	held     bool       // hold may hold something
	failed   error      // of the block after the last one returned
}

// newEventReader returns a reader of the events that follow the one with the given id. Text
// that is no id names no event to follow.
func newEventReader(r *reply, m *eventMemory, lastEvent string) eventReader {
	id, err := strconv.ParseInt(lastEvent, 10, 64)
	if err != nil || id < 0 {
		id = 0
	}
	r.events = m.newHold(r.conn.Abort)
	return eventReader{reply: r, lastID: id, hold: r.events}
}

// next returns all complete blocks that have arrived, waiting for at least one. io.EOF
// means that the stream ended complete. The slice is valid until the next call.
func (e *eventReader) next() (batch []byte, count int, err error) {
	e.kept = 0
	return e.read()
}

// read is next, beside what is kept of earlier batches.
func (e *eventReader) read() (batch []byte, count int, err error) {
	e.buf = e.buf[:copy(e.buf, e.buf[e.consumed:])]
	e.consumed = 0
	e.shrink()
	for e.failed == nil {
		count = e.takeBlocks()
		if e.consumed > 0 {
			if e.held {
				e.hold.finish()
			}
			return e.buf[:e.consumed], count, nil
		}
		if e.failed == nil && len(e.buf) > maxEventBytes {
			e.failed = &eventError{fault: faultTooLarge, after: e.lastID}
		}
		if e.failed == nil {
			if err := e.fill(); err != nil {
				return nil, 0, err
			}
		}
	}
	e.drop()
	return nil, 0, e.failed
}

// takeBlocks consumes the complete blocks up to the first faulty event, and returns how many of
// them are events. What is consumed and lastID move together, so that a
// stream is resumed after what its caller has.
func (e *eventReader) takeBlocks() (count int) {
	for {
		b, complete := cutBlock(e.buf[e.consumed:])
		if !complete {
			return count
		}
		switch {
		case b.unnumbered:
			e.failed = &eventError{fault: faultUnnumbered, after: e.lastID}
			return count
		case b.hasID && b.id != e.lastID+1:
			e.failed = &eventError{fault: faultOutOfOrder, after: e.lastID, id: b.id}
			return count
		case b.hasID && (b.spoiled || !b.hasData):
			e.failed = &eventError{fault: faultSpoiled, after: e.lastID}
			return count
		case b.hasID:
			e.lastID = b.id
			count++
		}
		e.consumed += b.size
	}
}

// nextWithEvent is next, but waits for an event. A block without an id (a comment) does not
// end the wait; it is returned with what follows it, also with io.EOF.
func (e *eventReader) nextWithEvent() (batch []byte, count int, err error) {
	var earlier []byte
	e.kept = 0
	for {
		batch, count, err = e.read()
		if len(earlier) > 0 {
			batch = append(earlier, batch...)
		}
		if count > 0 || err != nil {
			return batch, count, err
		}
		if len(batch) > maxEventBytes {
			return nil, 0, &eventError{fault: faultTooLarge, after: e.lastID}
		}
		if e.kept = len(batch); !e.reserve(cap(e.buf)) {
			return nil, 0, e.noMemory()
		}
		earlier = append([]byte(nil), batch...)
	}
}

// fill reads the bytes that are available, waiting for at least one.
func (e *eventReader) fill() error {
	if cap(e.buf)-len(e.buf) < minReadBytes && !e.grow() {
		return e.noMemory()
	}
	n, err := e.reply.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	switch {
	case n > 0:
		return nil // the next Read returns the error again
	case err == io.EOF && len(e.buf) > 0:
		return &eventError{fault: faultTruncated, after: e.lastID}
	case err != io.EOF && e.hold.wasEvicted():
		return e.noMemory()
	}
	return err
}

// grow makes room for more of an event. It returns false if there is no memory for it.
func (e *eventReader) grow() bool {
	size := max(minEventBuffer, min(2*cap(e.buf), maxEventBytes+2*minReadBytes))
	if !e.reserve(size) {
		return false
	}
	grown := make([]byte, len(e.buf), size)
	copy(grown, e.buf)
	e.buf = grown
	return true
}

// reserve reserves what a buffer of the size takes, together with what is kept beside it. The
// first bytes of a stream are those of its request.
func (e *eventReader) reserve(size int) bool {
	beyond := size + e.kept - includedBytes
	if beyond > 0 {
		e.held = true
		return e.hold.resize(int64(beyond))
	}
	if e.held {
		e.hold.release()
		e.held = false
	}
	return true
}

// shrink gives back the buffer of a long event that was passed on. If the beginning of the next
// one is too long for a short buffer, it stays, and counts as unfinished from now on.
func (e *eventReader) shrink() {
	if cap(e.buf) > includedBytes && len(e.buf) <= includedBytes-minReadBytes {
		e.buf = append(make([]byte, 0, includedBytes), e.buf...)
	}
	e.reserve(cap(e.buf))
}

// drop gives up what was read of an event that can't be passed on.
func (e *eventReader) drop() {
	e.buf, e.consumed, e.kept = nil, 0, 0
	e.hold.release()
}

// noMemory ends the stream at an unfinished event for which there is no memory.
func (e *eventReader) noMemory() error {
	e.failed = &eventError{fault: faultNoMemory, after: e.lastID}
	e.drop()
	return e.failed
}

package forward

import (
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventFault is what is wrong with an event, as logs and metrics name it.
type eventFault string

const (
	faultOutOfOrder eventFault = "out_of_order"
	faultUnnumbered eventFault = "unnumbered"
	faultSpoiled    eventFault = "spoiled"
	faultTruncated  eventFault = "truncated"
	faultTooLarge   eventFault = "too_large"
)

func eventFaults() []eventFault {
	return []eventFault{faultOutOfOrder, faultUnnumbered, faultSpoiled, faultTruncated, faultTooLarge}
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
	consumed int   // bytes of buf that were returned
	failed   error // of the block after the last one returned
}

// newEventReader returns a reader of the events that follow the one with the given id. Text
// that is no id names no event to follow.
func newEventReader(r *reply, lastEvent string) eventReader {
	id, err := strconv.ParseInt(lastEvent, 10, 64)
	if err != nil || id < 0 {
		id = 0
	}
	return eventReader{reply: r, lastID: id}
}

// next returns all complete blocks that have arrived, waiting for at least one. io.EOF
// means that the stream ended complete. The slice is valid until the next call.
func (e *eventReader) next() (batch []byte, count int, err error) {
	e.buf = e.buf[:copy(e.buf, e.buf[e.consumed:])]
	e.consumed = 0
	for e.failed == nil {
		count = e.takeBlocks()
		if e.consumed > 0 {
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
	for {
		batch, count, err = e.next()
		if len(earlier) > 0 {
			batch = append(earlier, batch...)
		}
		if count > 0 || err != nil {
			return batch, count, err
		}
		if len(batch) > maxEventBytes {
			return nil, 0, &eventError{fault: faultTooLarge, after: e.lastID}
		}
		earlier = append([]byte(nil), batch...)
	}
}

// fill reads the bytes that are available, waiting for at least one.
func (e *eventReader) fill() error {
	if cap(e.buf)-len(e.buf) < 512 {
		grown := make([]byte, len(e.buf), max(2048, 2*cap(e.buf)))
		copy(grown, e.buf)
		e.buf = grown
	}
	n, err := e.reply.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	if n > 0 {
		return nil // the next Read returns the error again
	}
	if err == io.EOF && len(e.buf) > 0 {
		return &eventError{fault: faultTruncated, after: e.lastID}
	}
	return err
}

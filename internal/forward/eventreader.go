package forward

import (
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventReader splits a reply's body into complete blocks and checks that the ids of the events
// among them are contiguous. It never returns a truncated event.
type eventReader struct {
	reply *reply
	// lastID is the id of the last event returned. hasLastID is set after the first event,
	// or if the caller named the event to resume after.
	lastID    int64
	hasLastID bool
	buf       []byte
	consumed  int   // bytes of buf that were returned
	failed    error // of the block after the last one returned
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
			e.failed = errors.Wrap(errMalformedAnswer, "event exceeds the size limit")
		}
		if e.failed == nil {
			if err := e.fill(); err != nil {
				return nil, 0, err
			}
		}
	}
	return nil, 0, e.failed
}

// takeBlocks consumes the complete blocks up to the first one whose id does not follow, and
// returns how many of them are events. What is consumed and lastID move together, so that a
// stream is resumed after what its caller has.
func (e *eventReader) takeBlocks() (count int) {
	for {
		b, complete := cutBlock(e.buf[e.consumed:])
		if !complete {
			return count
		}
		if b.hasID {
			if e.hasLastID && b.id != e.lastID+1 {
				e.failed = errors.Wrapf(errMalformedAnswer, "event %d after %d", b.id, e.lastID)
				return count
			}
			e.lastID, e.hasLastID = b.id, true
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
			return nil, 0, errors.Wrap(errMalformedAnswer, "blocks without an event exceed the size limit")
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
		return errors.Wrap(errMalformedAnswer, "stream ends within an event")
	}
	return err
}

package forward

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// eventReader splits a reply's body into complete events and checks that their ids are
// contiguous. It never returns a truncated event.
type eventReader struct {
	reply *reply
	// lastID is the id of the last event returned. hasLastID is set after the first event,
	// or if the caller named the event to resume after.
	lastID    int64
	hasLastID bool
	buf       []byte
	consumed  int // bytes of buf that were returned
}

// blankLine ends an event.
var blankLine = []byte("\n\n")

// next returns all complete events that have arrived, waiting for at least one. io.EOF
// means that the stream ended complete. The slice is valid until the next call.
func (e *eventReader) next() (batch []byte, count int, err error) {
	e.buf = e.buf[:copy(e.buf, e.buf[e.consumed:])]
	e.consumed = 0
	for {
		if end := bytes.LastIndex(e.buf, blankLine); end >= 0 {
			batch = e.buf[:end+len(blankLine)]
			e.consumed = len(batch)
			n, err := e.checkIDs(batch)
			return batch, n, err
		}
		if len(e.buf) > maxEventBytes {
			return nil, 0, errors.Wrap(errMalformedAnswer, "event exceeds the size limit")
		}
		if err := e.fill(); err != nil {
			return nil, 0, err
		}
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

// checkIDs checks and records the ids of complete events, and returns how many events there are.
func (e *eventReader) checkIDs(batch []byte) (int, error) {
	count := 0
	for len(batch) > 0 {
		end := bytes.Index(batch, blankLine)
		id, ok := eventID(batch[:end])
		batch = batch[end+len(blankLine):]
		if !ok {
			continue // a comment, which has no id
		}
		if e.hasLastID && id != e.lastID+1 {
			return count, errors.Wrapf(errMalformedAnswer, "event %d after %d", id, e.lastID)
		}
		e.lastID, e.hasLastID = id, true
		count++
	}
	return count, nil
}

// eventID returns an event's id; false if it has none.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

package forward

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// eventReader cuts a reply's body into whole events and checks that their ids are
// contiguous. An event that is cut off is never handed on.
type eventReader struct {
	reply *reply
	// lastID is the id of the last event handed on; known once there was one,
	// or the caller told where to go on.
	lastID    int64
	hasLastID bool
	buf       []byte
	consumed  int // of buf, handed on
}

// blankLine ends an event.
var blankLine = []byte("\n\n")

// next returns all whole events that have come, waiting for the first. io.EOF
// means that the stream ended whole. The slice is valid until the next call.
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
			return nil, 0, errors.Wrap(errMalformedAnswer, "event too long")
		}
		if err := e.fill(); err != nil {
			return nil, 0, err
		}
	}
}

// fill reads what has come.
func (e *eventReader) fill() error {
	if cap(e.buf)-len(e.buf) < 512 {
		grown := make([]byte, len(e.buf), max(2048, 2*cap(e.buf)))
		copy(grown, e.buf)
		e.buf = grown
	}
	n, err := e.reply.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	if n > 0 {
		return nil // the error comes again
	}
	if err == io.EOF && len(e.buf) > 0 {
		return errors.Wrap(errMalformedAnswer, "stream ends within an event")
	}
	return err
}

// checkIDs takes the ids of whole events.
func (e *eventReader) checkIDs(batch []byte) (int, error) {
	count := 0
	for len(batch) > 0 {
		end := bytes.Index(batch, blankLine)
		id, ok := eventID(batch[:end])
		batch = batch[end+len(blankLine):]
		if !ok {
			continue // a comment
		}
		if e.hasLastID && id != e.lastID+1 {
			return count, errors.Wrapf(errMalformedAnswer, "event %d after %d", id, e.lastID)
		}
		e.lastID, e.hasLastID = id, true
		count++
	}
	return count, nil
}

// eventID returns an event's id; false where it has none.
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

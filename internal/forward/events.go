package forward

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// events cuts a reply's body into whole events and checks that their ids are
// contiguous. An event that is cut off is never handed on.
type events struct {
	from *reply
	// last is the id of the last event handed on; known once there was one,
	// or the caller told where to go on.
	last  int64
	known bool
	buf   []byte
	used  int // of buf, handed on
}

// blankLine ends an event.
var blankLine = []byte("\n\n")

// next returns all whole events that have come, waiting for the first. io.EOF
// means that the stream ended whole. The slice is valid until the next call.
func (e *events) next() (whole []byte, count int, err error) {
	e.buf = e.buf[:copy(e.buf, e.buf[e.used:])]
	e.used = 0
	for {
		if end := bytes.LastIndex(e.buf, blankLine); end >= 0 {
			whole = e.buf[:end+len(blankLine)]
			e.used = len(whole)
			n, err := e.check(whole)
			return whole, n, err
		}
		if len(e.buf) > maxEvent {
			return nil, 0, errors.Wrap(errMalformed, "event too long")
		}
		if err := e.fill(); err != nil {
			return nil, 0, err
		}
	}
}

// fill reads what has come.
func (e *events) fill() error {
	if cap(e.buf)-len(e.buf) < 512 {
		grown := make([]byte, len(e.buf), max(2048, 2*cap(e.buf)))
		copy(grown, e.buf)
		e.buf = grown
	}
	n, err := e.from.Read(e.buf[len(e.buf):cap(e.buf)])
	e.buf = e.buf[:len(e.buf)+n]
	if n > 0 {
		return nil // the error comes again
	}
	if err == io.EOF && len(e.buf) > 0 {
		return errors.Wrap(errMalformed, "stream ends within an event")
	}
	return err
}

// check takes the ids of whole events.
func (e *events) check(whole []byte) (int, error) {
	count := 0
	for len(whole) > 0 {
		end := bytes.Index(whole, blankLine)
		id, ok := eventID(whole[:end])
		whole = whole[end+len(blankLine):]
		if !ok {
			continue // a comment
		}
		if e.known && id != e.last+1 {
			return count, errors.Wrapf(errMalformed, "event %d after %d", id, e.last)
		}
		e.last, e.known = id, true
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

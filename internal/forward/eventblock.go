package forward

import (
	"bytes"
	"strconv"
)

// eventBlock is what a blank line ends in an event stream (text/event-stream of the HTML
// standard): an event, a comment, or nothing but the blank line.
type eventBlock struct {
	size  int // in bytes, with the blank line
	id    int64
	hasID bool // only events have an id
	// unnumbered: it is an event, or was one before its bytes changed, but its id is missing or
	// can't be read.
	unnumbered bool
	// spoiled: a line is none that a server writes, or the next event's id lost its first byte
	// together with the blank line before it.
	spoiled   bool
	hasData   bool // without data, callers see no event
	hasNextID bool // after data, without its first byte
}

// byteOrderMark may precede a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// cutBlock returns the block at the start of b; false if its blank line is not there.
func cutBlock(b []byte) (block eventBlock, complete bool) {
	for block.size < len(b) {
		line, size := cutLine(b[block.size:])
		if size == 0 {
			return eventBlock{}, false
		}
		if block.size == 0 {
			line = bytes.TrimPrefix(line, byteOrderMark)
		}
		block.size += size
		if len(line) == 0 {
			block.unnumbered = block.unnumbered && !block.hasID
			return block, true
		}
		block.readField(line)
	}
	return eventBlock{}, false
}

// eventIDBits is the size of ids, which are not negative.
const eventIDBits = 63

// endMarker is the data of a last block that is no event, by the usage of model servers.
const endMarker = "[DONE]"

// readField takes over what a line says. Without an id, a block may hold only comments, the end
// marker and fields that carry no data: of an unknown field nobody can tell what it was before
// its bytes changed.
func (b *eventBlock) readField(line []byte) {
	b.hasNextID = b.hasNextID || b.hasData && b.hasID && isID(line[1:], b.id+1)
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch string(name) {
	case "", "event", "retry": // an empty name is a comment's
	case "id":
		id, err := strconv.ParseUint(string(value), 10, eventIDBits)
		b.id, b.hasID = int64(id), err == nil
		b.unnumbered = true // unless the block has an id at its end
	case "data":
		b.unnumbered = b.unnumbered || string(value) != endMarker
		b.hasData = true
		b.spoiled = b.spoiled || b.hasNextID
	default:
		b.unnumbered = true
		b.spoiled = b.spoiled || !hasColon || !isFieldName(name)
	}
}

// isID reports whether a line is an event's id, as servers write it.
func isID(line []byte, id int64) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	return string(name) == "id" && string(bytes.TrimSpace(value)) == strconv.FormatInt(id, 10)
}

// isFieldName reports whether an unknown field may have the name: letters, digits, - and _.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if c != '-' && c != '_' && (c < '0' || c > '9') && (c|' ' < 'a' || c|' ' > 'z') {
			return false
		}
	}
	return true
}

// cutLine returns the first line of b without its end (LF, CRLF or CR), and its size with the
// end; 0 if the end is not there. A CR at the end of b ends a line; an LF that comes later is
// then an empty line, which changes no event.
func cutLine(b []byte) (line []byte, size int) {
	end := bytes.IndexAny(b, "\r\n")
	if end < 0 {
		return nil, 0
	}
	size = end + 1
	if b[end] == '\r' && size < len(b) && b[size] == '\n' {
		size++
	}
	return b[:end], size
}

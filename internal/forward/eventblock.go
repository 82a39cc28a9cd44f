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
			return block, true
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			block.id, block.hasID = id, err == nil
		}
	}
	return eventBlock{}, false
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

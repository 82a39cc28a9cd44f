package poolwire

import (
	"strconv"
	"strings"

	"github.com/lycheekeel/lycheekeel/pool"
)

// NewEntryID names a daemon's entry: the member's name and a number drawn at
// its start, so that a restarted daemon is another entry.
func NewEntryID(member string, incarnation uint64) pool.EntryID {
	return pool.EntryID(member + "/" + strconv.FormatUint(incarnation, 16))
}

// MemberOf returns the name of the member whose entry it is.
func MemberOf(id pool.EntryID) string {
	name := string(id)
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i]
	}
	return name
}

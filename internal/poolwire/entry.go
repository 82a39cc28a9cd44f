package poolwire

import (
	"strconv"
	"strings"

	"github.com/lycheekeel/lycheekeel/pool"
)

// NewEntryID returns the ID of a daemon's entry: the member's name and a random
// number of this start, so that a restarted daemon is a new entry.
func NewEntryID(member string, incarnation uint64) pool.EntryID {
	return pool.EntryID(member + "/" + strconv.FormatUint(incarnation, 16))
}

// MemberOf returns the name of the member that an entry belongs to.
func MemberOf(id pool.EntryID) string {
	name := string(id)
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i]
	}
	return name
}

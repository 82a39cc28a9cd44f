package gateway

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/discovery"
)

// Guards against server fields that are lost in the answer to a poll, so that daemons use other
// servers than the readers do.
func TestEntriesArriveAsTheyWereTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.Make[discovery.Server]().Draw(t, "server")
		told.Slots = int(uint16(told.Slots))
		told.Restarts = 0 // each directory counts its own
		if got := serversFromWire(serversToWire([]discovery.Server{told}))[0]; got != told {
			t.Fatalf("%+v, want %+v", got, told)
		}
	})
}

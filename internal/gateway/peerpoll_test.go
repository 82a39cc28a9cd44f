package gateway

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/discovery"
)

// Guards against this: daemons that do not read the store use a server that its readers do not.
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

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
		server := rapid.Make[discovery.Server]().Draw(t, "server")
		server.Slots = int(uint16(server.Slots))
		server.Restarts = 0 // each directory counts its own
		if got := serversFromWire(serversToWire([]discovery.Server{server}))[0]; got != server {
			t.Fatalf("%+v, want %+v", got, server)
		}
	})
}

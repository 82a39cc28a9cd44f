package gateway

import (
	"context"
	"time"
)

// maxProofGap is the longest time between two proofs of the list of servers in which no version
// comes and goes unseen.
const maxProofGap = 2 * serversListInterval

// proveServers records that this daemon knows the servers as of a time, by the clock of
// serversFreshness. After a gap it has to observe them anew before it vouches for their versions.
func (s *state) proveServers(at time.Duration) {
	if before, ok := s.serversFreshness.ConfirmedAt(); !ok || at-before > maxProofGap {
		s.versions.ObserveFrom(time.Now().Add(at - s.serversFreshness.Now()))
	}
	s.serversFreshness.Confirm(at)
}

// awaitServersProof waits for a proof of the servers from after the call, until ctx ends.
func (s *state) awaitServersProof(ctx context.Context) {
	called := int64(s.serversFreshness.Now())
	for wanted := s.wantedProof.Load(); wanted < called && !s.wantedProof.CompareAndSwap(wanted, called); {
		wanted = s.wantedProof.Load()
	}
	for ctx.Err() == nil {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if at, ok := s.serversFreshness.ConfirmedAt(); ok && int64(at) >= called {
			return
		}
		select {
		case s.readServers <- struct{}{}:
		default: // it is asked for already
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// wantsServersProof reports whether a newer proof of the servers is waited for.
func (s *state) wantsServersProof() bool {
	at, _ := s.serversFreshness.ConfirmedAt()
	return int64(at) < s.wantedProof.Load()
}

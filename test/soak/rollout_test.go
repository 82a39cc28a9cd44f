package soak

import (
	"fmt"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

const (
	badVersion = "bad"
	// rolloutWithinS is how long the rollout may take, in seconds.
	rolloutWithinS = 4
)

// rollOutBadVersion requests, once, a rollout to a version of the plain service that fails all it runs.
func (f *fleet) rollOutBadVersion() {
	if f.bad != nil {
		return
	}
	f.store.PutRollout("app", badVersion, rolloutWithinS)
	for range 2 {
		f.made++
		s := &server{service: "app", Server: &standin.Server{ID: fmt.Sprintf("i-%d", f.made), Fails: func(int) bool { return true }}}
		address, stop := f.serve(s.Serve)
		s.stop, s.proxy = stop, f.proxy(address)
		f.store.PutServerVersion(s.ID, "app", s.proxy.Addr(), badVersion, 8)
		f.bad = append(f.bad, s)
	}
}

// checkRollout holds what the bad version got against its bound, by what its servers saw.
func (f *fleet) checkRollout() {
	if f.bad == nil {
		return
	}
	f.eventually("the bad version is rolled back", func() bool {
		state, to := f.store.RolloutState("app")
		return state == "rolled_back" && to == badVersion
	})
	got, all := 0, 0
	for _, s := range f.bad {
		got += len(s.Arrivals())
	}
	for _, s := range f.servers {
		if s.service == "app" {
			all += len(s.Arrivals())
		}
	}
	f.t.Logf("the bad version got %d requests, the others %d", got, all)
	if float64(got) > canaryShare*float64(all+got)+canarySlack {
		f.t.Errorf("the bad version got %d of %d requests", got, all+got)
	}
}

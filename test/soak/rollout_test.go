package soak

import (
	"github.com/lycheekeel/lycheekeel/platform/standin"
)

const (
	badVersion = "bad"
	// rolloutTimeoutS is the time limit of the rollout, in seconds.
	rolloutTimeoutS = 4
)

// rollOutBadVersion starts a rollout of the plain service to a version that fails
// every request. Only the first call has an effect.
func (f *fleet) rollOutBadVersion() {
	if f.badServers != nil {
		return
	}
	f.store.PutRollout("app", badVersion, rolloutTimeoutS)
	for range 2 {
		s := f.startServer("app", &standin.Server{Fails: func(int) bool { return true }})
		f.store.PutServerVersion(s.ID, "app", s.proxy.Addr(), badVersion, 8)
		f.badServers = append(f.badServers, s)
	}
}

// checkRollout checks that the bad version was rolled back and received no more
// than its bounded share of requests, as counted by the servers.
func (f *fleet) checkRollout() {
	if f.badServers == nil {
		return
	}
	f.eventually("the bad version is rolled back", func() bool {
		state, to := f.store.RolloutState("app")
		return state == "rolled_back" && to == badVersion
	})
	badCount, otherCount := 0, 0
	for _, s := range f.badServers {
		badCount += len(s.Arrivals())
	}
	for _, s := range f.servers {
		if s.service == "app" {
			otherCount += len(s.Arrivals())
		}
	}
	f.t.Logf("the bad version got %d requests, other versions %d", badCount, otherCount)
	if float64(badCount) > canaryShare*float64(otherCount+badCount)+canarySlack {
		f.t.Errorf("the bad version got %d of %d requests", badCount, otherCount+badCount)
	}
}

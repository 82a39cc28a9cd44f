package objectstore

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the switchable misbehaviours. The zero value is a healthy
// platform.
type Faults struct {
	// Down refuses every call before it has effect.
	Down bool `json:"down"`
	// SlowMs delays every call. A write whose caller gives up meanwhile still
	// takes effect later, as at a real slow server.
	SlowMs int `json:"slow_ms"`
	// LoseFraction is the share of writes (0..1) whose answer is lost after
	// they took effect or were refused.
	LoseFraction float64 `json:"lose_fraction"`
	// LoseNext is how many of the next writes that take effect lose their
	// answer.
	LoseNext int `json:"lose_next"`
	// StaleWrites answers reads as of that many writes ago, one state back
	// per object at most.
	StaleWrites uint64 `json:"stale_writes"`
	// VMLagMs is how old the VM list is.
	VMLagMs int `json:"vm_lag_ms"`
	// WritesPerSecond makes writes over this rate wait; zero is no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
}

// faultState is one setting of the faults with its running counts.
type faultState struct {
	Faults
	loseNext     atomic.Int64
	writeLimiter *rate.Limiter
}

func newFaultState(f Faults) *faultState {
	st := &faultState{Faults: f}
	st.loseNext.Store(int64(f.LoseNext))
	if f.WritesPerSecond > 0 {
		st.writeLimiter = rate.NewLimiter(rate.Limit(f.WritesPerSecond), 1)
	}
	return st
}

func (st *faultState) delay() time.Duration { return time.Duration(st.SlowMs) * time.Millisecond }

// losesAnswer decides whether a write's answer is lost; chance is in [0,1).
func (st *faultState) losesAnswer(tookEffect bool, fraction float64) bool {
	if tookEffect && st.loseNext.Add(-1) >= 0 {
		return true
	}
	return fraction < st.LoseFraction
}

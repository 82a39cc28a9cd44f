package objectstore

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the faults that can be injected. The zero value injects none.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool `json:"down"`
	// SlowMs delays every call. A write whose caller stops waiting still takes
	// effect later, as on a real slow server.
	SlowMs int `json:"slow_ms"`
	// LoseFraction is the fraction of writes (0..1) whose answer is lost after
	// they took effect or were refused.
	LoseFraction float64 `json:"lose_fraction"`
	// LoseNext is the number of upcoming successful writes whose answer is
	// lost.
	LoseNext int `json:"lose_next"`
	// StaleWrites answers reads with the state as of this many writes ago. For
	// each object, at most the latest change is hidden.
	StaleWrites uint64 `json:"stale_writes"`
	// VMLagMs is the age of the VM list.
	VMLagMs int `json:"vm_lag_ms"`
	// WritesPerSecond is the rate limit of writes. Writes above it wait. Zero
	// means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
}

// faultState is a set of active faults with the state of its counters.
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

// losesAnswer decides whether a write's answer is lost. fraction is a random
// number in [0,1).
func (st *faultState) losesAnswer(tookEffect bool, fraction float64) bool {
	if tookEffect && st.loseNext.Add(-1) >= 0 {
		return true
	}
	return fraction < st.LoseFraction
}

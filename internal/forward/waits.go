package forward

import "sync/atomic"

// waits is what a request waits for now. Others may read it while the request goes on.
type waits struct{ state atomic.Int32 }

// waitState is one of the things that a request waits for.
type waitState int32

const (
	waitsForSlot waitState = iota
	waitsForAnswer
	waitsForEvents
	waitsForCaller
)

// waitNames are the names of the states in the log.
var waitNames = [...]string{waitsForSlot: "slot", waitsForAnswer: "answer", waitsForEvents: "events", waitsForCaller: "caller"}

func (w *waits) set(s waitState) { w.state.Store(int32(s)) }

func (w *waits) current() string { return waitNames[w.state.Load()] }

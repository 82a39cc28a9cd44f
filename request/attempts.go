package request

// Attempts counts the servers that may have begun to run one request, and
// says whether it may be sent once more. One goroutine uses it.
//
// What goes wrong without it: a request whose answer was lost is sent again
// although it must not run twice, or is told "not run" although it did. Every
// send takes an attempt before its first byte; only a server's own word that
// it did not run the request gives it back.
type Attempts struct {
	// Repeatable requests may be begun by up to Most servers, others by one.
	Repeatable bool
	Max        int

	started int
	sends   int
}

// CanSend tells whether the request may be sent.
func (a *Attempts) CanSend() bool {
	if a.started == 0 {
		return true
	}
	return a.Repeatable && a.started < a.Max
}

// Take takes an attempt, before the first byte of a send can leave. It
// returns ErrNoDispatchRight where none is left.
func (a *Attempts) Take() error {
	if !a.CanSend() {
		return ErrNoDispatchRight
	}
	a.started++
	a.sends++
	return nil
}

// Undo undoes the last Take: no byte left, or the server said that it did
// not and will not run the request.
func (a *Attempts) Undo() { a.started-- }

// Sends returns how many attempts were taken, given back or not.
func (a *Attempts) Sends() int { return a.sends }

// NotRun tells what is known of whether the request ran.
func (a *Attempts) NotRun() NotRun {
	if a.started == 0 {
		return NotRunTrue
	}
	return RanUnknown
}

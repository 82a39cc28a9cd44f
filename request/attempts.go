package request

// Attempts counts the servers that may have started to run one request, and decides whether
// it may be sent again. It is for use by a single goroutine.
//
// Without it, a request whose answer was lost could be sent again although it must not run
// twice, or reported as not run although it did run. Every send takes an attempt before its
// first byte. Only a server's own statement that it did not run the request undoes the
// attempt.
type Attempts struct {
	// Repeatable requests may be started by up to Max servers, others by one.
	Repeatable bool
	Max        int

	started int
	sends   int
}

// CanSend reports whether the request may be sent.
func (a *Attempts) CanSend() bool {
	if a.started == 0 {
		return true
	}
	return a.Repeatable && a.started < a.Max
}

// Take takes an attempt. It must be called before the first byte of a send. It returns
// ErrNoDispatchRight if no attempt is left.
func (a *Attempts) Take() error {
	if !a.CanSend() {
		return ErrNoDispatchRight
	}
	a.started++
	a.sends++
	return nil
}

// Undo undoes the latest Take: the server said that it did not and will not run the
// request.
func (a *Attempts) Undo() { a.started-- }

// Unsend undoes the latest Take: no byte was sent.
func (a *Attempts) Unsend() {
	a.started--
	a.sends--
}

// Sends returns the number of attempts that may have reached a server, those that it did
// not run included.
func (a *Attempts) Sends() int { return a.sends }

// NotRun returns what is known about whether the request ran.
func (a *Attempts) NotRun() NotRun {
	if a.started == 0 {
		return NotRunTrue
	}
	return RanUnknown
}

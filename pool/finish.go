package pool

import "github.com/lycheekeel/lycheekeel/pool/tier"

// finishesTooLate reports whether an answer is expected to end after its deadline with an
// option, while the fastest server could still end it in time. The request then waits for
// such a server, at most for its maximum wait. Infeasible requests take any server.
//
// Without it, long answers that find no fast server free are sent to slow or crowded ones.
// Each of them occupies a slot until its deadline, and its caller gets nothing. The symptom
// is streams that are cut off at the deadline.
func (p *Pool) finishesTooLate(w *waiter, o option) bool {
	if !p.cfg.Traits.FinishInTime || w.Class == tier.Infeasible || !w.lengthExpected() {
		return false
	}
	if !p.now.Add(p.runTime(w, o)).After(w.deadline) {
		return false
	}
	_, whole := p.fastestTimes(w.PromptTokens, w.length.Mean)
	return !p.now.Add(whole).After(w.deadline)
}

// lengthExpected reports whether there is an estimate of the answer's length other than
// its cap.
func (w *waiter) lengthExpected() bool { return w.length.Known || w.ExpectedTokens > 0 }

package pool

import "time"

// withdrawnAtDeadline is the time before its deadline within which a withdrawn request
// counts as expired. Its entry has a clock of its own and may notice the deadline first.
const withdrawnAtDeadline = 500 * time.Millisecond

// reportExpired reports the state in which a request reached its deadline.
func (p *Pool) reportExpired(w *waiter) {
	first, whole := p.fastestTimes(0, 1)
	p.emit(Expired{
		Request: w.Request, Entry: w.Entry, Tier: w.Item.Tier, Class: w.Class.String(), Waited: p.now.Sub(w.enqueuedAt),
		Length: w.length.Mean, LengthKnown: w.length.Known, PerToken: whole - first, Bypassed: w.bypassed,
	})
}

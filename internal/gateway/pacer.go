package gateway

import "time"

const (
	// pacingMinServers is the number of servers from which rebuilds are paced; with fewer
	// they are cheap.
	pacingMinServers = 256
	// pacingShare is the largest share of the time that paced work may take.
	pacingShare = 0.05
	// maxPacingDelay is the longest delay of paced work. A server that leaves must stop
	// getting requests within seconds.
	maxPacingDelay = 250 * time.Millisecond
)

// pacer limits work whose cost grows with the number of servers to a share of the time.
// Without it, thousands of servers that change their entries many times a second would
// keep a daemon's core busy with a rebuild for each change.
type pacer struct {
	lastEnd      time.Time
	lastDuration time.Duration
}

// done records when the work was done.
func (p *pacer) done(began, ended time.Time) { p.lastEnd, p.lastDuration = ended, ended.Sub(began) }

// delay returns how long the next run has to wait.
func (p *pacer) delay(now time.Time) time.Duration {
	pause := min(time.Duration(float64(p.lastDuration)/pacingShare), maxPacingDelay)
	return max(0, p.lastEnd.Add(pause).Sub(now))
}

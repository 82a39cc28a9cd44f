package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/member"
)

const (
	// daemonsPerReader is how many daemons share a reader. Fewer daemons per reader
	// would cost more of the store's call rate, which all daemons share; with more, a
	// reader on a small VM would be busy sending them each change of a server.
	daemonsPerReader = 24
	// minStandbys is the least number of standbys, which are polled when the readers
	// can't read. The store may refuse the calls of a third of the VMs.
	minStandbys = 2
)

// readerKey is the rendezvous hashing key by which the readers are selected.
const readerKey = "reads the store"

// selectReaders returns the daemons that read the store, selected by rendezvous
// hashing over the live members, and the standbys, which are polled when these can't
// read.
func selectReaders(v *member.View) (readers, standbys []string) {
	type candidate struct {
		name  string
		score float64
	}
	var candidates []candidate
	for _, m := range v.Members {
		if m.State == member.Alive {
			candidates = append(candidates, candidate{m.Name, m.Score(readerKey)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	n := (len(candidates) + daemonsPerReader - 1) / daemonsPerReader
	ranked := make([]string, 0, 2*n+minStandbys)
	for _, c := range candidates[:min(len(candidates), n+max(n, minStandbys))] {
		ranked = append(ranked, c.name)
	}
	return ranked[:n], ranked[n:]
}

// isReader reports whether this daemon lists the store at intervals and watches it.
// A daemon that sees no other reader does so too, but not before it has joined the
// membership. Otherwise daemons that start together would each list and watch
// everything during the moments in which they see only themselves.
func (p *peerSync) isReader() bool {
	select {
	case <-p.joined:
	default:
		return false
	}
	v := p.currentView.Load()
	readers, _ := selectReaders(v)
	return len(readers) == 0 || slices.Contains(readers, v.Self)
}

// readerAnswers reports whether a reader has answered lately and this daemon is not
// a standby. If so, the readers will inform it as soon as an outage of the store ends.
func (p *peerSync) readerAnswers() bool {
	v := p.currentView.Load()
	if _, standbys := selectReaders(v); slices.Contains(standbys, v.Self) {
		return false
	}
	lastAnswer := p.lastAnswer.Load()
	return lastAnswer != 0 && p.state.configFreshness.Now()-time.Duration(lastAnswer) <= pollHold+pollRoundTrip
}

// pickReader returns the reader to poll; false: this daemon polls none. Daemons
// spread over the readers, and go on to the standbys when all readers were skipped. A
// reader polls another one only while its own reads are stale, and once after its start.
func (p *peerSync) pickReader() (string, bool) {
	v := p.currentView.Load()
	candidates, standbys := selectReaders(v)
	if slices.Contains(candidates, v.Self) && p.isCurrent() && p.hasAsked() {
		return "", false
	}
	candidates = append(rotate(candidates, v.Self), rotate(standbys, v.Self)...)
	candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == v.Self })
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[p.next.Load()%uint64(len(candidates))], true
}

// hasAsked reports whether another daemon has answered since this one started, or none did in
// time.
func (p *peerSync) hasAsked() bool {
	return p.lastAnswer.Load() != 0 || time.Since(p.startedAt) >= startPollTimeout
}

// isCurrent reports whether this daemon's state is as fresh as a reader's.
func (p *peerSync) isCurrent() bool {
	return p.state.configFreshness.Within(staleAfter) && p.state.serversFreshness.Within(staleAfter)
}

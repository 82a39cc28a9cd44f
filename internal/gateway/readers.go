package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/member"
)

const (
	// daemonsPerReader is how many daemons share one that reads the store, whose
	// rates the whole fleet shares. With more of them a reader on a small VM would be
	// busy telling them of each server that changes.
	daemonsPerReader = 24
	// minStandbys is how many daemons beside the readers are asked when
	// those can't read, at the least. The store may turn a third of the VMs away.
	minStandbys = 2
)

// readerKey is the key for which the daemons that read the store are chosen.
const readerKey = "reads the store"

// selectReaders returns the daemons that read the store, by rendezvous hashing over
// the live members, and those that are asked when these can't.
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

// isReader tells whether this daemon reads the store at intervals and watches it:
// also where it knows of no other that does, but not before it has looked for others.
//
// What goes wrong without the latter: for the moments in which it is alone, each of
// the daemons that start together reads everything again and watches.
func (p *peerSync) isReader() bool {
	select {
	case <-p.joined:
	default:
		return false
	}
	v := p.views.Load()
	readers, _ := selectReaders(v)
	return len(readers) == 0 || slices.Contains(readers, v.Self)
}

// readerAnswers tells whether a reader has answered lately, and this daemon is not one
// of those that are asked in a reader's place. Then, while the store is away, the
// readers tell as soon as it is back.
func (p *peerSync) readerAnswers() bool {
	v := p.views.Load()
	if _, standbys := selectReaders(v); slices.Contains(standbys, v.Self) {
		return false
	}
	lastAnswer := p.lastAnswer.Load()
	return lastAnswer != 0 && p.state.configFreshness.Mark()-time.Duration(lastAnswer) <= pollHold+pollRoundTrip
}

// pickReader returns the reader to ask; askers spread over the readers, and go to the
// substitutes when all of these were passed over. A reader asks another one only
// while it can't read itself.
func (p *peerSync) pickReader() (string, bool) {
	v := p.views.Load()
	candidates, standbys := selectReaders(v)
	if slices.Contains(candidates, v.Self) && p.isCurrent() {
		return "", false
	}
	candidates = append(rotate(candidates, v.Self), rotate(standbys, v.Self)...)
	candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == v.Self })
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[p.next.Load()%uint64(len(candidates))], true
}

// isCurrent tells whether what this daemon knows is as new as a reader has it.
func (p *peerSync) isCurrent() bool {
	return p.state.configFreshness.Within(staleAfter) && p.state.serversFreshness.Within(staleAfter)
}

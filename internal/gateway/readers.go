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
	// substitutesLeast is how many daemons beside the readers are asked when
	// those can't read, at the least. The store may turn a third of the VMs away.
	substitutesLeast = 2
)

// readerKey is the key for which the daemons that read the store are chosen.
const readerKey = "reads the store"

// readers returns the daemons that read the store, by rendezvous hashing over
// the live members, and those that are asked when these can't.
func readers(v *member.View) (reading, substitutes []string) {
	type candidate struct {
		name  string
		score float64
	}
	var all []candidate
	for _, m := range v.Members {
		if m.State == member.Alive {
			all = append(all, candidate{m.Name, m.Score(readerKey)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	n := (len(all) + daemonsPerReader - 1) / daemonsPerReader
	ranked := make([]string, 0, 2*n+substitutesLeast)
	for _, c := range all[:min(len(all), n+max(n, substitutesLeast))] {
		ranked = append(ranked, c.name)
	}
	return ranked[:n], ranked[n:]
}

// reading tells whether this daemon reads the store at intervals and watches it:
// also where it knows of no other that does, but not before it has looked for others.
//
// What goes wrong without the latter: for the moments in which it is alone, each of
// the daemons that start together reads everything again and watches.
func (a *asker) reading() bool {
	select {
	case <-a.joined:
	default:
		return false
	}
	v := a.views.Load()
	all, _ := readers(v)
	return len(all) == 0 || slices.Contains(all, v.Self)
}

// told tells whether a reader has answered lately, and this daemon is not one
// of those that are asked in a reader's place. Then, while the store is away, the
// readers tell as soon as it is back.
func (a *asker) told() bool {
	v := a.views.Load()
	if _, substitutes := readers(v); slices.Contains(substitutes, v.Self) {
		return false
	}
	heard := a.heard.Load()
	return heard != 0 && a.state.configFresh.Mark()-time.Duration(heard) <= askHold+askTimeout
}

// pick returns the reader to ask; askers spread over the readers, and go to the
// substitutes when all of these were passed over. A reader asks another one only
// while it can't read itself.
func (a *asker) pick() (string, bool) {
	v := a.views.Load()
	all, substitutes := readers(v)
	if slices.Contains(all, v.Self) && a.readsWell() {
		return "", false
	}
	all = append(spread(all, v.Self), spread(substitutes, v.Self)...)
	all = slices.DeleteFunc(all, func(name string) bool { return name == v.Self })
	if len(all) == 0 {
		return "", false
	}
	return all[a.next.Load()%uint64(len(all))], true
}

// readsWell tells whether what this daemon knows is as new as a reader has it.
func (a *asker) readsWell() bool {
	return a.state.configFresh.Within(staleAfter) && a.state.serversFresh.Within(staleAfter)
}

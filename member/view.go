// Package member implements best-effort membership of daemons, based on SWIM: members
// are found through seeds, the platform's VM list and gossip, and checked by direct and
// indirect probes with suspicion and incarnations. No correctness depends on it: a
// wrong view may cause some over-granting or an extra hop, but never a duplicate
// request.
package member

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// State is the believed state of a member.
type State uint8

// The states. At equal incarnations the larger value takes precedence.
const (
	Alive State = iota
	Suspect
	Leaving // alive, owns no pools, finishes its work
	Dead
)

// String returns the state's name as used in logs and metrics.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Member is the record of one daemon.
type Member struct {
	Name             string
	Incarnation      uint64 // raised by a restart or a refutation
	Address          string // IP:port of the peer listener
	Region           string
	AvailabilityZone string
	State            State
	// ProtocolVersion is the newest version of the peer protocol that it supports.
	ProtocolVersion uint32
	// Weight is the VM's capacity for work beside serving its own callers, in
	// thousandths; 0 means 1000.
	Weight uint32
}

// defaultWeight is the Weight of an ordinary VM, in thousandths.
const defaultWeight = 1000

// weightExponent is the power of the weight by which pools are distributed. It favors
// strong VMs: with 66 VMs of weight 19 and 6 of 800, an exponent of 1 would place 1 in
// 5 pools on a weak VM, an exponent of 2 places 1 in 150 there.
const weightExponent = 2

// rendezvousWeight is the member's weight for rendezvous hashing; 1 for an ordinary VM.
func (m Member) rendezvousWeight() float64 {
	w := m.Weight
	if w == 0 {
		w = defaultWeight
	}
	return math.Pow(float64(w)/defaultWeight, weightExponent)
}

// Score is the member's score for a key in weighted rendezvous hashing. The member with
// the highest score gets the key, so a change of one member moves only keys from or to
// that member.
func (m Member) Score(key string) float64 {
	u := (float64(hash(key, m.Name)) + 0.5) / (1 << 64)
	return -m.rendezvousWeight() / math.Log(u)
}

// View is an immutable snapshot of the members, sorted by name.
type View struct {
	Self    string
	Members []Member
	// ownerCache caches the owner of each pool that was looked up. Computing it takes a
	// logarithm per member, and all pools are looked up several times a second.
	ownerCache *sync.Map
}

// ownerKey identifies a pool in a region.
type ownerKey struct{ pool, region string }

// CurrentView holds the current view. It is safe for concurrent use; Load is one atomic
// read.
type CurrentView struct{ p atomic.Pointer[View] }

// Load returns the current view; never nil.
func (l *CurrentView) Load() *View {
	if v := l.p.Load(); v != nil {
		return v
	}
	return &View{}
}

// Store replaces the current view.
func (l *CurrentView) Store(v *View) { l.p.Store(v) }

// NewView returns a view of the members. It sorts and keeps the slice.
func NewView(self string, members []Member) *View {
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return &View{Self: self, Members: members, ownerCache: &sync.Map{}}
}

// Get returns the member with the given name.
func (v *View) Get(name string) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].Name >= name })
	if i < len(v.Members) && v.Members[i].Name == name {
		return v.Members[i], true
	}
	return Member{}, false
}

// countInState returns the number of members in a state.
func (v *View) countInState(s State) int {
	n := 0
	for _, m := range v.Members {
		if m.State == s {
			n++
		}
	}
	return n
}

// Owner returns the member that owns the pool, by weighted rendezvous hashing over the
// region's alive and suspect members. A change of one member moves only pools from or
// to that member. It returns false if the region has no such member.
func (v *View) Owner(pool, region string) (Member, bool) {
	if v.ownerCache == nil {
		return v.computeOwner(pool, region)
	}
	key := ownerKey{pool, region}
	if cached, ok := v.ownerCache.Load(key); ok {
		m := cached.(Member)
		return m, m.Name != ""
	}
	m, found := v.computeOwner(pool, region)
	v.ownerCache.Store(key, m)
	return m, found
}

func (v *View) computeOwner(pool, region string) (Member, bool) {
	var best Member
	var bestScore float64
	found := false
	for _, m := range v.Members {
		if m.Region != region || !m.mayOwn() {
			continue
		}
		if score := m.Score(pool); !found || outranks(m, score, best, bestScore) {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

// mayOwn reports whether the member may own pools of its region.
func (m Member) mayOwn() bool { return m.State == Alive || m.State == Suspect }

// outranks reports whether a member with a score owns a pool rather than another.
func outranks(m Member, score float64, other Member, otherScore float64) bool {
	return score > otherScore || (score == otherScore && m.Name < other.Name)
}

func hash(pool, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

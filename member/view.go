// Package member is soft membership: which daemons live, found from seeds, the
// platform's VM list and gossip, checked by random and indirect probes with
// suspicion and incarnations. Nothing's correctness rests on it: a wrong view
// costs a little over-granting or a detour, never a doubled request.
package member

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a member.
type State uint8

// The states, in order of precedence at equal incarnation.
const (
	Alive State = iota
	Suspect
	Leaving // alive, takes no pools, finishes its work
	Dead
)

// String returns the state's name in logs and counters.
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

// Member is one daemon's record.
type Member struct {
	Name             string
	Incarnation      uint64 // a restarted or refuting member has a larger one
	Address          string // IP:port of its peer listener
	Region           string
	AvailabilityZone string
	State            State
	// ProtocolVersion is the newest peer protocol that it speaks.
	ProtocolVersion uint32
	// Weight is how much the VM can take on beside its callers, in
	// thousandths; 0 means 1000.
	Weight uint32
}

// defaultWeight is the Weight of an ordinary VM.
const defaultWeight = 1000

// weightExponent is the power of the weight by which pools go to strong VMs. With
// 66 VMs of weight 19 beside 6 of 800, a plain share would leave a pool on a
// weak one in 1 of 5 cases; squared it is 1 of 150.
const weightExponent = 2

// rendezvousWeight is a member's share in what members divide among themselves.
func (m Member) rendezvousWeight() float64 {
	w := m.Weight
	if w == 0 {
		w = defaultWeight
	}
	return math.Pow(float64(w)/defaultWeight, weightExponent)
}

// Score is the member's rendezvous weight for a key: the highest one takes it,
// so a change of one member moves only what it had or gets.
func (m Member) Score(key string) float64 {
	u := (float64(hash(key, m.Name)) + 0.5) / (1 << 64)
	return -m.rendezvousWeight() / math.Log(u)
}

// View is an immutable picture of the members, sorted by name.
type View struct {
	Self    string
	Members []Member
	// ownerCache remembers the owner of each pool that was asked for: to find it takes a
	// logarithm for each member, and all pools are asked for several times a second.
	ownerCache *sync.Map
}

// ownerKey is a pool of a region.
type ownerKey struct{ pool, region string }

// CurrentView holds the view in force. Load is one atomic read.
type CurrentView struct{ p atomic.Pointer[View] }

// Load returns the view in force; never nil.
func (l *CurrentView) Load() *View {
	if v := l.p.Load(); v != nil {
		return v
	}
	return &View{}
}

// Store puts a view in force.
func (l *CurrentView) Store(v *View) { l.p.Store(v) }

// NewView returns a view of the members, which it sorts.
func NewView(self string, members []Member) *View {
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return &View{Self: self, Members: members, ownerCache: &sync.Map{}}
}

// Get returns a member by name.
func (v *View) Get(name string) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].Name >= name })
	if i < len(v.Members) && v.Members[i].Name == name {
		return v.Members[i], true
	}
	return Member{}, false
}

// countInState returns how many members are in a state.
func (v *View) countInState(s State) int {
	n := 0
	for _, m := range v.Members {
		if m.State == s {
			n++
		}
	}
	return n
}

// Owner returns the member that owns the pool: rendezvous hashing over the
// region's members that are alive or only suspected, so that a change of one
// member moves only that member's pools. False where the region has none.
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
		if m.Region != region || (m.State != Alive && m.State != Suspect) {
			continue
		}
		score := m.Score(pool)
		if !found || score > bestScore || (score == bestScore && m.Name < best.Name) {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

func hash(pool, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

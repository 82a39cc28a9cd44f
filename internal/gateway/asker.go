package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
)

const (
	// daemonsPerReader is how many daemons share one that reads the store. Each
	// call of the store is priced; with one reader for nine daemons in place
	// of nine, a simulated quiet day made 285 calls in place of 1,098. With
	// more of them a reader on a small VM would be busy telling them of each
	// server that changes: the list of 112 is 6.6 KB.
	daemonsPerReader = 24
	// askHold is how long a reader may wait for something newer. It answers
	// after each of its reads, which come more often.
	askHold = 1500 * time.Millisecond
	// askTimeout is for the way there and back.
	askTimeout = 400 * time.Millisecond
	// askIdle is how often a reader looks whether it can't read any more.
	askIdle = 500 * time.Millisecond
	// askAgain is how soon after a failure another reader is asked.
	askAgain = 200 * time.Millisecond
	// substitutesLeast is how many daemons beside the readers are asked when
	// those can't read, at the least. The store may turn a third of the VMs away.
	substitutesLeast = 2
	// staleAfter is the age of a reader's own reads from which it is not waited
	// for: reads come each 1.1 and 1.3 s, give or take a tenth.
	staleAfter = 1600 * time.Millisecond
	// newsAfter is by how much a reader's proof must be newer than the asker's
	// to be told at once.
	newsAfter = 500 * time.Millisecond
)

// asker gets from a daemon that reads the store what this one does not read
// itself.
//
// An answer proves as much as a read of our own: the reader tells how old its
// last linearizable read was when it made the answer, and how long before that
// it had been asked. So the proof is at least as new as the asking, plus what
// the reader held it, less that age, however long ask and answer were under
// way. Clocks need not agree, only run at one speed.
type asker struct {
	state     *state
	transport peer.Transport
	views     *member.Live
	// next is how many readers have been passed over because they could not
	// read, or did not answer.
	next atomic.Uint64
	// heard is the mark of the last answer, on the clock of proofs.
	heard atomic.Int64
}

func newAsker(s *state, t peer.Transport, views *member.Live) *asker {
	a := &asker{state: s, transport: t, views: views}
	t.Handle(peer.TypeSync, a.answer)
	return a
}

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

// reading tells whether this daemon reads the store: also while it knows of
// no other that does.
func (a *asker) reading() bool {
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

// Run asks until ctx ends.
func (a *asker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		name, ok := a.pick()
		if !ok {
			wait.For(ctx, askIdle)
			continue
		}
		if err := a.ask(ctx, name); err != nil {
			a.state.log.WithField("of", name).WithError(err).Debug("Reader did not answer.")
			a.next.Add(1)
			wait.For(ctx, askAgain)
		}
	}
}

func (a *asker) ask(ctx context.Context, name string) error {
	s := a.state
	s.mu.Lock()
	q := &wire.SyncAsk{
		ConfigRevision: uint64(s.config.Version), ServersRevision: uint64(s.serversRevision), HoldMs: uint32(askHold.Milliseconds()),
		Changes: true, ConfigAgeMs: ageMs(s.configFresh.Age()), ServersAgeMs: ageMs(s.serversFresh.Age()),
	}
	s.mu.Unlock()
	payload, err := proto.Marshal(q)
	if err != nil {
		return err
	}
	configMark, serversMark := s.configFresh.Mark(), s.serversFresh.Mark()
	ctx, cancel := context.WithTimeout(ctx, askHold+askTimeout)
	defer cancel()
	reply, err := a.transport.Call(ctx, peer.Name(name), peer.TypeSync, payload)
	if err != nil {
		return err
	}
	var m wire.SyncAnswer
	if err := proto.Unmarshal(reply, &m); err != nil {
		return err
	}
	s.latency.ask.Observe(s.serversFresh.Mark() - serversMark - milliseconds(m.HeldMs))
	a.take(&m, configMark, serversMark)
	a.heard.Store(int64(s.configFresh.Mark()))
	if isStale(&m) {
		a.next.Add(1)
		if m.HeldMs < float64(askAgain.Milliseconds()) {
			wait.For(ctx, askAgain) // all may be like that
		}
	}
	return nil
}

// isStale tells whether a reader could not read lately.
func isStale(m *wire.SyncAnswer) bool {
	limit := float64(staleAfter.Milliseconds())
	return m.ConfigAgeMs < 0 || m.ServersAgeMs < 0 || m.ConfigAgeMs > limit || m.ServersAgeMs > limit
}

// isNews tells whether an answer proves much more than the asker knew.
func isNews(m *wire.SyncAnswer, q *wire.SyncAsk) bool {
	margin := float64(newsAfter.Milliseconds())
	newer := func(told, known float64) bool { return told >= 0 && (known < 0 || told+margin < known) }
	return newer(m.ConfigAgeMs, q.ConfigAgeMs) || newer(m.ServersAgeMs, q.ServersAgeMs)
}

// take puts in force what is newer, and takes the proofs. The marks are of the
// asking.
func (a *asker) take(m *wire.SyncAnswer, configMark, serversMark time.Duration) {
	s := a.state
	known := true
	if len(m.Config) > 0 {
		known = s.offerConfig(objectstore.Object{
			Kind: s.platform.ConfigurationKind, Name: s.platform.ConfigurationName,
			Version: objectstore.Version(m.ConfigRevision), Value: m.Config,
		})
	}
	if known && m.ConfigAgeMs >= 0 {
		s.configFresh.Prove(madeBy(s.configFresh, configMark, m) - milliseconds(m.ConfigAgeMs))
	}
	as := objectstore.Version(m.ServersRevision)
	if m.ServersTold {
		s.hearServers(objectstore.Version(m.ServersBase), discovery.Delta{Changed: serversOf(m.Servers), Removed: m.Removed}, as)
	}
	if !m.ServersTold && m.ServersAgeMs >= 0 {
		s.confirmServers(as)
	}
	if m.ServersAgeMs >= 0 {
		s.serversFresh.Prove(madeBy(s.serversFresh, serversMark, m) - milliseconds(m.ServersAgeMs))
	}
	s.proved() // for those that ask this daemon
}

// madeBy is the latest moment by which the answer to an ask of mark is known to
// have been made. It is not in the future, whatever the answer says: a proof
// would never grow old.
func madeBy(f *revision.Freshness, mark time.Duration, m *wire.SyncAnswer) time.Duration {
	return min(mark+milliseconds(m.HeldMs), f.Mark())
}

// answer tells another daemon what is newer here than what it has, as soon as
// something is or a read has proved it again.
func (a *asker) answer(ctx context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	var q wire.SyncAsk
	if err := proto.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	came := a.state.serversFresh.Mark()
	m, changed := a.newer(&q, came)
	if len(m.Config) > 0 || m.ServersTold || q.Changes && (isStale(m) || isNews(m, &q)) {
		return proto.Marshal(m)
	}
	limit := time.NewTimer(a.holdFor(&q, m))
	defer limit.Stop()
	select {
	case <-changed:
	case <-limit.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	m, _ = a.newer(&q, came)
	return proto.Marshal(m)
}

// holdFor is how long an ask may wait for something newer: until the reads here
// are stale, so that the asker goes to another reader then.
func (a *asker) holdFor(q *wire.SyncAsk, m *wire.SyncAnswer) time.Duration {
	hold := min(time.Duration(q.HoldMs)*time.Millisecond, askHold)
	if !q.Changes {
		return hold
	}
	return min(hold, staleAfter+time.Millisecond-milliseconds(max(m.ConfigAgeMs, m.ServersAgeMs)))
}

// newer makes the answer as of now, with the channel that is closed at the
// next change. The ask came at a mark of the clock of proofs.
func (a *asker) newer(q *wire.SyncAsk, came time.Duration) (*wire.SyncAnswer, <-chan struct{}) {
	s := a.state
	held := s.serversFresh.Mark() - came // before the ages are taken
	m := &wire.SyncAnswer{HeldMs: float64(held) / float64(time.Millisecond), ConfigAgeMs: ageMs(s.configFresh.Age()), ServersAgeMs: ageMs(s.serversFresh.Age())}
	s.mu.Lock()
	defer s.mu.Unlock()
	if uint64(s.config.Version) > q.ConfigRevision {
		m.ConfigRevision, m.Config = uint64(s.config.Version), s.config.Value
	}
	m.ServersRevision = uint64(s.serversRevision)
	if m.ServersRevision > q.ServersRevision {
		m.ServersTold = true
		if d, ok := s.changes.After(discovery.Revision(q.ServersRevision)); ok && q.ServersRevision > 0 && q.Changes {
			m.ServersBase, m.Servers, m.Removed = q.ServersRevision, serversToWire(d.Changed), d.Removed
		} else {
			m.Servers = serversToWire(s.directory.Listed())
		}
	}
	return m, s.changed
}

func serversToWire(servers []discovery.Server) []*wire.Server {
	out := make([]*wire.Server, 0, len(servers))
	for _, x := range servers {
		out = append(out, &wire.Server{
			Id: x.ID, Service: x.Service, Address: x.Address, AvailabilityZone: x.AvailabilityZone,
			Slots: uint32(x.Slots), Leaving: x.Leaving,
		})
	}
	return out
}

func serversOf(servers []*wire.Server) []discovery.Server {
	out := make([]discovery.Server, 0, len(servers))
	for _, x := range servers {
		out = append(out, discovery.Server{
			ID: x.Id, Service: x.Service, Address: x.Address, AvailabilityZone: x.AvailabilityZone,
			Slots: int(x.Slots), Leaving: x.Leaving,
		})
	}
	return out
}

func ageMs(age time.Duration, ok bool) float64 {
	if !ok {
		return -1
	}
	return float64(age) / float64(time.Millisecond)
}

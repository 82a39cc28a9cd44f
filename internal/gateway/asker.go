package gateway

import (
	"context"
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
	// askHold is how long a reader may wait for something newer. It answers
	// after each of its reads, which come more often.
	askHold = 1500 * time.Millisecond
	// askTimeout is for the way there and back.
	askTimeout = 400 * time.Millisecond
	// askIdle is how often a reader looks whether it can't read any more.
	askIdle = 500 * time.Millisecond
	// askAgain is how soon after a failure another reader is asked.
	askAgain = 200 * time.Millisecond
	// staleAfter is the age of a reader's own reads from which it is not waited
	// for: reads come each 1.1 and 1.3 s, give or take a tenth.
	staleAfter = 1600 * time.Millisecond
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
	views     *member.CurrentView
	// joined is closed when views can be gone by.
	joined <-chan struct{}
	// next is how many readers have been passed over because they could not
	// read, or did not answer.
	next atomic.Uint64
	// heard is the mark of the last answer, on the clock of proofs.
	heard atomic.Int64
}

func newAsker(s *state, t peer.Transport, views *member.CurrentView, joined <-chan struct{}) *asker {
	a := &asker{state: s, transport: t, views: views, joined: joined}
	t.Handle(peer.TypeSync, a.answer)
	return a
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
		RolloutsRevision: uint64(s.rollouts.revision),
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
	if m.RolloutsTold { // before the servers that they concern
		s.hearRollouts(rolloutsOf(m.Rollouts), m.Unfit, objectstore.Version(m.RolloutsRevision))
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

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
	// pollHold is how long a reader may wait for something newer. It answers
	// after each of its reads, which come more often.
	pollHold = 1500 * time.Millisecond
	// pollRoundTrip is for the way there and back.
	pollRoundTrip = 400 * time.Millisecond
	// readerCheckInterval is how often a reader looks whether it can't read any more.
	readerCheckInterval = 500 * time.Millisecond
	// pollRetryDelay is how soon after a failure another reader is asked.
	pollRetryDelay = 200 * time.Millisecond
	// staleAfter is the age of a reader's own reads from which it is not waited
	// for: reads come each 1.1 and 1.3 s, give or take a tenth.
	staleAfter = 1600 * time.Millisecond
)

// peerSync gets from a daemon that reads the store what this one does not read
// itself.
//
// An answer proves as much as a read of our own: the reader tells how old its
// last linearizable read was when it made the answer, and how long before that
// it had been asked. So the proof is at least as new as the asking, plus what
// the reader held it, less that age, however long ask and answer were under
// way. Clocks need not agree, only run at one speed.
type peerSync struct {
	state     *state
	transport peer.Transport
	views     *member.CurrentView
	// joined is closed when views can be gone by.
	joined <-chan struct{}
	// next is how many readers have been passed over because they could not
	// read, or did not answer.
	next atomic.Uint64
	// lastAnswer is the mark of the last answer, on the clock of proofs.
	lastAnswer atomic.Int64
}

func newPeerSync(s *state, t peer.Transport, views *member.CurrentView, joined <-chan struct{}) *peerSync {
	p := &peerSync{state: s, transport: t, views: views, joined: joined}
	t.Handle(peer.TypeSync, p.handlePoll)
	return p
}

// Run asks until ctx ends.
func (p *peerSync) Run(ctx context.Context) {
	for ctx.Err() == nil {
		name, ok := p.pickReader()
		if !ok {
			wait.For(ctx, readerCheckInterval)
			continue
		}
		if err := p.poll(ctx, name); err != nil {
			p.state.log.WithField("of", name).WithError(err).Debug("Reader did not answer.")
			p.next.Add(1)
			wait.For(ctx, pollRetryDelay)
		}
	}
}

func (p *peerSync) poll(ctx context.Context, name string) error {
	s := p.state
	s.mu.Lock()
	req := &wire.SyncAsk{
		ConfigRevision: uint64(s.config.Version), ServersRevision: uint64(s.serversRevision), HoldMs: uint32(pollHold.Milliseconds()),
		Changes: true, ConfigAgeMs: ageMs(s.configFreshness.Age()), ServersAgeMs: ageMs(s.serversFreshness.Age()),
		RolloutsRevision: uint64(s.rollouts.revision),
	}
	s.mu.Unlock()
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	configMark, serversMark := s.configFreshness.Mark(), s.serversFreshness.Mark()
	ctx, cancel := context.WithTimeout(ctx, pollHold+pollRoundTrip)
	defer cancel()
	reply, err := p.transport.Call(ctx, peer.Name(name), peer.TypeSync, payload)
	if err != nil {
		return err
	}
	var resp wire.SyncAnswer
	if err := proto.Unmarshal(reply, &resp); err != nil {
		return err
	}
	s.latency.peerPoll.Observe(s.serversFreshness.Mark() - serversMark - milliseconds(resp.HeldMs))
	p.apply(&resp, configMark, serversMark)
	p.lastAnswer.Store(int64(s.configFreshness.Mark()))
	if isStale(&resp) {
		p.next.Add(1)
		if resp.HeldMs < float64(pollRetryDelay.Milliseconds()) {
			wait.For(ctx, pollRetryDelay) // all may be like that
		}
	}
	return nil
}

// isStale tells whether a reader could not read lately.
func isStale(resp *wire.SyncAnswer) bool {
	limit := float64(staleAfter.Milliseconds())
	return resp.ConfigAgeMs < 0 || resp.ServersAgeMs < 0 || resp.ConfigAgeMs > limit || resp.ServersAgeMs > limit
}

// apply puts in force what is newer, and takes the proofs. The marks are of the
// asking.
func (p *peerSync) apply(resp *wire.SyncAnswer, configMark, serversMark time.Duration) {
	s := p.state
	current := true
	if len(resp.Config) > 0 {
		current = s.applyConfig(objectstore.Object{
			Kind: s.platform.ConfigurationKind, Name: s.platform.ConfigurationName,
			Version: objectstore.Version(resp.ConfigRevision), Value: resp.Config,
		})
	}
	if current && resp.ConfigAgeMs >= 0 {
		s.configFreshness.Prove(earliestAnswer(s.configFreshness, configMark, resp) - milliseconds(resp.ConfigAgeMs))
	}
	if resp.RolloutsTold { // before the servers that they concern
		s.applyPeerRollouts(rolloutsFromWire(resp.Rollouts), resp.Unfit, objectstore.Version(resp.RolloutsRevision))
	}
	rev := objectstore.Version(resp.ServersRevision)
	if resp.ServersTold {
		s.applyPeerServers(objectstore.Version(resp.ServersBase), discovery.Delta{Changed: serversFromWire(resp.Servers), Removed: resp.Removed}, rev)
	}
	if !resp.ServersTold && resp.ServersAgeMs >= 0 {
		s.confirmServers(rev)
	}
	if resp.ServersAgeMs >= 0 {
		s.serversFreshness.Prove(earliestAnswer(s.serversFreshness, serversMark, resp) - milliseconds(resp.ServersAgeMs))
	}
	s.notifyChanged() // for those that ask this daemon
}

// earliestAnswer is the latest moment by which the answer to an ask of mark is known to
// have been made. It is not in the future, whatever the answer says: a proof
// would never grow old.
func earliestAnswer(f *revision.Freshness, mark time.Duration, resp *wire.SyncAnswer) time.Duration {
	return min(mark+milliseconds(resp.HeldMs), f.Mark())
}

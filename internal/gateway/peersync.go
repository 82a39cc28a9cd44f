package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
)

const (
	// pollHold is the longest that a reader may hold a poll while it has nothing
	// newer. Usually it answers sooner, after its next read of the store.
	pollHold = 1500 * time.Millisecond
	// pollRoundTrip is added to pollHold for the network round trip.
	pollRoundTrip = 400 * time.Millisecond
	// readerCheckInterval is how often a reader checks whether its own reads have
	// become stale.
	readerCheckInterval = 500 * time.Millisecond
	// pollRetryDelay is the delay before another reader is polled after a failure.
	pollRetryDelay = 200 * time.Millisecond
	// startPollTimeout is how long a reader that has just started looks for a daemon that knows
	// more than the store, which may have been restored from a backup.
	startPollTimeout = 5 * time.Second
	// staleAfter is the age of a reader's last read of the store from which it is
	// skipped. Readers read every 1.1 s (servers) and 1.3 s (configuration), with 10 %
	// jitter.
	staleAfter = 1600 * time.Millisecond
)

// peerSync copies the state from a daemon that reads the store (a reader) by long
// polls, and answers the polls of other daemons.
//
// An answer proves freshness just as a read by this daemon would. It carries the age
// of the reader's last linearizable read at the time of the answer, and for how long
// the reader held the poll. The proof therefore counts from the time at which the
// poll was sent, plus the hold time, minus that age, however long the messages took.
// Clocks need not agree; they only have to run at the same rate.
type peerSync struct {
	state       *state
	transport   peer.Transport
	currentView *member.CurrentView
	// joined is closed when the membership view can be relied on.
	joined <-chan struct{}
	// next selects the reader to poll. It grows each time that a reader is skipped
	// because it did not answer or its reads were stale.
	next atomic.Uint64
	// heard is what other daemons have told of servers, by their names.
	heard *simplelru.LRU[string, heardServers]
	// source is the daemon whose answer was applied last.
	source    string
	startedAt time.Time
	// lastAnswer is the time of the last answer by the clock of configFreshness; 0: none.
	lastAnswer atomic.Int64
}

func newPeerSync(s *state, t peer.Transport, view *member.CurrentView, joined <-chan struct{}) *peerSync {
	p := &peerSync{state: s, transport: t, currentView: view, joined: joined, startedAt: time.Now(), heard: newHeardServers()}
	t.Handle(peer.TypeSync, p.handlePoll)
	return p
}

// Run polls readers until ctx ends.
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

// poll polls a reader once and applies its answer.
func (p *peerSync) poll(ctx context.Context, name string) error {
	s := p.state
	payload, err := proto.Marshal(p.newPoll(name))
	if err != nil {
		return err
	}
	configMark, serversMark := s.configFreshness.Now(), s.serversFreshness.Now()
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
	s.latency.peerPoll.Observe(s.serversFreshness.Now() - serversMark - milliseconds(resp.HeldMs))
	p.logSource(name)
	p.apply(name, &resp, configMark, serversMark)
	p.lastAnswer.Store(int64(s.configFreshness.Now()))
	if isStale(&resp) {
		p.next.Add(1)
		if resp.HeldMs < float64(pollRetryDelay.Milliseconds()) {
			wait.For(ctx, pollRetryDelay) // all readers may be stale
		}
	}
	return nil
}

// newPoll returns the question to a reader, by what this daemon knows.
func (p *peerSync) newPoll(name string) *wire.SyncAsk {
	s := p.state
	s.mu.Lock()
	defer s.mu.Unlock()
	req := &wire.SyncAsk{
		ConfigRevision: uint64(s.config.Version), ServersRevision: uint64(s.serversRevision), HoldMs: uint32(pollHold.Milliseconds()),
		Changes: true, ConfigAgeMs: ageMs(s.configFreshness.Age()), ServersAgeMs: ageMs(s.serversFreshness.Age()),
		RolloutsRevision: uint64(s.rollouts.revision), ConfigVersion: s.configVersion(),
	}
	p.askServers(name, req)
	return req
}

// logSource logs that another reader's answers are applied from now on.
func (p *peerSync) logSource(name string) {
	if name != p.source {
		p.state.log.WithFields(logrus.Fields{"of": name, "before": p.source}).Info("Another reader answers.")
		p.source = name
	}
}

// isStale reports whether the reader's last reads are too old, or it has none.
func isStale(resp *wire.SyncAnswer) bool {
	limit := float64(staleAfter.Milliseconds())
	return resp.ConfigAgeMs < 0 || resp.ServersAgeMs < 0 || resp.ConfigAgeMs > limit || resp.ServersAgeMs > limit
}

// apply applies what is newer in the answer and records its proofs of freshness.
// configMark and serversMark were taken when the poll was sent.
func (p *peerSync) apply(from string, resp *wire.SyncAnswer, configMark, serversMark time.Duration) {
	s := p.state
	current := true
	if len(resp.Config) > 0 {
		current = s.applyConfig(objectstore.Object{
			Kind: s.platform.ConfigurationKind, Name: s.platform.ConfigurationName,
			Version: objectstore.Version(resp.ConfigRevision), Value: resp.Config,
		})
	}
	if current && resp.ConfigAgeMs >= 0 {
		s.configFreshness.Confirm(earliestAnswer(s.configFreshness, configMark, resp) - milliseconds(resp.ConfigAgeMs))
	}
	if resp.RolloutsTold { // before the servers: which versions may serve depends on the rollouts
		s.applyPeerRollouts(rolloutsFromWire(resp.Rollouts), resp.Unfit, objectstore.Version(resp.RolloutsRevision))
	}
	rev := objectstore.Version(resp.ServersRevision)
	known := true
	if resp.ServersTold {
		known = p.applyServers(from, resp)
	}
	if !resp.ServersTold && resp.ServersAgeMs >= 0 {
		s.confirmServers(rev)
	}
	if known && resp.ServersAgeMs >= 0 {
		s.proveServers(earliestAnswer(s.serversFreshness, serversMark, resp) - milliseconds(resp.ServersAgeMs))
	}
	s.notifyChanged() // wakes the polls that this daemon holds
}

// earliestAnswer returns the earliest time at which the answer can have been made:
// the poll's time plus the hold time. It is capped at the present, since a proof
// that lies in the future would never become stale.
func earliestAnswer(f *revision.Freshness, mark time.Duration, resp *wire.SyncAnswer) time.Duration {
	return min(mark+milliseconds(resp.HeldMs), f.Now())
}

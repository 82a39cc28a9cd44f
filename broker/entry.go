package broker

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Timeouts and intervals of the entry.
const (
	// helloTimeout is the timeout of the first hello. It doubles with each
	// unanswered one, up to maxHelloDoublings times.
	helloTimeout      = 400 * time.Millisecond
	maxHelloDoublings = 3
	// helloRetryInterval is the delay before a failed hello is retried.
	helloRetryInterval = 100 * time.Millisecond
	// idleTimeout is how long a session without requests stays open.
	idleTimeout = 10 * time.Second
	// briefMaxAge is how long a pool's brief is valid, unless its owner has
	// announced a longer interval.
	briefMaxAge = 2 * time.Second
	// noDeadline is sent as the deadline of a tier that has none.
	noDeadline = 10 * time.Minute
	// retryAfterMean is the mean of the retry-after time of refusals; the jitter is
	// half of it either way.
	retryAfterMean = time.Second
)

// Entry implements Broker for one daemon. Messages to a pool that this daemon owns
// are not encoded.
type Entry struct {
	cfg      poolhost.Config
	host     *poolhost.Host
	id       pool.EntryID
	counters counters

	pushbacks pushbacks

	mu    sync.Mutex // held while a link is added
	links atomic.Pointer[map[string]*link]
	// sessions is the number of open sessions.
	sessions atomic.Int64
	view     *member.View // at the last Tick, which is not called concurrently
}

var _ Broker = (*Entry)(nil)

// New returns the broker of the host's daemon. If the host has a transport, New
// must be called before the transport starts.
func New(host *poolhost.Host) *Entry {
	cfg := host.Config()
	e := &Entry{
		cfg: cfg, host: host,
		id:       poolwire.NewEntryID(cfg.Self, rand.Uint64()),
		counters: newCounters(cfg.Metrics),
	}
	e.links.Store(&map[string]*link{})
	if cfg.Transport != nil {
		cfg.Transport.Handle(peer.TypePoolCommands, e.onCommands)
		cfg.Transport.OnDown(e.onDown)
	}
	return e
}

// Run calls Tick periodically until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	t := time.NewTicker(poolhost.TickInterval)
	defer t.Stop()
	for {
		e.Tick()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Tick does the periodic work: it expires requests, sends heartbeats, and reopens
// sessions or moves them to a new owner. It must not be called concurrently.
func (e *Entry) Tick() {
	e.openOwnerSessions()
	for _, l := range *e.links.Load() {
		if !l.idle.Load() {
			l.box.Post(tickMessage{})
		}
	}
}

// Acquire implements Broker.
func (e *Entry) Acquire(ctx context.Context, d Demand) (Grant, error) {
	w := e.startAcquire(d)
	select {
	case r := <-w.done:
		if r.err != nil {
			return nil, r.err
		}
		return r.grant, nil
	case <-ctx.Done():
		w.withdraw()
		return nil, ctx.Err()
	}
}

// startAcquire passes a request to the link of its pool. The result comes through
// the waiter.
func (e *Entry) startAcquire(d Demand) *waiter {
	w := newWaiter(d)
	l := e.chooseLink(d)
	if l == nil {
		w.done <- result{err: e.refuse(request.ReasonNoServer, "no pool serves the request in this region")}
		return w
	}
	w.link.Store(l)
	l.box.Post(acquireMessage{w})
	return w
}

// refuse counts and returns a refusal of a request that was never dispatched.
func (e *Entry) refuse(reason request.Reason, format string, args ...any) *request.Refusal {
	e.counters.refusalCounter(reason).Add(1)
	hint := retryAfterMean/2 + rand.N(retryAfterMean)
	return request.Refuse(reason, format, args...).WithRetryAfter(hint)
}

// link returns the link of a pool, and creates it at the first call.
func (e *Entry) link(p string) *link {
	if l := (*e.links.Load())[p]; l != nil {
		return l
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	old := *e.links.Load()
	if l := old[p]; l != nil {
		return l
	}
	next := make(map[string]*link, len(old)+1)
	for name, l := range old {
		next[name] = l
	}
	l := newLink(e, p)
	next[p] = l
	e.links.Store(&next)
	return l
}

// openOwnerSessions opens a session with each new owner of a pool in this region,
// even if this entry has no requests there: a new owner starts to grant once all
// live entries have reported their running requests.
func (e *Entry) openOwnerSessions() {
	snapshot := e.cfg.Snapshot.Load()
	if e.cfg.View == nil || snapshot == nil {
		return
	}
	view, before := e.cfg.View.Load(), e.view
	if view == before {
		return
	}
	e.view = view
	for name, p := range snapshot.Pools {
		if p.Region == e.cfg.Region && ownerName(before, p) != ownerName(view, p) {
			e.link(name).box.Post(openMessage{})
		}
	}
}

func ownerName(v *member.View, p *workspace.ResolvedPool) string {
	if v == nil {
		return ""
	}
	m, _ := v.Owner(p.Name, p.Region)
	return m.Name
}

// onCommands handles an owner's batch from the transport.
func (e *Entry) onCommands(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	b, err := poolwire.DecodeCommands(payload, e.id)
	if err != nil {
		e.counters.badMessages.Add(1)
		return nil, err
	}
	l := (*e.links.Load())[b.Pool]
	if l == nil {
		// No session of this entry. Adding a link would let a faulty peer fill the
		// memory with pool names.
		e.counters.badMessages.Add(1)
		return nil, nil
	}
	l.box.Post(commandsMessage{b, remoteOwner{e.cfg.Transport, from}})
	return nil, nil
}

func (e *Entry) onDown(name peer.Name) {
	for _, l := range *e.links.Load() {
		l.box.Post(peerDownMessage{string(name)})
	}
}

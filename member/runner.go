package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
)

// DefaultVMListInterval is the mean interval between reads of the VM list. Each read
// counts against the platform's rate limit, and gossip finds most members.
const DefaultVMListInterval = time.Minute

// vmListTimeout bounds one read of the VM list.
const vmListTimeout = 5 * time.Second

// RunnerOptions configure a Runner. Transport and View are required.
type RunnerOptions struct {
	Transport peer.Transport
	// View receives each new view.
	View     *CurrentView
	Registry *metrics.Registry
	// VMAddresses returns the peer addresses (IP:port) from the platform's VM list; nil
	// if there is no list. An error is logged and otherwise ignored.
	VMAddresses    func(context.Context) ([]string, error)
	VMListInterval time.Duration
}

// Runner runs a Machine in real time over a transport. It is safe for concurrent use.
type Runner struct {
	opts   RunnerOptions
	log    *logrus.Entry
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu           sync.Mutex
	machine      *Machine
	closed       bool
	joinedClosed bool // the channel joined is closed
	joined       chan struct{}
}

// NewRunner returns a Runner and registers its message handlers. It must be called
// before the transport starts, and Start afterwards.
func NewRunner(cfg Config, opts RunnerOptions) (*Runner, error) {
	m, err := NewMachine(cfg, time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return nil, err
	}
	if opts.VMListInterval == 0 {
		opts.VMListInterval = DefaultVMListInterval
	}
	r := &Runner{opts: opts, log: logs.For("member"), machine: m, joined: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.opts.View.Store(m.View())
	for _, t := range []peer.Type{peer.TypeMemberProbe, peer.TypeMemberIndirectProbe, peer.TypeMemberAck, peer.TypeMemberGossip} {
		opts.Transport.Handle(t, func(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
			r.handleEvent(func(now time.Time) []Outgoing { return m.Receive(now, from, t, payload) })
			return nil, nil
		})
	}
	opts.Transport.OnDown(func(name peer.Name) {
		r.handleEvent(func(now time.Time) []Outgoing { return m.PeerDown(now, name) })
	})
	if opts.Registry != nil {
		r.registerMetrics(opts.Registry)
	}
	return r, nil
}

// Start starts probing and the search for members.
func (r *Runner) Start() {
	r.group.Go(r.tickLoop)
	if r.opts.VMAddresses != nil {
		r.group.Go(r.vmListLoop)
	} else {
		r.handleEvent(func(time.Time) []Outgoing { r.machine.SetCandidates(nil); return nil })
	}
}

// Joined returns a channel that is closed when the view is usable: this daemon has
// received a view, has nobody to ask, or has got no answer within JoinTimeout.
func (r *Runner) Joined() <-chan struct{} { return r.joined }

// Leave announces that this daemon no longer owns pools. The daemon remains a member.
// Call it at the start of a shutdown, e.g. on SIGTERM.
func (r *Runner) Leave() { r.handleEvent(r.machine.Leave) }

// Close announces the shutdown and stops. The transport must still be running.
func (r *Runner) Close() {
	r.cancel()
	r.group.Wait()
	r.handleEvent(r.machine.Shutdown)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// handleEvent passes an event to the machine, publishes a changed view and sends the
// resulting messages. A message that can't be sent is handled as a PeerDown event.
func (r *Runner) handleEvent(event func(time.Time) []Outgoing) {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	outgoing := event(time.Now())
	if v := r.machine.View(); v != nil {
		r.publishView(v)
	}
	if !r.joinedClosed && r.machine.Joined() {
		r.joinedClosed = true
		close(r.joined)
	}
	r.mu.Unlock()
	for _, o := range outgoing {
		if err := r.opts.Transport.Send(o.To, o.Type, o.Payload); err != nil {
			r.handleEvent(func(now time.Time) []Outgoing { return r.machine.PeerDown(now, o.To) })
		}
	}
}

// publishView logs the changes, gives new addresses to the transport and stores the
// view.
func (r *Runner) publishView(v *View) {
	old := r.opts.View.Load()
	for _, m := range v.Members {
		prev, known := old.Get(m.Name)
		if m.Name != v.Self && (!known || prev.Address != m.Address) {
			r.opts.Transport.SetAddress(peer.Name(m.Name), m.Address)
		}
		if !known || prev.State != m.State || prev.Incarnation != m.Incarnation {
			r.log.WithField("of", m.Name).WithField("incarnation", m.Incarnation).Info("member " + m.State.String())
		}
	}
	v.inheritOwners(old)
	r.opts.View.Store(v)
}

func (r *Runner) tickLoop() {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
			r.handleEvent(r.machine.Tick)
		}
	}
}

// vmListLoop reads the VM list at the start and then at jittered intervals.
func (r *Runner) vmListLoop() {
	for {
		ctx, cancel := context.WithTimeout(r.ctx, vmListTimeout)
		addresses, err := r.opts.VMAddresses(ctx)
		cancel()
		switch {
		case err == nil:
			r.handleEvent(func(time.Time) []Outgoing { r.machine.SetCandidates(addresses); return nil })
		case r.ctx.Err() == nil:
			r.log.WithError(err).Warn("VM list could not be read")
		}
		wait := r.opts.VMListInterval/2 + rand.N(r.opts.VMListInterval)
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// registerMetrics exports the machine's counters and the number of members by state.
func (r *Runner) registerMetrics(reg *metrics.Registry) {
	const group = "member"
	for name, read := range map[string]func(Stats) uint64{
		"probes":           func(s Stats) uint64 { return s.Probes },
		"probe_failures":   func(s Stats) uint64 { return s.ProbeFailures },
		"indirect_saved":   func(s Stats) uint64 { return s.IndirectAcks },
		"suspicions":       func(s Stats) uint64 { return s.Suspicions },
		"refutations":      func(s Stats) uint64 { return s.Refutations },
		"deaths":           func(s Stats) uint64 { return s.Deaths },
		"own_pauses":       func(s Stats) uint64 { return s.LocalPauses },
		"syncs":            func(s Stats) uint64 { return s.Syncs },
		"sync_differences": func(s Stats) uint64 { return s.SyncDifferences },
		"bad_messages":     func(s Stats) uint64 { return s.InvalidMessages },
	} {
		reg.Gauge(group, name, func() any { return read(r.stats()) })
	}
	for _, s := range []State{Alive, Suspect, Leaving, Dead} {
		reg.Gauge(group, "members_"+s.String(), func() any { return r.opts.View.Load().countInState(s) })
	}
}

func (r *Runner) stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Stats()
}

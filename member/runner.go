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

// DefaultHintInterval is how often the VM list is asked for addresses: every
// call counts against the platform's rates, and gossip finds most members.
const DefaultHintInterval = time.Minute

// hintTimeout bounds one look at the VM list.
const hintTimeout = 5 * time.Second

// RunnerOptions connect membership with the rest of the daemon.
type RunnerOptions struct {
	Transport peer.Transport
	// Live receives every new view.
	Live     *Live
	Registry *metrics.Registry
	// Hints returns the peer addresses (IP:port) that the platform's VM list
	// gives; nil: none. An error is logged and changes nothing.
	Hints        func(context.Context) ([]string, error)
	HintInterval time.Duration
}

// Runner runs a Machine in real time over a transport. It is safe for
// concurrent use.
type Runner struct {
	opts   RunnerOptions
	log    *logrus.Entry
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu      sync.Mutex
	machine *Machine
	stopped bool
	met     bool // joined is closed
	joined  chan struct{}
}

// NewRunner registers membership's handlers; call it before the transport
// starts, and Start after it did.
func NewRunner(cfg Config, opts RunnerOptions) (*Runner, error) {
	m, err := NewMachine(cfg, time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return nil, err
	}
	if opts.HintInterval == 0 {
		opts.HintInterval = DefaultHintInterval
	}
	r := &Runner{opts: opts, log: logs.For("member"), machine: m, joined: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.opts.Live.Store(m.View())
	for _, t := range []peer.Type{peer.TypeMemberProbe, peer.TypeMemberAsk, peer.TypeMemberAck, peer.TypeMemberGossip} {
		opts.Transport.Handle(t, func(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
			r.do(func(now time.Time) []Out { return m.Receive(now, from, t, payload) })
			return nil, nil
		})
	}
	opts.Transport.OnDown(func(of peer.Name) {
		r.do(func(now time.Time) []Out { return m.PeerDown(now, of) })
	})
	if opts.Registry != nil {
		r.publish(opts.Registry)
	}
	return r, nil
}

// Start begins to probe and to look for members.
func (r *Runner) Start() {
	r.group.Go(r.tickLoop)
	if r.opts.Hints != nil {
		r.group.Go(r.hintLoop)
	} else {
		r.do(func(time.Time) []Out { r.machine.Hints(nil); return nil })
	}
}

// Joined is closed when the view can be gone by: this daemon has met others,
// or has found after JoinPatience at the latest that nobody answers.
func (r *Runner) Joined() <-chan struct{} { return r.joined }

// Leave announces that this daemon takes no more pools; it goes on taking
// part. Call it at the first sign of leaving, e.g. SIGTERM.
func (r *Runner) Leave() { r.do(r.machine.Leave) }

// Close says goodbye and stops. The transport must still run.
func (r *Runner) Close() {
	r.cancel()
	r.group.Wait()
	r.do(r.machine.Goodbye)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
}

// do feeds one event to the machine, publishes the view and sends what comes
// out. A message that can't be sent is an event of its own.
func (r *Runner) do(event func(time.Time) []Out) {
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return
	}
	outs := event(time.Now())
	if v := r.machine.View(); v != nil {
		r.show(v)
	}
	if !r.met && r.machine.Joined() {
		r.met = true
		close(r.joined)
	}
	r.mu.Unlock()
	for _, o := range outs {
		if err := r.opts.Transport.Send(o.To, o.Type, o.Payload); err != nil {
			r.do(func(now time.Time) []Out { return r.machine.PeerDown(now, o.To) })
		}
	}
}

// show logs what changed, tells the transport new addresses and puts the view
// in force.
func (r *Runner) show(v *View) {
	old := r.opts.Live.Load()
	for _, m := range v.Members {
		was, known := old.Get(m.Name)
		if m.Name != v.Self && (!known || was.Address != m.Address) {
			r.opts.Transport.SetAddress(peer.Name(m.Name), m.Address)
		}
		if !known || was.State != m.State || was.Incarnation != m.Incarnation {
			r.log.WithField("of", m.Name).WithField("incarnation", m.Incarnation).Info("member " + m.State.String())
		}
	}
	r.opts.Live.Store(v)
}

func (r *Runner) tickLoop() {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
			r.do(r.machine.Tick)
		}
	}
}

// hintLoop asks the VM list at the start and then at jittered intervals.
func (r *Runner) hintLoop() {
	for {
		ctx, cancel := context.WithTimeout(r.ctx, hintTimeout)
		addresses, err := r.opts.Hints(ctx)
		cancel()
		switch {
		case err == nil:
			r.do(func(time.Time) []Out { r.machine.Hints(addresses); return nil })
		case r.ctx.Err() == nil:
			r.log.WithError(err).Warn("no hints from the VM list")
		}
		wait := r.opts.HintInterval/2 + rand.N(r.opts.HintInterval)
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// publish shows the machine's counters and the members by state.
func (r *Runner) publish(reg *metrics.Registry) {
	const group = "member"
	for name, read := range map[string]func(Stats) uint64{
		"probes":           func(s Stats) uint64 { return s.Probes },
		"probe_failures":   func(s Stats) uint64 { return s.ProbeFailures },
		"indirect_saved":   func(s Stats) uint64 { return s.IndirectSaved },
		"suspicions":       func(s Stats) uint64 { return s.Suspicions },
		"refutations":      func(s Stats) uint64 { return s.Refutations },
		"deaths":           func(s Stats) uint64 { return s.Deaths },
		"own_pauses":       func(s Stats) uint64 { return s.OwnPauses },
		"syncs":            func(s Stats) uint64 { return s.Syncs },
		"sync_differences": func(s Stats) uint64 { return s.SyncDifferences },
		"bad_messages":     func(s Stats) uint64 { return s.BadMessages },
	} {
		reg.Gauge(group, name, func() any { return read(r.stats()) })
	}
	for _, s := range []State{Alive, Suspect, Leaving, Dead} {
		reg.Gauge(group, "members_"+s.String(), func() any { return r.opts.Live.Load().count(s) })
	}
}

func (r *Runner) stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Stats()
}

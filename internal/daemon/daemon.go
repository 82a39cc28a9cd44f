// Package daemon assembles lycheekeeld: it reads the settings, connects the
// components, starts them in order, and shuts them down gracefully so that no
// request is cut off.
package daemon

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/engine/httpengine"
	"github.com/lycheekeel/lycheekeel/internal/admin"
	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/internal/entry"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore/httpobjectstore"
	"github.com/lycheekeel/lycheekeel/placement"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/service/httpservice"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Daemon is one instance of lycheekeeld. Run may be called once.
type Daemon struct {
	settings Settings
	log      *logrus.Entry
	metrics  *metrics.Registry

	listener, adminListener net.Listener

	snapshot  *workspace.CurrentSnapshot
	view      *member.CurrentView
	platform  objectstore.Platform
	transport *peer.TCP
	members   *member.Runner
	vms       *leavingVMs
	ledger    *claim.ObjectLedger
	syncer    *revision.Syncer
	findings  func() workspace.Findings
	host      *poolhost.Host
	broker    *broker.Entry
	placement *placement.Controller // nil if disabled by the settings
	entry     *entry.Entry
	admin     *admin.Server

	state          atomic.Uint32 // holds a state
	drainRequested chan struct{} // closed by Drain
	drainOnce      sync.Once
}

// state is the lifecycle state of a daemon.
type state uint32

// The lifecycle states, in order.
const (
	stateStarting state = iota
	stateServing
	stateDraining
	stateStopped
)

func (s state) String() string {
	return [...]string{"starting", "serving", "draining", "stopped"}[s]
}

// New returns a daemon with its listeners open, so that an address in use is
// reported before any component runs.
func New(s Settings) (*Daemon, error) {
	d := &Daemon{
		settings:       s,
		log:            logs.For("daemon"),
		metrics:        metrics.New(),
		snapshot:       &workspace.CurrentSnapshot{},
		view:           &member.CurrentView{},
		drainRequested: make(chan struct{}),
	}
	if limit := s.Limits.collectorLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	if err := d.wire(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	var err error
	if d.listener, err = callermem.Listen(context.Background(), d.settings.Listen); err != nil {
		return errors.Wrap(err, "listen")
	}
	if d.adminListener, err = net.Listen("tcp", d.settings.Admin); err != nil {
		return errors.Wrap(err, "listen for admin")
	}
	keys := make([][]byte, len(d.settings.Peer.ClusterKeys))
	for i, k := range d.settings.Peer.ClusterKeys {
		keys[i] = []byte(k)
	}
	d.transport, err = peer.NewTCP(peer.Options{
		Name: peer.Name(d.settings.Name), Listen: d.settings.Peer.Listen, Keys: keys, Registry: d.metrics,
	})
	return errors.Wrap(err, "listen for peers")
}

func (d *Daemon) closeListeners() {
	for _, ln := range []net.Listener{d.listener, d.adminListener} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// wire creates the components. Those that register handlers with the transport
// must be created before it starts.
func (d *Daemon) wire() error {
	s := &d.settings
	d.platform = httpobjectstore.New(httpobjectstore.Options{
		Addr: s.Platform.Address, CallTimeout: milliseconds(s.Platform.TimeoutMs), Metrics: d.metrics,
	})
	if err := d.wireMembers(); err != nil {
		return err
	}
	publisher := revision.NewPublisher(d.snapshot, d.metrics)
	d.findings = publisher.Findings
	d.syncer = revision.New(publisher.Attach(revision.Options{
		API: d.platform, Transport: d.transport, View: d.view.Load, Metrics: d.metrics,
	}))
	engines := httpengine.NewDialer(s.engineSettings())
	d.vms = newLeavingVMs(d.platform, func() bool { return len(d.host.Summaries()) > 0 })
	d.host = poolhost.New(poolhost.Config{
		Self: s.Name, Region: s.Region, Snapshot: d.snapshot, View: d.view, Transport: d.transport,
		Engines: engines, IsLeaving: d.vms.isLeaving, Metrics: d.metrics,
	})
	d.broker = broker.New(d.host)
	d.ledger = claim.NewLedger(d.platform, claim.Options{Metrics: d.metrics})
	d.entry = entry.New(entry.Deps{
		Config: d.snapshot, Broker: d.broker, Ledger: d.ledger, Engines: engines,
		Services: httpservice.NewDialer(s.serviceSettings()), Metrics: d.metrics, Region: s.Region,
	}, s.entryLimits())
	if s.Placement {
		var err error
		if d.placement, err = d.newPlacement(engines); err != nil {
			return err
		}
	}
	d.transport.Handle(peer.TypeStatus, d.handleStatus)
	d.admin = admin.New(d, d.metrics)
	return nil
}

// components returns the background tasks, which run beside the servers until
// their context ends.
func (d *Daemon) components() []func(context.Context) {
	components := []func(context.Context){d.syncer.Run, d.host.Run, d.broker.Run, d.vms.Run, d.collectClaims}
	if d.placement != nil {
		components = append(components, d.runPlacement)
	}
	return components
}

// Address returns the address on which the daemon listens for callers.
func (d *Daemon) Address() net.Addr { return d.listener.Addr() }

// AdminAddress returns the address of the admin port.
func (d *Daemon) AdminAddress() net.Addr { return d.adminListener.Addr() }

// Configured returns a channel that is closed once a configuration is active.
func (d *Daemon) Configured() <-chan struct{} { return d.syncer.Ready() }

// Drain starts a graceful shutdown, as the end of Run's context does. It returns
// immediately.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

// Run serves until ctx ends or Drain is called, and then until all requests have
// ended. It returns an error if a component failed, or if requests were cut off
// because they took longer than the settings allow.
func (d *Daemon) Run(ctx context.Context) error {
	componentsCtx, stopComponents := context.WithCancel(context.Background())
	defer stopComponents()
	serverErrs := make(chan error, 2) // one from each server
	var components conc.WaitGroup
	d.transport.Start()
	d.members.Start()
	for _, run := range d.components() {
		components.Go(func() { run(componentsCtx) })
	}
	components.Go(func() { serverErrs <- d.admin.Serve(d.adminListener) })
	components.Go(func() { serverErrs <- d.entry.Serve(d.listener) })
	d.log.WithField("listen", d.Address()).WithField("admin", d.AdminAddress()).Info("started")
	err := d.awaitStop(ctx, serverErrs)
	if err == nil {
		err = d.gracefulStop()
	}
	d.closeLedger()
	stopComponents()
	d.closeAdmin()
	components.Wait()
	d.members.Close()
	d.transport.Close()
	d.state.Store(uint32(stateStopped))
	d.log.Info("stopped")
	return err
}

// awaitStop waits until the daemon is told to stop or a server fails. Meanwhile
// it marks the daemon ready once it is configured and has joined the cluster.
func (d *Daemon) awaitStop(ctx context.Context, serverErrs <-chan error) error {
	configured, joined := d.Configured(), d.members.Joined()
	for {
		if configured == nil && joined == nil && d.state.CompareAndSwap(uint32(stateStarting), uint32(stateServing)) {
			d.log.Info("ready")
		}
		select {
		case <-configured:
			configured = nil
			d.log.Info("configuration active")
		case <-joined:
			joined = nil
			d.log.WithField("members", len(d.view.Load().Members)).Info("joined the cluster")
		case err := <-serverErrs:
			d.closeListeners()
			return errors.WithMessage(err, "server failed")
		case <-ctx.Done():
			return nil
		case <-d.drainRequested:
			return nil
		}
	}
}

// Package demo runs a small complete system in one process: stand-ins for the
// platform, for three model engines of two hardware generations and for a plain
// service, all behind loopback HTTP, and one real daemon, configured by the
// shipped examples.
package demo

import (
	"context"
	"crypto/rand"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/daemon"
	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	platformstandin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	service "github.com/lycheekeel/lycheekeel/internal/standin/service"
	"github.com/lycheekeel/lycheekeel/objectstore/httpobjectstore"
)

// region and zone are the region and the availability zone of all servers and the
// daemon.
const (
	region = "demo"
	zone   = "demo-hall"
)

// anyPort is a loopback address whose port is selected by the operating system.
const anyPort = "127.0.0.1:0"

// drainMs is the drain time in milliseconds. It is short because there is no load
// balancer to wait for.
const drainMs = 1

// Options are the addresses that the daemon listens at, as IP:port.
type Options struct {
	Listen string
	Admin  string
}

// Info describes how to use a demonstration that is ready.
type Info struct {
	Listen string `json:"listen"`
	Admin  string `json:"admin"`
	// Keys maps workspaces to their bearer keys.
	Keys   map[string]string `json:"keys"`
	Models []string          `json:"models"`
	// Services are the plain services that can be called.
	Services []string `json:"services"`
	// Engines has one address of each engine stand-in. The path /standin/runs
	// at that address returns the engine's run log.
	Engines []string `json:"engines"`
}

// engineSpec describes an engine stand-in.
type engineSpec struct {
	name       string
	generation string
	options    engine.Options
}

// engineSpecs returns the engines of the demonstration, which have two hardware
// generations and three speeds.
func engineSpecs() []engineSpec {
	return []engineSpec{
		{"engine-1", "gen2", engine.Options{Slots: 48, StepMs: 4, PrefillPerSecond: 30_000}},
		{"engine-2", "gen2", engine.Options{Slots: 48, StepMs: 6, PrefillPerSecond: 24_000}},
		{"engine-3", "gen1", engine.Options{Slots: 24, StepMs: 12, PrefillPerSecond: 8_000}},
	}
}

// Run runs a demonstration until ctx ends. It calls ready once, when the daemon can
// serve requests.
func Run(ctx context.Context, o Options, ready func(Info)) error {
	standins, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	s := &standinSet{ctx: standins, group: &group}
	defer s.stop()
	defer group.Wait()
	defer stop()
	if err := s.start(); err != nil {
		return err
	}
	info, err := s.configure(ctx)
	if err != nil {
		return err
	}
	d, err := daemon.New(s.settings(o))
	if err != nil {
		return err
	}
	info.Listen, info.Admin = d.Address().String(), d.AdminAddress().String()
	go func() {
		select {
		case <-d.Configured():
			ready(info)
		case <-standins.Done():
		}
	}()
	return d.Run(ctx)
}

// standinSet is the set of running stand-ins.
type standinSet struct {
	ctx      context.Context
	group    *conc.WaitGroup
	platform string
	engines  []*engine.Engine
	service  *service.Service
}

func (s *standinSet) start() error {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return errors.Wrap(err, "listen for the platform stand-in")
	}
	s.platform = ln.Addr().String()
	p := platformstandin.New(platformstandin.Options{})
	s.serve(func() error { return p.Serve(s.ctx, ln) })
	for _, m := range engineSpecs() {
		e, err := engine.New(m.options)
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	s.service = service.New(service.Options{})
	return nil
}

// engineAddress opens an additional address of an engine. Each pool uses a
// different address of the engine, as if it were several servers.
func (s *standinSet) engineAddress(i int) (string, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.Wrap(err, "listen for an engine stand-in")
	}
	s.serve(func() error { return engine.ServeEngine(s.ctx, ln, s.engines[i]) })
	return ln.Addr().String(), nil
}

// serviceAddress opens an additional address of the plain service.
func (s *standinSet) serviceAddress() (string, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.Wrap(err, "listen for the service stand-in")
	}
	s.serve(func() error { return s.service.Serve(s.ctx, ln) })
	return ln.Addr().String(), nil
}

// serve runs a stand-in until the demonstration ends. It ignores errors: the
// daemon's log reports a failed stand-in as an unreachable server.
func (s *standinSet) serve(run func() error) {
	s.group.Go(func() { _ = run() })
}

// stop closes the engines. Their listeners are closed when the context ends.
func (s *standinSet) stop() {
	for _, e := range s.engines {
		e.Close()
	}
}

func (s *standinSet) configure(ctx context.Context) (Info, error) {
	client := httpobjectstore.New(httpobjectstore.Options{Addr: s.platform})
	c, err := newConfiguration(s)
	if err != nil {
		return Info{}, err
	}
	for _, o := range c.objects {
		if _, err := client.Create(ctx, o.Kind, o.Name, o.Value); err != nil {
			return Info{}, errors.Wrapf(err, "create %s %q", o.Kind, o.Name)
		}
	}
	return Info{Keys: c.keys, Models: c.modelNames(), Services: c.services, Engines: c.engines}, nil
}

func (s *standinSet) settings(o Options) daemon.Settings {
	return daemon.Settings{
		Name: "demo", Region: region, AvailabilityZone: zone, Listen: o.Listen, Admin: o.Admin,
		Peer:     daemon.PeerSettings{Listen: anyPort, Address: anyPort, ClusterKeys: []string{rand.Text()}},
		Platform: daemon.PlatformSettings{Address: s.platform},
		Timeouts: daemon.TimeoutSettings{DrainMs: drainMs},
	}
}

package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/allowance"
	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

const (
	// proofEvery is how often the configuration is read although the watch
	// tells of no change. Three reads may fail before a proof is too old.
	proofEvery = 1300 * time.Millisecond
	// listEvery is how often the servers are listed in spite of the watch: a
	// watch may keep silent over a server that leaves, and a leaving server
	// may get no new request after 2 s.
	listEvery = 1100 * time.Millisecond
	// retryEvery is how soon a failed call is tried again; each is priced.
	retryEvery = 250 * time.Millisecond
	// watchWait is how long the store may hold a watch.
	watchWait = 20 * time.Second
)

// syncer keeps the configuration and the directory of servers in step with
// the store, and makes the snapshot of the pools from both.
type syncer struct {
	platform Platform
	region   string
	routes   *route.Live
	pools    *workspace.Live
	fresh    *revision.Freshness
	ledger   *allowance.Ledger
	servers  func(map[string]bool) // told the addresses that are in use
	log      *logrus.Entry

	usable atomic.Pointer[map[string]bool] // by server ID

	mu        sync.Mutex
	directory *discovery.Directory

	configRead sync.Once
	ready      chan struct{} // closed once a configuration is in force
}

func newSyncer(p Platform, region string, routes *route.Live, pools *workspace.Live, ledger *allowance.Ledger, servers func(map[string]bool)) *syncer {
	return &syncer{
		platform: p, region: region, routes: routes, pools: pools, ledger: ledger, servers: servers,
		fresh: revision.NewFreshness(), log: logs.For("sync"),
		directory: discovery.NewDirectory(), ready: make(chan struct{}),
	}
}

// kindLoop is how one kind of objects is kept in step.
type kindLoop struct {
	kind  objectstore.Kind
	every time.Duration
	// replace takes a list, which was read after mark; change takes one event.
	replace func(l objectstore.List, mark time.Duration)
	change  func(e objectstore.Event)
	failed  func()
}

// loops returns how each kind of objects is kept in step.
func (s *syncer) loops() []kindLoop {
	return []kindLoop{
		{s.platform.ConfigurationKind, proofEvery, s.replaceConfiguration, s.changeConfiguration, func() {}},
		{s.platform.ServersKind, listEvery, s.replaceServers, s.changeServer, s.storeAway},
	}
}

// list reads the kind at its interval until ctx ends, and starts a watch from
// each list that finds none running.
func (s *syncer) list(ctx context.Context, k kindLoop) {
	watching := make(chan struct{}, 1)
	away := time.Time{}
	for ctx.Err() == nil {
		mark := s.fresh.Mark()
		l, err := s.platform.Store.List(ctx, k.kind, "")
		wait := k.every - k.every/10 + rand.N(k.every/5)
		if err != nil {
			k.failed()
			wait = retryEvery/2 + rand.N(retryEvery)
			if away.IsZero() {
				away = time.Now()
				s.log.WithField("kind", k.kind).WithError(err).Warn("Store lost.")
			}
		} else {
			if !away.IsZero() {
				s.log.WithField("kind", k.kind).WithField("away_ms", time.Since(away).Milliseconds()).Info("Store regained.")
				away = time.Time{}
			}
			k.replace(l, mark)
			select {
			case watching <- struct{}{}:
				go func() {
					defer func() { <-watching }()
					s.watch(ctx, k, l.Version)
				}()
			default:
			}
		}
		sleep(ctx, wait)
	}
}

// watch follows the changes after a version until a call fails. The next list
// starts another watch.
func (s *syncer) watch(ctx context.Context, k kindLoop, after objectstore.Version) {
	for ctx.Err() == nil {
		events, next, err := s.platform.Store.Watch(ctx, []objectstore.Kind{k.kind}, after, watchWait)
		if err != nil {
			s.log.WithField("kind", k.kind).WithError(err).Debug("Watch ended.")
			return
		}
		for _, e := range events {
			k.change(e)
		}
		after = next
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// replaceConfiguration takes a linearizable read of the configuration, which
// proves what is in force.
func (s *syncer) replaceConfiguration(l objectstore.List, mark time.Duration) {
	for _, o := range l.Objects {
		if o.Name == s.platform.ConfigurationName && s.offer(o) {
			s.fresh.Prove(mark)
		}
	}
}

func (s *syncer) changeConfiguration(e objectstore.Event) {
	if !e.Deleted && e.Object.Name == s.platform.ConfigurationName {
		s.offer(e.Object)
	}
}

// offer puts a configuration in force unless it is older, and reports whether
// the one in force is at least as new.
func (s *syncer) offer(o objectstore.Object) bool {
	table, err := s.compile(o)
	if err != nil {
		s.log.WithField("version", o.Version).WithError(err).Error("Configuration can't be used.")
		return false
	}
	if s.routes.Offer(table) {
		s.log.WithField("version", table.Version).WithField("revision", o.Version).Info("Configuration in force.")
		s.ledger.Prepare(table.Workspaces)
		s.rebuild()
		s.configRead.Do(func() { close(s.ready) })
	}
	return true
}

func (s *syncer) compile(o objectstore.Object) (*route.Table, error) {
	d, err := s.platform.DecodeConfiguration(o.Value)
	if err != nil {
		return nil, err
	}
	if old := s.routes.Load(); old != nil && d.Version <= old.Version {
		return old, nil
	}
	table, findings := route.Compile(string(o.Kind)+"/"+o.Name, d)
	return table, findings.Err()
}

func (s *syncer) replaceServers(l objectstore.List, _ time.Duration) {
	listed := make([]discovery.Server, 0, len(l.Objects))
	for _, o := range l.Objects {
		if server, err := s.platform.DecodeServer(o.Name, o.Value); err != nil {
			s.log.WithError(err).Warn("Server's entry can't be used.")
		} else {
			listed = append(listed, server)
		}
	}
	s.update(func(now time.Time) bool {
		changed := s.directory.Replace(now, listed)
		return s.directory.Expire(now) || changed
	})
}

func (s *syncer) changeServer(e objectstore.Event) {
	if e.Deleted {
		s.update(func(now time.Time) bool { return s.directory.Removed(now, e.Object.Name) })
		return
	}
	server, err := s.platform.DecodeServer(e.Object.Name, e.Object.Value)
	if err != nil {
		s.log.WithError(err).Warn("Server's entry can't be used.")
		return
	}
	s.update(func(now time.Time) bool { return s.directory.Put(now, server) })
}

func (s *syncer) storeAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.StoreAway()
}

// update changes the directory, and the pools where that matters.
func (s *syncer) update(change func(now time.Time) bool) {
	s.mu.Lock()
	changed := change(time.Now())
	s.mu.Unlock()
	if changed {
		s.rebuild()
	}
}

// rebuild makes the pools' snapshot from the table and the directory.
func (s *syncer) rebuild() {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.routes.Load()
	if table == nil {
		return
	}
	servers := s.directory.Servers()
	s.pools.Store(buildPools(table, servers, s.region))
	inUse := make(map[string]bool, len(servers))
	usable := make(map[string]bool, len(servers))
	for _, server := range servers {
		inUse[server.Address] = true
		usable[server.ID] = !server.Leaving
	}
	s.servers(inUse)
	s.usable.Store(&usable)
}

package gateway

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/quota"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// state is what a daemon knows of the configuration and of the servers, from
// the store or from a daemon that reads it, and what it puts in force.
type state struct {
	platform       Platform
	region         string
	routes         *route.Live
	pools          *workspace.Live
	ledger         *quota.Limiter
	onIncarnations func(map[string]string) // told which incarnation is at each address
	log            *logrus.Entry
	latency        latencies

	// configFreshness and serversFreshness know how old the newest linearizable reads
	// are.
	configFreshness, serversFreshness *revision.Freshness
	usable                            atomic.Pointer[map[string]serverUse] // by server ID
	// rolloutsFreshness is the same for the rollouts.
	rolloutsFreshness *revision.Freshness
	invalidEntries    *expvar.Int
	// storeLostAt is the mark since which this daemon's own reads of the
	// configuration fail; 0: the last one was answered.
	storeLostAt atomic.Int64

	mu        sync.Mutex
	directory *discovery.Directory
	// config is the newest configuration's object; serversRevision is as of
	// when the directory is.
	config          objectstore.Object
	serversRevision objectstore.Version
	changes         discovery.ChangeLog
	rollouts        rolloutState
	poolRemovals    poolRemovals
	// canaryServers returns the servers of a new version that get canaries now.
	canaryServers  func(service string, stable int, servers []discovery.Server) []discovery.Server
	invalidReasons map[string]string // why, by the entry's name, as last logged
	incarnations   map[string]string // by server ID, as last logged
	changed        chan struct{}     // closed at each change
	rebuildPacer   pacer             // of making the pools anew
	rebuildPending bool              // a change waits for that
}

// serverUse is what a server may be used for.
type serverUse struct {
	leaving bool
	arm     rollout.Arm
}

// accepts tells whether the server may get a request, which is a canary or not.
func (u serverUse) accepts(canary bool) bool {
	return !u.leaving && (u.arm == rollout.Stable || canary && u.arm == rollout.Canary)
}

func newState(p Platform, region string, routes *route.Live, pools *workspace.Live, ledger *quota.Limiter, onIncarnations func(map[string]string), m *metrics.Registry) *state {
	return &state{
		platform: p, region: region, routes: routes, pools: pools, ledger: ledger, onIncarnations: onIncarnations,
		configFreshness: revision.NewFreshness(), serversFreshness: revision.NewFreshness(), rolloutsFreshness: revision.NewFreshness(),
		log: logs.For("sync"), rollouts: newRolloutState(false),
		directory: discovery.NewDirectory(), changed: make(chan struct{}), latency: newLatencies(m),
		invalidEntries: m.Counter("servers", "invalid_entries"), invalidReasons: map[string]string{},
	}
}

// partitioner returns how the servers are divided now; the mutex is held.
func (s *state) partitioner() partitioner {
	if !s.rollouts.enabled {
		return partitioner{}
	}
	return partitioner{arm: s.rollouts.arm, canaryServers: s.canaryServers}
}

// applyConfig puts a configuration in force unless it is older, and reports
// whether the one in force is at least as new.
func (s *state) applyConfig(o objectstore.Object) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Version <= s.config.Version {
		return true
	}
	d, err := s.platform.DecodeConfiguration(o.Value)
	if err != nil {
		s.log.WithField("revision", o.Version).WithError(err).Error("Configuration can't be read.")
		return false
	}
	table, findings := route.Compile(string(o.Kind)+"/"+o.Name, d)
	if findings != nil {
		s.log.WithField("version", d.Version).WithError(findings).Error("Configuration can't be used.")
		return false
	}
	s.config = o
	if s.routes.Update(table) {
		s.log.WithField("version", table.Version).WithField("revision", o.Version).Info("Configuration in force.")
		s.ledger.AddWorkspaces(table.Workspaces)
		s.rebuildLocked()
	}
	s.notifyChangedLocked()
	return true
}

// applyServerList takes all servers as of a revision.
func (s *state) replaceServers(listed []discovery.Server, rev objectstore.Version) {
	s.updateServers(rev, func(now time.Time) bool {
		changed := s.directory.Replace(now, listed)
		return s.directory.ExpireMissing(now) || changed
	})
}

// applyPeerServers takes what a reader tells: the whole list, or what has changed
// since a revision, if that is still the one that is known here. Then what is
// known is as of the reader's revision, though it may have brought nothing new.
//
// What goes wrong where the revision stays behind then: a reader notices a
// change later than this daemon did, by its own read, so the reader's revision
// is the newer one, and it tells the same at each ask, without end.
func (s *state) applyPeerServers(base objectstore.Version, d discovery.Delta, rev objectstore.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := d.Changed
	if base > 0 {
		if s.serversRevision != base {
			return // read from the store meanwhile; the next answer fits
		}
		listed = d.Apply(s.directory.Listed())
	}
	s.updateServersLocked(rev, func(now time.Time) bool {
		changed := s.directory.Replace(now, listed)
		return s.directory.ExpireMissing(now) || changed
	})
	s.serversRevision = max(s.serversRevision, rev)
}

// putServer takes one changed entry, removeServer the removal of one.
func (s *state) putServer(server discovery.Server, rev objectstore.Version) {
	s.updateServers(rev, func(now time.Time) bool { return s.directory.Put(now, server) })
}

// removeServer takes the removal of an entry at a revision.
func (s *state) removeServer(id string, removedAt, rev objectstore.Version) {
	s.updateServers(rev, func(now time.Time) bool { return s.directory.Delete(now, id, discovery.Revision(removedAt)) })
}

// updateServers changes the directory unless what it has is newer, and the
// pools where that matters.
func (s *state) updateServers(rev objectstore.Version, change func(now time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateServersLocked(rev, change)
}

// updateServersLocked is updateServers with the mutex held.
func (s *state) updateServersLocked(rev objectstore.Version, change func(now time.Time) bool) {
	if rev < s.serversRevision {
		return
	}
	if !change(time.Now()) {
		return
	}
	s.serversRevision = rev
	s.changes.Record(s.directory.Listed(), discovery.Revision(rev))
	s.scheduleRebuildLocked()
	s.notifyChangedLocked()
}

// scheduleRebuildLocked makes the pools anew now or, where that takes too much of the time, a little
// later for all changes that have come by then; the mutex is held.
func (s *state) scheduleRebuildLocked() {
	delay := s.rebuildPacer.delay(time.Now())
	if delay == 0 || s.directory.Len() < pacingMinServers {
		s.rebuildLocked()
		return
	}
	if s.rebuildPending {
		return
	}
	s.rebuildPending = true
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.rebuildPending {
			s.rebuildLocked()
		}
	})
}

// expireServers removes what is still missing when the grace has passed, and
// returns when that will be; false: nothing is missing.
func (s *state) expireServers() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directory.ExpireMissing(time.Now()) {
		s.rebuildLocked()
		s.notifyChangedLocked()
	}
	return s.directory.ExpiresIn(time.Now())
}

// confirmServers takes it that a daemon that reads the store has the servers as
// of a revision; where that is ours, the store has the same ones.
func (s *state) confirmServers(rev objectstore.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev == s.serversRevision {
		s.directory.Confirm(time.Now())
	}
}

// storeUnavailable tells that the servers could not be listed.
func (s *state) storeUnavailable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.StoreUnavailable()
}

// rebuildLocked makes the pools' snapshot from the table and the directory; it is
// called with the mutex held.
func (s *state) rebuildLocked() {
	s.rebuildPending = false
	table := s.routes.Load()
	if table == nil {
		return
	}
	start := time.Now()
	defer func() { s.rebuildPacer.done(start, time.Now()) }()
	servers := s.directory.Servers()
	s.logServers(servers)
	s.logInvalid(s.directory.Invalid())
	s.rollouts.assignArms(servers, s.serversRevision)
	prev, next := s.pools.Load(), buildPools(table, servers, s.region, s.partitioner())
	s.pools.Store(next)
	s.poolRemovals.update(prev, next)
	byAddress := make(map[string]string, len(servers))
	usable := make(map[string]serverUse, len(servers))
	for _, server := range servers {
		byAddress[server.Address] += server.ID + "/" + server.Incarnation() + " "
		usable[server.ID] = serverUse{leaving: server.Leaving, arm: s.rollouts.arm(server)}
	}
	s.onIncarnations(byAddress)
	s.usable.Store(&usable)
}

// storeLostLongerThan tells whether this daemon's own reads of the store have failed for so
// long, though it may be told by others what is in force.
func (s *state) storeLostLongerThan(limit time.Duration) bool { return s.storeLostFor() > limit }

// storeLostFor is for how long the store has not answered this daemon's own reads; 0:
// it does.
func (s *state) storeLostFor() time.Duration {
	lostAt := s.storeLostAt.Load()
	if lostAt == 0 {
		return 0
	}
	return s.configFreshness.Mark() - time.Duration(lostAt)
}

// notifyChanged tells those that wait that a read has proved what is in force.
func (s *state) notifyChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyChangedLocked()
}

// notifyChangedLocked wakes those that wait for a change; the mutex is held.
func (s *state) notifyChangedLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

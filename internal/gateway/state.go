package gateway

import (
	"expvar"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/streamversion"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/quota"
	"github.com/lycheekeel/lycheekeel/revision"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// state is a daemon's copy of the configuration, the servers and the rollouts, from
// the store or from a reader, and what it derives from them.
//
// A proof of freshness is an answered linearizable read, by this daemon or by a
// reader; it counts from when the read was sent (see revision.Freshness).
type state struct {
	platform       Platform
	region         string
	routes         *route.Live
	snapshot       *workspace.CurrentSnapshot
	limiter        *quota.Limiter
	onIncarnations func(map[string]string)          // called with the incarnation at each address
	onTable        func(before, after *route.Table) // called when a table takes effect; nil: not called
	log            *logrus.Entry
	latency        latencies

	// configFreshness and serversFreshness hold the age of the newest proof.
	configFreshness, serversFreshness *revision.Freshness
	usable                            atomic.Pointer[map[string]serverUse] // by server ID
	// rolloutsFreshness is the same for the rollouts.
	rolloutsFreshness *revision.Freshness
	invalidEntries    *expvar.Int
	// wantedProof is the time, by the clock of serversFreshness, from after which a proof is
	// waited for, and readServers gets a value when it is.
	wantedProof atomic.Int64
	readServers chan struct{}
	// storeLostAt is the time, by the clock of configFreshness, since which the store
	// has not answered this daemon itself; 0: it answers.
	storeLostAt atomic.Int64

	mu        sync.Mutex
	directory *discovery.Directory
	// config is the newest configuration's object; serversRevision is the
	// revision of the directory.
	config          objectstore.Object
	serversRevision objectstore.Version
	// serverUpdates counts the updates of the directory by the store or a reader.
	serverUpdates uint64
	// source identifies this process to the daemons that poll it, and changes numbers what
	// they are sent.
	source  uint64
	changes discovery.ChangeLog
	// outdatedConfig is the version of the last configuration that was ignored, since the
	// store was restored from a backup older than the active one.
	outdatedConfig objectstore.Version
	rollouts       rolloutState
	poolRemovals   poolRemovals
	// canaryServers returns the servers of a new version that get canaries now.
	canaryServers  func(service string, stable int, servers []discovery.Server) []discovery.Server
	invalidReasons map[string]string // by the entry's name, as last logged
	built          builtServers
	versions       *streamversion.History
	counted        map[string]countedVersion // in versions, by server ID
	changed        chan struct{}             // closed and replaced at each change
	storeRestored  chan struct{}             // gets a value when the store may have lost what the system wrote
	rebuildPacer   pacer                     // limits the rate of rebuilds
	rebuildPending bool                      // a rebuild is scheduled
}

// serverUse says which requests a server may get.
type serverUse struct {
	leaving bool
	version string
	arm     rollout.Arm
}

// accepts reports whether the server may get a request that is a canary or not.
func (u serverUse) accepts(canary bool) bool {
	return !u.leaving && (u.arm == rollout.Stable || canary && u.arm == rollout.Canary)
}

func newState(p Platform, region string, routes *route.Live, snapshot *workspace.CurrentSnapshot, limiter *quota.Limiter, onIncarnations func(map[string]string), m *metrics.Registry) *state {
	return &state{
		platform: p, region: region, routes: routes, snapshot: snapshot, limiter: limiter, onIncarnations: onIncarnations,
		configFreshness: revision.NewFreshness(), serversFreshness: revision.NewFreshness(), rolloutsFreshness: revision.NewFreshness(),
		log: logs.For("sync"), source: 1 + rand.Uint64N(math.MaxUint64), rollouts: newRolloutState(false),
		directory: discovery.NewDirectory(), changed: make(chan struct{}), storeRestored: make(chan struct{}, 1), latency: newLatencies(m),
		invalidEntries: m.Counter("servers", "invalid_entries"), invalidReasons: map[string]string{}, built: newBuiltServers(), versions: streamversion.NewHistory(), counted: map[string]countedVersion{},
		readServers: make(chan struct{}, 1),
	}
}

// partitioner returns the current partitioner; the mutex is held.
func (s *state) partitioner() partitioner {
	if !s.rollouts.enabled {
		return partitioner{}
	}
	return partitioner{arm: s.rollouts.arm, canaryServers: s.canaryServers}
}

// applyConfig activates a configuration unless it is older than the active one, and
// reports whether the active one is at least as new.
//
// The configuration's own version decides: a store that was restored from a backup shows
// an older configuration in a newer object, until the operators have written theirs again.
func (s *state) applyConfig(o objectstore.Object) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sameEra := o.Version.Era() == s.config.Version.Era()
	if o.Version <= s.config.Version && sameEra || o.Version == s.outdatedConfig {
		return true
	}
	table, ok := s.compileConfig(o)
	if !ok {
		return false
	}
	before := s.routes.Load()
	if before != nil && (table.Version < before.Version || table.Version == before.Version && o.Version < s.config.Version) {
		s.ignoreOutdatedConfig(o, table.Version, before.Version)
		return true
	}
	s.config = o
	if s.routes.Update(table) {
		s.log.WithFields(logrus.Fields{"version": table.Version, "revision": o.Version.Revision(), "era": o.Version.Era()}).Info("Configuration in force.")
		if s.onTable != nil {
			s.onTable(before, table)
		}
		s.limiter.AddWorkspaces(table.Workspaces)
		s.rebuildLocked()
	}
	s.notifyChangedLocked()
	return true
}

// compileConfig compiles a configuration, or logs why it can't be used.
func (s *state) compileConfig(o objectstore.Object) (*route.Table, bool) {
	d, err := s.platform.DecodeConfiguration(o.Value)
	if err != nil {
		s.log.WithField("revision", o.Version.Revision()).WithError(err).Error("Configuration can't be read.")
		return nil, false
	}
	table, findings := route.Compile(string(o.Kind)+"/"+o.Name, d)
	if findings != nil {
		s.log.WithField("version", d.Version).WithError(findings).Error("Configuration can't be used.")
		return nil, false
	}
	return table, true
}

// ignoreOutdatedConfig remembers a configuration that is older than the active one, and logs
// that if the store shows it.
func (s *state) ignoreOutdatedConfig(o objectstore.Object, version, active uint64) {
	if o.Version < s.config.Version {
		return // of an earlier era, from another daemon
	}
	s.outdatedConfig = o.Version
	s.log.WithFields(logrus.Fields{"version": version, "in_force": active, "revision": o.Version.Revision(), "era": o.Version.Era()}).
		Warn("Configuration in the store is older than the one in force.")
}

// replaceServers applies a list of all servers as of a revision.
func (s *state) replaceServers(listed []discovery.Server, rev objectstore.Version) {
	s.updateServers(rev, fromStore, func(now time.Time) bool {
		changed := s.directory.Replace(now, listed)
		return s.directory.ExpireMissing(now) || changed
	})
}

// applyPeerServers applies what another daemon has told, and reports whether that is all applied.
// base says what the list is now.
//
// Where the list is newer than the other daemon's, only which servers are leaving is applied:
// the rest is known. So it is where changes relate to a list that this daemon has no more, since
// it has been updated meanwhile; the next poll asks for the whole list.
//
// The other daemon's revision is taken over even where nothing has changed. This daemon
// may have read a change itself before, at a lower revision; if it kept that one, a daemon of an
// earlier version would send the same change at every poll.
func (s *state) applyPeerServers(x peerServers) (base listBase, applied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fits := !x.isDelta || x.update == s.serverUpdates
	if x.base > 0 {
		fits = x.base == s.serversRevision
	}
	if !fits || x.revision < s.serversRevision {
		if s.directory.MergeLeaving(x.delta.Changed) {
			s.publishChangesLocked(x.from)
		}
		return listBase{}, fits && x.revision.Era() == s.serversRevision.Era()
	}
	s.updateServersLocked(x.revision, x.from, func(now time.Time) bool {
		changed := false
		if x.isDelta {
			changed = s.directory.Update(now, x.delta)
		} else {
			changed = s.directory.Replace(now, x.delta.Changed)
		}
		return s.directory.ExpireMissing(now) || changed
	})
	s.serversRevision = max(s.serversRevision, x.revision)
	return listBase{same: true, update: s.serverUpdates}, true
}

// serverEvent is a changed entry or, if removed is set, the removal of the entry of that ID
// at that revision.
type serverEvent struct {
	server  discovery.Server
	removed bool
}

// applyServerEvents applies events in their order. rev is the revision after all of them.
func (s *state) applyServerEvents(events []serverEvent, rev objectstore.Version) {
	s.updateServers(rev, fromStore, func(now time.Time) bool {
		changed := false
		for _, e := range events {
			if e.removed {
				changed = s.directory.Delete(now, e.server.ID, e.server.Revision) || changed
			} else {
				changed = s.directory.Put(now, e.server) || changed
			}
		}
		return changed
	})
}

// announceLeaving records that a server has said in an answer that it is leaving.
func (s *state) announceLeaving(x workspace.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directory.Announce(x.Name, x.Incarnation) {
		return
	}
	s.publishChangesLocked(fromAnswer)
}

// updateServers changes the directory by what from says unless the directory is newer, and
// rebuilds the pools if the change matters.
func (s *state) updateServers(rev objectstore.Version, from string, change func(now time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateServersLocked(rev, from, change)
}

// updateServersLocked is updateServers with the mutex held.
func (s *state) updateServersLocked(rev objectstore.Version, from string, change func(now time.Time) bool) {
	if rev < s.serversRevision {
		return
	}
	restored := s.serversRevision > 0 && rev.Era() > s.serversRevision.Era()
	if restored {
		s.log.WithFields(logrus.Fields{"era": rev.Era(), "revision": rev.Revision(), "before": s.serversRevision.Revision()}).
			Warn("Store was restored from a backup.")
		s.directory.StoreRestored()
		s.versions.StoreRestored(time.Now())
		s.signalStoreRestored()
	}
	if !change(time.Now()) && !restored {
		return
	}
	s.serversRevision = rev
	s.serverUpdates++
	s.publishChangesLocked(from)
}

// publishChangesLocked makes the directory's changes, known from a source, known to the pools
// and to the daemons that poll this one; the mutex is held.
func (s *state) publishChangesLocked(from string) {
	s.recordChangesLocked(from)
	s.scheduleRebuildLocked()
	s.notifyChangedLocked()
}

// storeEra returns the era of the store as of which the servers are known.
func (s *state) storeEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serversRevision.Era()
}

// signalStoreRestored tells that the store may have lost what the system wrote.
func (s *state) signalStoreRestored() {
	select {
	case s.storeRestored <- struct{}{}:
	default: // it is being looked after
	}
}

// recordChangesLocked records the directory's changes, known from a source, for the daemons
// that poll this one and for the next rebuild; the mutex is held.
func (s *state) recordChangesLocked(from string) {
	d := s.directory.TakeChanges()
	s.changes.Record(d)
	s.recordVersionsLocked(d)
	s.built.add(d, from)
}

// scheduleRebuildLocked rebuilds the pools now or, where rebuilds would take too much
// processor time, once later for all changes until then; the mutex is held.
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

// expireServers removes missing servers whose grace period has ended, and returns the
// time until the next one ends; false: no server is missing.
func (s *state) expireServers() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directory.ExpireMissing(time.Now()) {
		s.recordChangesLocked(fromExpiry)
		s.rebuildLocked()
		s.notifyChangedLocked()
	}
	return s.directory.ExpiresIn(time.Now())
}

// confirmServers records that a reader has the servers as of a revision. If this
// daemon has the same revision, its servers are what the store has.
func (s *state) confirmServers(rev objectstore.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev == s.serversRevision {
		s.directory.Confirm(time.Now())
	}
}

// storeUnavailable records that the servers could not be listed.
func (s *state) storeUnavailable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.StoreUnavailable()
}

// rebuildLocked brings the pools' snapshot and what else is derived from the servers up to
// date with the table and the directory; the mutex is held.
func (s *state) rebuildLocked() {
	s.rebuildPending = false
	table := s.routes.Load()
	if table == nil {
		return
	}
	start := time.Now()
	defer func() { s.rebuildPacer.done(start, time.Now()) }()
	changes, invalid := s.built.take(s.directory)
	s.logServers(changes)
	s.logInvalid(invalid)
	armsChanged := s.rollouts.assignArms(changes, s.serversRevision)
	prev, next := s.snapshot.Load(), s.nextSnapshotLocked(table, changes, armsChanged)
	if next != prev {
		s.snapshot.Store(next)
		s.poolRemovals.update(prev, next)
	}
	s.built.table = table
	s.onIncarnations(s.built.updateAddresses(changes))
	s.usable.Store(s.built.usableServers(s.usable.Load(), changes, s.rollouts.arm, armsChanged))
}

// nextSnapshotLocked returns the pools' snapshot after changes of servers; the mutex is held.
func (s *state) nextSnapshotLocked(table *route.Table, changes []serverChange, armsChanged bool) *workspace.Snapshot {
	if prev := s.snapshot.Load(); prev != nil && sameServices(table, s.built.table) && !armsChanged && s.rollouts.allStable() {
		if next, ok := updatePools(prev, changes, s.region, s.rollouts.enabled); ok {
			return next
		}
	}
	return buildPools(table, s.directory.Servers(), s.region, s.partitioner())
}

// storeLostLongerThan reports whether the store has not answered this daemon itself for
// longer than limit, even if readers sent it the state.
func (s *state) storeLostLongerThan(limit time.Duration) bool { return s.storeLostFor() > limit }

// storeLostFor returns for how long the store has not answered this daemon itself; 0:
// it answers.
func (s *state) storeLostFor() time.Duration {
	lostAt := s.storeLostAt.Load()
	if lostAt == 0 {
		return 0
	}
	return s.configFreshness.Now() - time.Duration(lostAt)
}

// notifyChanged wakes the polls that wait for a change, after a new proof.
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

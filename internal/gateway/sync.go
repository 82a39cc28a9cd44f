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
	platform Platform
	region   string
	routes   *route.Live
	pools    *workspace.Live
	ledger   *quota.Limiter
	servers  func(map[string]string) // told which incarnation is at each address
	log      *logrus.Entry
	latency  latencies

	// configFresh and serversFresh know how old the newest linearizable reads
	// are.
	configFresh, serversFresh *revision.Freshness
	usable                    atomic.Pointer[map[string]serverUse] // by server ID
	// rolloutsFresh is the same for the rollouts.
	rolloutsFresh  *revision.Freshness
	invalidEntries *expvar.Int
	// storeLost is the mark since which this daemon's own reads of the
	// configuration fail; 0: the last one was answered.
	storeLost atomic.Int64

	mu        sync.Mutex
	directory *discovery.Directory
	// config is the newest configuration's object; serversRevision is as of
	// when the directory is.
	config          objectstore.Object
	serversRevision objectstore.Version
	changes         discovery.ChangeLog
	rollouts        knownRollouts
	poolGone        poolGone
	// canaries returns the servers of a new version that get canaries now.
	canaries     func(service string, stable int, servers []discovery.Server) []discovery.Server
	invalid      map[string]string // why, by the entry's name, as last logged
	incarnations map[string]string // by server ID, as last logged
	changed      chan struct{}     // closed at each change
	pace         pacer             // of making the pools anew
	postponed    bool              // a change waits for that
}

// serverUse is what a server may be used for.
type serverUse struct {
	leaving bool
	arm     rollout.Arm
}

// takes tells whether the server may get a request, which is a canary or not.
func (u serverUse) takes(canary bool) bool {
	return !u.leaving && (u.arm == rollout.Stable || canary && u.arm == rollout.Canary)
}

func newState(p Platform, region string, routes *route.Live, pools *workspace.Live, ledger *quota.Limiter, servers func(map[string]string), m *metrics.Registry) *state {
	return &state{
		platform: p, region: region, routes: routes, pools: pools, ledger: ledger, servers: servers,
		configFresh: revision.NewFreshness(), serversFresh: revision.NewFreshness(), rolloutsFresh: revision.NewFreshness(),
		log: logs.For("sync"), rollouts: newKnownRollouts(false),
		directory: discovery.NewDirectory(), changed: make(chan struct{}), latency: newLatencies(m),
		invalidEntries: m.Counter("servers", "invalid_entries"), invalid: map[string]string{},
	}
}

// division returns how the servers are divided now; the mutex is held.
func (s *state) division() division {
	if !s.rollouts.enabled {
		return division{}
	}
	return division{arm: s.rollouts.arm, canaries: s.canaries}
}

// offerConfig puts a configuration in force unless it is older, and reports
// whether the one in force is at least as new.
func (s *state) offerConfig(o objectstore.Object) bool {
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
		s.rebuild()
	}
	s.signal()
	return true
}

// replaceServers takes all servers as of a revision.
func (s *state) replaceServers(listed []discovery.Server, as objectstore.Version) {
	s.updateServers(as, func(now time.Time) bool {
		changed := s.directory.Replace(now, listed)
		return s.directory.ExpireMissing(now) || changed
	})
}

// hearServers takes what a reader tells: the whole list, or what has changed
// since a revision, if that is still the one that is known here. Then what is
// known is as of the reader's revision, though it may have brought nothing new.
//
// What goes wrong where the revision stays behind then: a reader notices a
// change later than this daemon did, by its own read, so the reader's revision
// is the newer one, and it tells the same at each ask, without end.
func (s *state) hearServers(base objectstore.Version, d discovery.Delta, as objectstore.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := d.Changed
	if base > 0 {
		if s.serversRevision != base {
			return // read from the store meanwhile; the next answer fits
		}
		listed = d.Apply(s.directory.Listed())
	}
	s.applyServers(as, func(now time.Time) bool {
		changed := s.directory.Replace(now, listed)
		return s.directory.ExpireMissing(now) || changed
	})
	s.serversRevision = max(s.serversRevision, as)
}

// putServer takes one changed entry, removeServer the removal of one.
func (s *state) putServer(server discovery.Server, as objectstore.Version) {
	s.updateServers(as, func(now time.Time) bool { return s.directory.Put(now, server) })
}

// removeServer takes the removal of an entry at a revision.
func (s *state) removeServer(id string, at, as objectstore.Version) {
	s.updateServers(as, func(now time.Time) bool { return s.directory.Delete(now, id, discovery.Revision(at)) })
}

// updateServers changes the directory unless what it has is newer, and the
// pools where that matters.
func (s *state) updateServers(as objectstore.Version, change func(now time.Time) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyServers(as, change)
}

// applyServers is updateServers with the mutex held.
func (s *state) applyServers(as objectstore.Version, change func(now time.Time) bool) {
	if as < s.serversRevision {
		return
	}
	if !change(time.Now()) {
		return
	}
	s.serversRevision = as
	s.changes.Record(s.directory.Listed(), discovery.Revision(as))
	s.rebuildSoon()
	s.signal()
}

// rebuildSoon makes the pools anew now or, where that takes too much of the time, a little
// later for all changes that have come by then; the mutex is held.
func (s *state) rebuildSoon() {
	wait := s.pace.in(time.Now())
	if wait == 0 || s.directory.Len() < pacedFrom {
		s.rebuild()
		return
	}
	if s.postponed {
		return
	}
	s.postponed = true
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.postponed {
			s.rebuild()
		}
	})
}

// expireServers removes what is still missing when the grace has passed, and
// returns when that will be; false: nothing is missing.
func (s *state) expireServers() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directory.ExpireMissing(time.Now()) {
		s.rebuild()
		s.signal()
	}
	return s.directory.ExpiresIn(time.Now())
}

// confirmServers takes it that a daemon that reads the store has the servers as
// of a revision; where that is ours, the store has the same ones.
func (s *state) confirmServers(as objectstore.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if as == s.serversRevision {
		s.directory.Confirm(time.Now())
	}
}

// storeAway tells that the servers could not be listed.
func (s *state) storeAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.StoreUnavailable()
}

// rebuild makes the pools' snapshot from the table and the directory; it is
// called with the mutex held.
func (s *state) rebuild() {
	s.postponed = false
	table := s.routes.Load()
	if table == nil {
		return
	}
	began := time.Now()
	defer func() { s.pace.done(began, time.Now()) }()
	servers := s.directory.Servers()
	s.logServers(servers)
	s.logInvalid(s.directory.Invalid())
	s.rollouts.divide(servers, s.serversRevision)
	before, now := s.pools.Load(), buildPools(table, servers, s.region, s.division())
	s.pools.Store(now)
	s.poolGone.replaced(before, now)
	inUse := make(map[string]string, len(servers))
	usable := make(map[string]serverUse, len(servers))
	for _, server := range servers {
		inUse[server.Address] += server.ID + "/" + server.Incarnation() + " "
		usable[server.ID] = serverUse{leaving: server.Leaving, arm: s.rollouts.arm(server)}
	}
	s.servers(inUse)
	s.usable.Store(&usable)
}

// cutOff tells whether this daemon's own reads of the store have failed for so
// long, though it may be told by others what is in force.
func (s *state) cutOff(most time.Duration) bool { return s.lostFor() > most }

// lostFor is for how long the store has not answered this daemon's own reads; 0:
// it does.
func (s *state) lostFor() time.Duration {
	lost := s.storeLost.Load()
	if lost == 0 {
		return 0
	}
	return s.configFresh.Mark() - time.Duration(lost)
}

// proved tells those that wait that a read has proved what is in force.
func (s *state) proved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signal()
}

// signal wakes those that wait for a change; the mutex is held.
func (s *state) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

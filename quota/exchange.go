package quota

import (
	"slices"
	"sync"
	"time"
)

// Batch is one daemon's usage since its previous batch.
type Batch struct {
	// Incarnation identifies the daemon's process.
	Incarnation uint64
	// Number counts the daemon's batches. A batch that was not acknowledged is sent again
	// unchanged.
	Number uint64
	Usage  []Usage
	// Hub and Version identify the latest answer that the daemon has; zero: none that is
	// still valid.
	Hub, Version uint64
	// Incomplete is set if the daemon has usage beyond its batches, because this one is
	// sent again.
	Incomplete bool
}

// Answer is a hub's answer to a batch.
type Answer struct {
	// Hub is the incarnation of the hub's process.
	Hub uint64
	// Version is the version of the hub's totals. The daemon's next batch returns it.
	Version uint64
	// Number is that of the acknowledged batch.
	Number uint64
	// Others is the usage of all other daemons since the hub's start, for the workspaces
	// where it has changed since the batch's Version.
	Others []Usage
	// Levels are the hub's own levels, for a daemon that has no valid answer of this hub.
	Levels []Usage
	// Silent are the daemons without a recent heartbeat at the hub. Age is that of the
	// oldest heartbeat of the others.
	Silent []string
	Age    time.Duration
}

// HubReport is the usage of all daemons that report to one hub, its group, since the hub's
// start. Hubs send it to each other.
type HubReport struct {
	Incarnation uint64 // of the hub's process
	Sequence    uint64
	// Complete is set if Usage holds all workspaces, not only those that changed.
	Complete bool
	Usage    []Usage
	// Levels are the hub's own settled levels, present in complete reports.
	Levels []Usage
	// Daemons are those that report to the hub, present in complete reports.
	Daemons []string
	// Silent are the daemons of the group without a recent heartbeat at the hub. Age is
	// that of the oldest heartbeat of the others.
	Silent []string
	Age    time.Duration
	// Uptime is how long the hub's process has run; 0: unknown.
	Uptime time.Duration
}

// Exchange exchanges usage with other daemons. It reports this daemon's usage to a hub, and
// may itself be the hub of daemons that report to it. It is safe for concurrent use.
//
// If each daemon reported to every other one, the messages per daemon would grow with the
// number of daemons and use most of a small VM's CPU time. With hubs each daemon exchanges
// one message each way per interval.
//
// A batch counts once at a hub, however often it is sent. If a hub counted it and the
// acknowledgement was lost, it may count again at another hub: usage is overestimated,
// never underestimated. A daemon that changes hubs, or that hears of none for a while,
// adopts the hub's levels, which include the usage that it missed.
type Exchange struct {
	mu          sync.Mutex
	now         func() time.Time
	startedAt   time.Time
	limiter     *Limiter
	incarnation uint64

	// As a client of a hub.
	unacked                    *Batch
	batchNumber                uint64
	hubIncarnation, hubVersion uint64
	othersUsage                map[string]float64
	answeredAt                 time.Time

	// As a hub. isolatedUsage is what it counted recently while it heard no other hub.
	isHub          bool
	isolatedUsage  map[string]*slidingSum
	totals         map[string]*total
	totalsVersion  uint64
	levelsVersion  uint64 // totalsVersion at the latest change of the levels by other causes than usage
	groupUsage     map[string]float64
	changedInGroup map[string]bool // since the previous hub report
	sequence       uint64
	reporters      map[string]*reporter
	peerHubs       map[string]*peerHub
}

// total is the usage of a workspace's quota by all daemons that this hub knows of, since
// the hub's start. version is the totalsVersion of its latest change.
type total struct {
	used    float64
	version uint64
}

// reporter is a hub's state of one daemon that reports to it.
type reporter struct {
	incarnation, number uint64
	used                map[string]float64
	lastHeard           time.Time
}

// peerHub is a hub's state of another hub.
type peerHub struct {
	incarnation, sequence uint64
	used                  map[string]float64
	lastHeard             time.Time
	daemons               []string // those that report to it
}

// NewExchange returns the exchange of a limiter. incarnation identifies this process.
func NewExchange(l *Limiter, now func() time.Time, incarnation uint64) *Exchange {
	return &Exchange{
		now: now, startedAt: now(), limiter: l, incarnation: incarnation, othersUsage: map[string]float64{}, isolatedUsage: map[string]*slidingSum{},
		totals: map[string]*total{}, groupUsage: map[string]float64{}, changedInGroup: map[string]bool{},
		reporters: map[string]*reporter{}, peerHubs: map[string]*peerHub{},
	}
}

// NextBatch returns the batch to send to a hub now: the unacknowledged one if there is one,
// otherwise a new one.
func (e *Exchange) NextBatch() Batch {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isHub = false
	if e.unacked == nil {
		e.batchNumber++
		e.unacked = &Batch{Incarnation: e.incarnation, Number: e.batchNumber, Usage: e.limiter.TakeUnreported()}
		if len(e.liveHubs()) == 0 {
			e.unacked.Usage = append(e.unacked.Usage, e.recentIsolatedUsage()...)
			clear(e.isolatedUsage)
		}
	}
	b := *e.unacked
	b.Incomplete = e.limiter.HasUnreported()
	if e.now().Sub(e.answeredAt) <= suspectTimeout {
		b.Hub, b.Version = e.hubIncarnation, e.hubVersion
	}
	return b
}

// HandleAnswer processes a hub's answer and the heartbeats of the other daemons in it. It
// reports whether the answer acknowledges the batch.
func (e *Exchange) HandleAnswer(a Answer, daemons []string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unacked == nil || a.Number != e.unacked.Number {
		return false // to an earlier batch, or to one that was sent twice
	}
	e.unacked = nil
	// A hub sends its levels to a daemon that has no valid answer of it. A check by time
	// would neither adopt nor count an answer that was delayed.
	sameHub := a.Hub == e.hubIncarnation && len(a.Levels) == 0
	e.recordHeartbeats(daemons, a.Silent, a.Age)
	if !sameHub {
		e.othersUsage = map[string]float64{}
		e.limiter.AdoptLevels(a.Levels)
	}
	if added := increments(e.othersUsage, a.Others); sameHub {
		e.limiter.DeductRemote(added)
		e.addToTotals(added)
	}
	e.hubIncarnation, e.hubVersion, e.answeredAt = a.Hub, a.Version, e.now()
	return true
}

// ActAsHub counts this daemon's own usage as a hub does, in place of reporting it.
func (e *Exchange) ActAsHub() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isHub = true
	usage := e.limiter.TakeUnreported()
	if b := e.unacked; b != nil { // its hub is no longer used
		usage = append(usage, b.Usage...)
		e.unacked = nil
	}
	e.addToGroup(usage)
	e.recordIsolated(usage)
	if len(usage) > 0 {
		e.batchNumber++ // the gap shows the next hub that it missed a batch
	}
}

// recordIsolated records usage that no other hub hears of.
func (e *Exchange) recordIsolated(usage []Usage) {
	if len(e.liveHubs()) > 0 {
		return
	}
	for _, u := range usage {
		if e.isolatedUsage[u.Workspace] == nil {
			e.isolatedUsage[u.Workspace] = &slidingSum{}
		}
		e.isolatedUsage[u.Workspace].add(e.now(), u.Amount)
	}
}

// recentIsolatedUsage returns the usage of the last SilenceTimeout that was counted while
// no other hub was heard.
func (e *Exchange) recentIsolatedUsage() []Usage {
	var out []Usage
	for name, r := range e.isolatedUsage {
		if amount := r.sum(e.now(), SilenceTimeout); amount != 0 {
			out = append(out, Usage{name, amount})
		} else {
			delete(e.isolatedUsage, name)
		}
	}
	return out
}

// HasReporters reports whether any daemon has recently reported here.
func (e *Exchange) HasReporters() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.reporters {
		if e.now().Sub(r.lastHeard) <= SilenceTimeout {
			return true
		}
	}
	return false
}

// HandleBatch counts a daemon's batch and returns the answer to it.
func (e *Exchange) HandleBatch(from string, b Batch) Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.reporters[from]
	known := r != nil && r.incarnation == b.Incarnation
	if !known {
		r = &reporter{incarnation: b.Incarnation, used: map[string]float64{}}
		e.reporters[from] = r
		b.Hub = 0 // the answers to its earlier reports are not known here
	}
	r.lastHeard = e.now()
	// A gap in the batch numbers means that a batch went to another hub, whose report may
	// not have arrived.
	usageKnown := b.Number <= r.number+1 && (known || len(e.limiter.NeverHeard([]string{from})) > 0)
	usage := b.Usage
	if b.Number > r.number {
		r.number = b.Number
		for _, u := range usage {
			r.used[u.Workspace] += u.Amount
		}
		e.addToGroup(usage)
		e.recordIsolated(usage)
	} else {
		usage = nil
	}
	if usageKnown && !b.Incomplete {
		e.recordReports([]string{from}, usage, 0)
	} else {
		e.limiter.DeductRemote(usage)
	}
	if !usageKnown {
		e.limiter.RecordHeartbeat(from, 0)
	}
	return e.answer(r, b)
}

// answer returns the usage of daemons other than r that is newer than the batch's Version.
func (e *Exchange) answer(r *reporter, b Batch) Answer {
	a := Answer{Hub: e.incarnation, Version: e.totalsVersion, Number: b.Number}
	a.Age, a.Silent = e.limiter.HeartbeatStatus()
	since := b.Version
	if b.Hub != e.incarnation || since < e.levelsVersion {
		since = 0
		a.Levels = e.limiter.Levels()
	}
	for name, t := range e.totals {
		if t.version > since {
			a.Others = append(a.Others, Usage{name, t.used - r.used[name]})
		}
	}
	return a
}

// NextHubReport returns the report for the other hubs: a complete one, or the changes since
// the previous call.
func (e *Exchange) NextHubReport(complete bool) HubReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	report := HubReport{Incarnation: e.incarnation, Sequence: e.sequence, Complete: complete, Uptime: e.now().Sub(e.startedAt)}
	for name, used := range e.groupUsage {
		if complete || e.changedInGroup[name] {
			report.Usage = append(report.Usage, Usage{name, used})
		}
	}
	clear(e.changedInGroup)
	if complete {
		report.Levels = e.limiter.SettledLevels()
	}
	for name, r := range e.reporters {
		if complete {
			report.Daemons = append(report.Daemons, name)
		}
		if age := e.now().Sub(r.lastHeard); age > maxRelayedAge {
			report.Silent = append(report.Silent, name)
		} else {
			report.Age = max(report.Age, age)
		}
	}
	return report
}

// HandleHubReport processes another hub's report. The first complete report of a hub is the
// base for its later ones; its levels account for the usage before it.
func (e *Exchange) HandleHubReport(from string, report HubReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isHub {
		return // its hub passes the same usage on
	}
	hub := e.peerHubs[from]
	known := hub != nil && hub.incarnation == report.Incarnation
	if known && report.Sequence <= hub.sequence {
		return
	}
	wasSilent := known && e.now().Sub(hub.lastHeard) > SilenceTimeout
	if (!known || wasSilent) && !report.Complete {
		return
	}
	if !known {
		hub = &peerHub{incarnation: report.Incarnation, used: map[string]float64{}}
		e.peerHubs[from] = hub
	}
	hub.sequence, hub.lastHeard = report.Sequence, e.now()
	added := increments(hub.used, report.Usage)
	switch {
	case !known && report.Uptime > 0 && report.Uptime <= SilenceTimeout:
		// The report holds the whole usage of the hub's daemons since they started.
		e.addToTotals(added)
		e.recordReports(e.limiter.NeverHeard(slices.Concat(report.Daemons, []string{from})), added, report.Age)
	case !known:
		e.limiter.CapLevels(report.Levels)
		e.resendLevels()
	default:
		// The report holds the whole usage of the daemons that were in the group
		// before. Other daemons may have reported elsewhere.
		e.addToTotals(added)
		e.recordReports(except(slices.Concat(hub.daemons, []string{from}), report.Silent), added, report.Age)
	}
	if report.Complete {
		hub.daemons = report.Daemons
	}
	e.recordHeartbeats(slices.Concat(hub.daemons, []string{from}), report.Silent, report.Age)
}

// recordHeartbeats records heartbeats of the daemons that are not silent.
func (e *Exchange) recordHeartbeats(daemons, silent []string, age time.Duration) {
	for _, name := range except(daemons, silent) {
		e.limiter.RecordHeartbeat(name, age)
	}
}

// recordReports records heartbeats of daemons whose whole usage since the previous ones is
// given. If one of them returns after a silence, the levels change by amounts that daemons
// reporting here cannot know, so they are sent the levels.
func (e *Exchange) recordReports(daemons []string, usage []Usage, age time.Duration) {
	if e.limiter.RecordReport(daemons, usage, age) {
		e.resendLevels()
	}
}

// resendLevels makes the next answers include the levels.
func (e *Exchange) resendLevels() {
	e.totalsVersion++
	e.levelsVersion = e.totalsVersion
}

// except returns the names that are not among others.
func except(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}

// LiveHubs returns the other hubs that have recently sent a report.
func (e *Exchange) LiveHubs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.liveHubs()
}

func (e *Exchange) liveHubs() []string {
	var out []string
	for name, hub := range e.peerHubs {
		if e.now().Sub(hub.lastHeard) <= SilenceTimeout {
			out = append(out, name)
		}
	}
	return out
}

// increments returns by how much the reported counts exceed the known ones, and updates
// these.
func increments(known map[string]float64, reported []Usage) []Usage {
	out := make([]Usage, 0, len(reported))
	for _, u := range reported {
		out = append(out, Usage{u.Workspace, u.Amount - known[u.Workspace]})
		known[u.Workspace] = u.Amount
	}
	return out
}

// addToGroup counts usage of this hub's own group.
func (e *Exchange) addToGroup(usage []Usage) {
	for _, u := range usage {
		e.groupUsage[u.Workspace] += u.Amount
		e.changedInGroup[u.Workspace] = true
	}
	e.addToTotals(usage)
}

func (e *Exchange) addToTotals(usage []Usage) {
	if len(usage) == 0 {
		return
	}
	e.totalsVersion++
	for _, u := range usage {
		t := e.totals[u.Workspace]
		if t == nil {
			t = &total{}
			e.totals[u.Workspace] = t
		}
		t.used += u.Amount
		t.version = e.totalsVersion
	}
}

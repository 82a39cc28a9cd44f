package quota

import (
	"slices"
	"sync"
	"time"
)

// NextBatch is what one daemon has let through since the batch before.
type Batch struct {
	// Incarnation is of the daemon's process.
	Incarnation uint64
	// Number counts the daemon's batches. One that was not acknowledged is sent
	// again as it was.
	Number uint64
	Usage  []Usage
	// Hub and Version tell which answer the daemon has; zero: none that is of
	// use.
	Hub, Version uint64
	// Incomplete is set where the daemon has let more through than its batches tell,
	// because this one is sent again.
	Incomplete bool
}

// Answer is what a hub tells a daemon that has sent it a batch.
type Answer struct {
	// Hub is the incarnation of the hub's process.
	Hub uint64
	// Version is of the hub's totals; the next batch names it.
	Version uint64
	// Number is of the batch that is acknowledged.
	Number uint64
	// Others is what all other daemons have let through since the hub's start,
	// where that has changed since the batch's Version.
	Others []Usage
	// Levels are the hub's own buckets, for a daemon that has no answer of it.
	Levels []Usage
	// Silent are the daemons that the hub has not heard of lately, and Age is how old
	// its signs of the others are at most.
	Silent []string
	Age    time.Duration
}

// HubReport is what the daemons that report to one hub have let through since its
// start. Hubs tell it each other.
type HubReport struct {
	Incarnation uint64 // of the hub's process
	Sequence    uint64
	// Complete is set where Uses are all of them, not only those that changed.
	Complete bool
	Usage    []Usage
	// Levels are the hub's own buckets that have settled, told where Uses are complete.
	Levels []Usage
	// Daemons are those that report to the hub, told where Uses are complete.
	Daemons []string
	// Silent are those of them that the hub has not heard of lately, and Age is how
	// old its signs of the others are at most.
	Silent []string
	Age    time.Duration
	// Uptime is how long the hub's process has run; 0: it does not say.
	Uptime time.Duration
}

// Exchange is a daemon's part in telling what was let through: it reports to a
// hub, and it is one itself for the daemons that report to it. It is safe for
// concurrent use.
//
// What goes wrong where each daemon tells every other one: the messages of a
// daemon grow with the number of daemons, and take most of a small VM's processor time.
// With hubs a daemon exchanges one message each way at each interval.
//
// A batch counts once at a hub, however often it is sent. One that a hub has
// taken, and whose acknowledgement is lost, may count again at another hub: too
// much is believed used, never too little. Who changes hubs, or hears of none
// for a while, takes over the hub's levels, since what it missed meanwhile is in
// them.
type Exchange struct {
	mu          sync.Mutex
	now         func() time.Time
	startedAt   time.Time
	limiter     *Limiter
	incarnation uint64

	// Towards this daemon's hub.
	unacked                    *Batch
	batchNumber                uint64
	hubIncarnation, hubVersion uint64
	othersUsage                map[string]float64
	answeredAt                 time.Time

	// As a hub. alone is what it counted lately while it heard no other one.
	isHub          bool
	isolatedUsage  map[string]*slidingSum
	totals         map[string]*total
	totalsVersion  uint64
	levelsVersion  uint64 // the change at which the levels last changed otherwise than by uses
	groupUsage     map[string]float64
	changedInGroup map[string]bool
	sequence       uint64
	reporters      map[string]*reporter
	peerHubs       map[string]*peerHub
}

// total is what all daemons that this hub knows of have let through of a
// workspace's quota since its start; version is of its last change.
type total struct {
	used    float64
	version uint64
}

// reporter is what a hub has of one daemon that reports to it.
type reporter struct {
	incarnation, number uint64
	used                map[string]float64
	lastHeard           time.Time
}

// peerHub is what a hub has of another hub.
type peerHub struct {
	incarnation, sequence uint64
	used                  map[string]float64
	lastHeard             time.Time
	daemons               []string // that report to it
}

// NewExchange returns the exchange of a ledger. incarnation is of this
// process.
func NewExchange(l *Limiter, now func() time.Time, incarnation uint64) *Exchange {
	return &Exchange{
		now: now, startedAt: now(), limiter: l, incarnation: incarnation, othersUsage: map[string]float64{}, isolatedUsage: map[string]*slidingSum{},
		totals: map[string]*total{}, groupUsage: map[string]float64{}, changedInGroup: map[string]bool{},
		reporters: map[string]*reporter{}, peerHubs: map[string]*peerHub{},
	}
}

// NextBatch returns what to report to a hub now: the batch that was not
// acknowledged, or a new one.
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

// HandleAnswer takes a hub's answer, with the signs of the other daemons in it, and tells whether
// it acknowledges the batch.
func (e *Exchange) HandleAnswer(a Answer, daemons []string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unacked == nil || a.Number != e.unacked.Number {
		return false // of an earlier batch, or of one that was sent twice
	}
	e.unacked = nil
	// A hub tells its levels to whoever said that it has no answer of it. By
	// the time, an answer that took long would be neither adopted nor counted.
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

// ActAsHub counts what this daemon itself has let through, in place of a report: it
// is a hub.
func (e *Exchange) ActAsHub() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isHub = true
	usage := e.limiter.TakeUnreported()
	if b := e.unacked; b != nil { // for a hub that is none any more
		usage = append(usage, b.Usage...)
		e.unacked = nil
	}
	e.addToGroup(usage)
	e.recordIsolated(usage)
	if len(usage) > 0 {
		e.batchNumber++ // a hub that gets the next batch sees that it misses one
	}
}

// recordIsolated remembers uses where no other hub hears of them.
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

// recentIsolatedUsage returns what was counted lately while no other hub was heard.
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

// HasReporters tells whether daemons have reported here lately.
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

// HandleBatch takes a daemon's batch.
func (e *Exchange) HandleBatch(from string, b Batch) Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.reporters[from]
	known := r != nil && r.incarnation == b.Incarnation
	if !known {
		r = &reporter{incarnation: b.Incarnation, used: map[string]float64{}}
		e.reporters[from] = r
		b.Hub = 0 // what it has of an earlier report is not known here
	}
	r.lastHeard = e.now()
	// Batches between were told to another hub, whose word may not have come.
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

// answer tells what the others than r let through that is newer than the
// batch tells.
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

// HubReport returns what to tell the other hubs: all, or what has changed since
// the last call.
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

// HandleHubReport takes what another hub tells. The first complete word of a hub says where its
// counts stand, and its levels tell of what was counted before.
func (e *Exchange) HandleHubReport(from string, report HubReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isHub {
		return // its hub tells the same
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
		// All that its daemons have let through since they started is in its uses.
		e.addToTotals(added)
		e.recordReports(e.limiter.NeverHeard(slices.Concat(report.Daemons, []string{from})), added, report.Age)
	case !known:
		e.limiter.CapLevels(report.Levels)
		e.resendLevels()
	default:
		// Its counts hold what those let through that were its daemons before.
		// Others may have reported elsewhere.
		e.addToTotals(added)
		e.recordReports(except(slices.Concat(hub.daemons, []string{from}), report.Silent), added, report.Age)
	}
	if report.Complete {
		hub.daemons = report.Daemons
	}
	e.recordHeartbeats(slices.Concat(hub.daemons, []string{from}), report.Silent, report.Age)
}

// lastHeard takes signs of daemons but the silent ones.
func (e *Exchange) recordHeartbeats(daemons, silent []string, age time.Duration) {
	for _, name := range except(daemons, silent) {
		e.limiter.RecordHeartbeat(name, age)
	}
}

// recordReports takes signs of daemons that have let uses through and no more. Where any had been
// silent, those that report here can't know what has returned.
func (e *Exchange) recordReports(daemons []string, usage []Usage, age time.Duration) {
	if e.limiter.RecordReport(daemons, usage, age) {
		e.resendLevels()
	}
}

// resendLevels makes the next answers tell the levels.
func (e *Exchange) resendLevels() {
	e.totalsVersion++
	e.levelsVersion = e.totalsVersion
}

// except returns the names that are not among others.
func except(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}

// LiveHubs returns the hubs that were heard lately.
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

// increments takes counts that were told, and returns by how much they exceed those
// known before.
func increments(known map[string]float64, reported []Usage) []Usage {
	out := make([]Usage, 0, len(reported))
	for _, u := range reported {
		out = append(out, Usage{u.Workspace, u.Amount - known[u.Workspace]})
		known[u.Workspace] = u.Amount
	}
	return out
}

// addToGroup counts what daemons of this hub let through.
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

package poolhost

import (
	"expvar"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// tierCounters count the outcomes of one tier's requests in this daemon's pools.
type tierCounters struct {
	granted, grantedLate, grantedExtra, diverted, passedOver, sameZone, otherZone, shed, expired, slotMs *expvar.Int
}

func newTierCounters(m *metrics.Registry) (all [request.MaxTiers]tierCounters) {
	for t := range all {
		c := func(group string) *expvar.Int { return m.Counter(group, fmt.Sprint("tier_", t)) }
		all[t] = tierCounters{
			granted: c("pool_granted"), grantedLate: c("pool_granted_late"), grantedExtra: c("pool_granted_extra"),
			diverted: c("pool_granted_diverted"), passedOver: c("pool_passed_over"), sameZone: c("pool_granted_same_zone"), otherZone: c("pool_granted_other_zone"),
			shed: c("pool_shed"), expired: c("pool_expired"), slotMs: c("pool_slot_ms"),
		}
	}
	return all
}

func (c tierCounters) add(t pool.TierTally) {
	c.granted.Add(int64(t.Granted))
	c.grantedLate.Add(int64(t.GrantedLate))
	c.grantedExtra.Add(int64(t.GrantedExtra))
	c.diverted.Add(int64(t.Diverted))
	c.passedOver.Add(int64(t.PassedOver))
	c.sameZone.Add(int64(t.SameZone))
	c.otherZone.Add(int64(t.OtherZone))
	c.shed.Add(int64(t.Shed))
	c.expired.Add(int64(t.Expired))
	c.slotMs.Add(t.SlotTime.Milliseconds())
}

// reportTally adds the outcomes since the last summary to the counters, and
// logs the pool's state if it refused requests.
func (r *Runtime) reportTally(s pool.Summary) {
	since := s.Tally.Since(r.lastTally)
	r.lastTally = s.Tally
	for t, x := range since {
		r.host.count.tiers[t].add(x)
	}
	r.logRefusals(s, since)
}

// logRefusals logs the pool's state and the outcomes by tier if requests were
// shed or expired since the last summary. It is the log line to look up when a
// caller's request was refused.
func (r *Runtime) logRefusals(s pool.Summary, since pool.Tally) {
	var granted, late, extra, diverted, passedOver, shed, expired, slotMs [request.MaxTiers]int
	refused := 0
	for t, x := range since {
		granted[t], late[t], shed[t], expired[t] = x.Granted, x.GrantedLate, x.Shed, x.Expired
		extra[t], diverted[t], passedOver[t] = x.GrantedExtra, x.Diverted, x.PassedOver
		slotMs[t] = int(x.SlotTime.Milliseconds())
		refused += x.Shed + x.Expired
	}
	if refused == 0 {
		return
	}
	healthy, paused := 0, 0
	for _, x := range s.Servers {
		if x.Paused {
			paused++
		}
		if x.Health == pool.HealthUp {
			healthy++
		}
	}
	logs.For("poolhost").WithFields(logrus.Fields{
		"pool": r.name, "shed": refused, "waiting": s.Waiting, "running": s.Running, "free": s.Free,
		"servers_up": healthy, "servers_paused": paused, "servers": len(s.Servers), "share": r.degraded, "lost_runs": s.LostRuns,
		"tier_granted": granted, "tier_granted_late": late, "tier_granted_extra": extra, "tier_diverted": diverted, "tier_passed_over": passedOver,
		"tier_shed": shed, "tier_expired": expired, "tier_slot_ms": slotMs,
	}).Info("Pool is crowded.")
}

// logBreaker logs when the circuit breaker of a server opens or closes.
func (r *Runtime) logBreaker(c pool.BreakerChanged) {
	l := logs.For("poolhost").WithFields(logrus.Fields{"pool": r.name, "server": c.Server, "share": r.degraded})
	if c.Open {
		r.host.count.breakersOpened.Add(1)
		l.Warn("Circuit breaker opened.")
		return
	}
	l.Info("Circuit breaker closed.")
}

// maxPauseLinesPerSecond limits the "Server paused." lines of a daemon.
const maxPauseLinesPerSecond = 20

// logPause logs that a server gets no grants for a while, and whose report was the cause.
func (r *Runtime) logPause(c pool.ServerPaused) {
	r.host.count.pauses.Add(1)
	omitted, ok := r.host.pauseLogLimiter.Allow(time.Now())
	if !ok {
		return
	}
	logs.For("poolhost").WithFields(logrus.Fields{
		"pool": r.name, "server": c.Server, "entry": c.Entry, "pause_ms": c.For.Milliseconds(), "refused": c.Refused, "entry_only": c.EntryOnly,
		"share": r.degraded, "omitted": omitted,
	}).Info("Server paused.")
}

// logCrash logs that a server crashed while it ran requests.
func (r *Runtime) logCrash(c pool.ServerCrashed) {
	r.host.count.crashes.Add(1)
	logs.For("poolhost").WithFields(logrus.Fields{
		"pool": r.name, "server": c.Server, "contents": c.Contents, "parts": c.Parts, "share": r.degraded,
	}).Warn("Server crashed.")
}

// logSuspect logs that a content was confirmed to crash servers, or was cleared of that.
func (r *Runtime) logSuspect(s pool.SuspectShared, was pool.SuspectState) {
	if s.State != pool.SuspectConfirmed && was != pool.SuspectConfirmed {
		return
	}
	logs.For("poolhost").WithFields(logrus.Fields{
		"pool": r.name, "content": logs.Fingerprint(s.Fingerprint), "state": s.State.String(), "expires_s": int(s.ExpiresIn.Seconds()),
		"part_of_prompts": s.Part, "workspace": s.Scope.Workspace, "several_workspaces": s.Scope.Several,
	}).Warn("Content that crashes servers.")
}

// logBrittle logs that a server has begun or ceased to be brittle.
func (r *Runtime) logBrittle(c pool.BrittleChanged) {
	r.host.count.brittleChanges.Add(1)
	logs.For("poolhost").WithFields(logrus.Fields{
		"pool": r.name, "server": c.Server, "brittle": c.Brittle, "rejections_per_second": c.Rejections, "share": r.degraded,
	}).Info("Server says whether it is brittle.")
}

// logLeaving logs that a server has announced in an answer that it stops.
func (r *Runtime) logLeaving(c pool.ServerLeaves) {
	r.host.count.leavingAnnounced.Add(1)
	logs.For("poolhost").WithFields(logrus.Fields{"pool": r.name, "server": c.Server, "entry": c.Entry, "share": r.degraded}).Info("Server says that it is leaving.")
}

// logRate logs that a server has named another limit on its requests per second.
func (r *Runtime) logRate(c pool.ServerRateChanged) {
	r.host.count.rateChanges.Add(1)
	logs.For("poolhost").WithFields(logrus.Fields{
		"pool": r.name, "server": c.Server, "per_second": c.PerSecond, "share": r.degraded,
	}).Info("Server's rate limit changed.")
}

// logExpired logs the state in which a request reached its deadline, at most once in
// SummaryInterval.
func (r *Runtime) logExpired(c pool.Expired) {
	if r.now.Sub(r.expiredAt) < SummaryInterval {
		return
	}
	r.expiredAt = r.now
	logs.For("poolhost").WithFields(logrus.Fields{
		"pool": r.name, "request": c.Request, "entry": c.Entry, "tier": c.Tier, "class": c.Class, "waited_ms": c.Waited.Milliseconds(),
		"length": c.Length, "length_known": c.LengthKnown, "per_token_ms": c.PerToken.Milliseconds(), "bypassed": c.Bypassed, "share": r.degraded,
	}).Info("Request expired in the queue.")
}

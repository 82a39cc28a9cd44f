package experiment

import (
	"fmt"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// Rule is a rule that a violation breaks.
type Rule string

// The rules.
const (
	// RuleTierOrder: no request is shed while one of a lower tier waits.
	RuleTierOrder Rule = "higher_tier_shed_before_lower"
	// RuleExpiry: a request expires only after its deadline.
	RuleExpiry Rule = "expired_before_deadline"
	// RuleWorkspaceLimit: a request is refused for its workspace's limit only if that
	// limit would be exceeded.
	RuleWorkspaceLimit Rule = "workspace_limit_not_met"
	// RuleKnownRequest: a command refers to a waiting request.
	RuleKnownRequest Rule = "command_for_request_not_waiting"
	// RuleGrantOnce: no grant ID is reused, and no request runs under two grants at
	// once.
	RuleGrantOnce Rule = "granted_twice"
	// RuleRelease: a released grant was granted and not released before.
	RuleRelease Rule = "release_without_grant"
	// RuleServerUp: only a server that is up gets grants.
	RuleServerUp Rule = "grant_to_server_not_up"
	// RuleUnresolved: an enqueued request is granted, shed, redirected or withdrawn.
	RuleUnresolved Rule = "request_forgotten"
	// RuleRunOnce: a request is at most once in all run logs together.
	RuleRunOnce Rule = "request_run_twice"
	// RuleNotRun: a request refused as not run is in no run log.
	RuleNotRun Rule = "not_run_but_ran"
	// RuleOneAnswer: each caller gets one final answer, which is its own complete one
	// or a typed refusal.
	RuleOneAnswer Rule = "caller_without_final_answer"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule   `json:"rule"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{
		RuleTierOrder, RuleExpiry, RuleWorkspaceLimit, RuleKnownRequest, RuleGrantOnce, RuleRelease,
		RuleServerUp, RuleUnresolved, RuleRunOnce, RuleNotRun, RuleOneAnswer,
	}
}

// waitingRequest is the checker's state of a waiting request.
type waitingRequest struct {
	tier      request.Tier
	workspace string
	limit     int
	entry     pool.EntryID
	expires   time.Time
}

// traceChecker replays a trace with its own state. It shares no code with the
// scheduler, so that a miscount in the scheduler cannot hide itself.
type traceChecker struct {
	waiting        map[request.ID]waitingRequest
	waitingByTier  [request.MaxTiers]int
	running        map[pool.GrantID]request.ID
	grantByRequest map[request.ID]pool.GrantID
	usedGrants     map[pool.GrantID]bool
	servers        map[string]bool
	health         map[string]pool.Health
	violations     []Violation
}

// CheckTrace replays a trace and returns its violations. complete means that the trace
// lasts until every caller got its answer.
func CheckTrace(records []TraceRecord, complete bool) []Violation {
	r := &traceChecker{
		waiting: map[request.ID]waitingRequest{}, running: map[pool.GrantID]request.ID{},
		grantByRequest: map[request.ID]pool.GrantID{}, usedGrants: map[pool.GrantID]bool{},
		servers: map[string]bool{}, health: map[string]pool.Health{},
	}
	for _, x := range records {
		r.handleEvent(x.At, x.Event)
		for _, c := range x.Commands {
			r.handleCommand(x.At, c)
		}
	}
	if complete {
		for id := range r.waiting {
			r.addViolation(RuleUnresolved, id, "still waits at the end")
		}
	}
	return r.violations
}

func (r *traceChecker) addViolation(rule Rule, id request.ID, format string, args ...any) {
	r.violations = append(r.violations, Violation{Rule: rule, Request: string(id), Detail: fmt.Sprintf(format, args...)})
}

func (r *traceChecker) handleEvent(now time.Time, ev pool.Event) {
	switch e := ev.(type) {
	case pool.Enqueue:
		r.removeWaiting(e.Request)
		r.waiting[e.Request] = waitingRequest{
			tier: e.Tier, workspace: e.Workspace, limit: e.MaxWaiting, entry: e.Entry, expires: now.Add(e.DeadlineIn),
		}
		r.waitingByTier[e.Tier]++
	case pool.Withdraw:
		r.removeWaiting(e.Request)
	case pool.Release:
		r.release(e)
	case pool.Running:
		r.running[e.Grant] = e.Request
		r.grantByRequest[e.Request] = e.Grant
	case pool.EntrySet:
		r.setEntries(e)
	case pool.EntryEnded:
		for id, w := range r.waiting {
			if w.entry == e.Entry {
				r.removeWaiting(id)
			}
		}
	case pool.ServerSet:
		r.servers = map[string]bool{}
		for _, s := range e.Servers {
			r.servers[s.Name] = true
		}
	case pool.ServerHealth:
		r.health[e.Server] = e.Health
	}
}

func (r *traceChecker) removeWaiting(id request.ID) (waitingRequest, bool) {
	w, ok := r.waiting[id]
	if ok {
		delete(r.waiting, id)
		r.waitingByTier[w.tier]--
	}
	return w, ok
}

func (r *traceChecker) setEntries(e pool.EntrySet) {
	alive := map[pool.EntryID]bool{}
	for _, id := range e.Entries {
		alive[id] = true
	}
	for id, w := range r.waiting {
		if !alive[w.entry] {
			r.removeWaiting(id)
		}
	}
}

func (r *traceChecker) release(e pool.Release) {
	id, ok := r.running[e.Grant]
	if !ok || id != e.Request {
		r.addViolation(RuleRelease, e.Request, "grant %v holds %q", e.Grant, id)
		return
	}
	delete(r.running, e.Grant)
	delete(r.grantByRequest, e.Request)
}

func (r *traceChecker) handleCommand(now time.Time, c pool.Command) {
	switch c := c.(type) {
	case pool.Grant:
		r.grant(c)
	case pool.Shed:
		r.shed(now, c)
	case pool.Redirect:
		if _, ok := r.removeWaiting(c.Request); !ok {
			r.addViolation(RuleKnownRequest, c.Request, "redirected to %s", c.Pool)
		}
	}
}

func (r *traceChecker) grant(c pool.Grant) {
	if _, ok := r.removeWaiting(c.Request); !ok {
		r.addViolation(RuleKnownRequest, c.Request, "granted %s", c.Server)
	}
	if r.usedGrants[c.Grant] {
		r.addViolation(RuleGrantOnce, c.Request, "grant id %v used before", c.Grant)
	}
	if other, ok := r.grantByRequest[c.Request]; ok {
		r.addViolation(RuleGrantOnce, c.Request, "runs under grant %v already", other)
	}
	if health, known := r.health[c.Server]; !r.servers[c.Server] || (known && health != pool.HealthUp) {
		r.addViolation(RuleServerUp, c.Request, "%s is in the set: %t, health %d", c.Server, r.servers[c.Server], health)
	}
	r.usedGrants[c.Grant] = true
	r.running[c.Grant] = c.Request
	r.grantByRequest[c.Request] = c.Grant
}

// shed checks a refusal by its reason. The pool's limit must shed the lowest tier
// first; any other reason must hold for the request itself.
func (r *traceChecker) shed(now time.Time, c pool.Shed) {
	sameTier := r.countWaiting(c.Request)
	w, ok := r.removeWaiting(c.Request)
	if !ok {
		r.addViolation(RuleKnownRequest, c.Request, "shed as %s", c.Reason)
		return
	}
	switch c.Reason {
	case request.ReasonShed:
		if lower, n := r.lowestWaitingTier(w.tier); n > 0 {
			r.addViolation(RuleTierOrder, c.Request, "tier %d shed while %d of tier %d waited", w.tier, n, lower)
		}
	case request.ReasonExpired:
		if now.Before(w.expires) {
			r.addViolation(RuleExpiry, c.Request, "%v before its deadline", w.expires.Sub(now))
		}
	case request.ReasonWorkspaceLimit:
		if w.limit == 0 || sameTier <= w.limit {
			r.addViolation(RuleWorkspaceLimit, c.Request, "%d wait, bound %d", sameTier, w.limit)
		}
	}
}

// lowestWaitingTier returns the lowest tier below the given one that has waiting
// requests, and their number.
func (r *traceChecker) lowestWaitingTier(above request.Tier) (tier request.Tier, waiting int) {
	for t := request.Tier(request.MaxTiers - 1); t > above; t-- {
		if r.waitingByTier[t] > 0 {
			return t, r.waitingByTier[t]
		}
	}
	return 0, 0
}

// countWaiting counts the waiting requests of the request's workspace and tier.
func (r *traceChecker) countWaiting(id request.ID) int {
	me, n := r.waiting[id], 0
	if me.limit == 0 {
		return 0
	}
	for _, w := range r.waiting {
		if w.tier == me.tier && w.workspace == me.workspace {
			n++
		}
	}
	return n
}

package experiment

import (
	"fmt"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// Rule is what a violation breaks.
type Rule string

// The rules.
const (
	// RuleTierOrder: no request is shed while one of a lower tier waits.
	RuleTierOrder Rule = "higher_tier_shed_before_lower"
	// RuleExpiry: a request expires only after its deadline.
	RuleExpiry Rule = "expired_before_deadline"
	// RuleWorkspaceLimit: a request is refused for its workspace's bound only
	// where that bound is met.
	RuleWorkspaceLimit Rule = "workspace_limit_not_met"
	// RuleKnownRequest: a command is about a request that waits.
	RuleKnownRequest Rule = "command_for_request_not_waiting"
	// RuleGrantOnce: no grant id is used twice, and no request runs under
	// two grants at once.
	RuleGrantOnce Rule = "granted_twice"
	// RuleRelease: what is released was granted and not yet released.
	RuleRelease Rule = "release_without_grant"
	// RuleServerUp: only a server that is up gets a grant.
	RuleServerUp Rule = "grant_to_server_not_up"
	// RuleForgotten: a request that was enqueued is granted, shed or withdrawn.
	RuleForgotten Rule = "request_forgotten"
	// RuleRunOnce: a request stands at most once in all run logs together.
	RuleRunOnce Rule = "request_run_twice"
	// RuleNotRun: a request refused as not run stands in no run log.
	RuleNotRun Rule = "not_run_but_ran"
	// RuleOneAnswer: each caller gets one final answer: its own whole one, or
	// a typed refusal.
	RuleOneAnswer Rule = "caller_without_final_answer"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule    Rule   `json:"rule"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// Rules returns every rule.
func Rules() []Rule {
	return []Rule{
		RuleTierOrder, RuleExpiry, RuleWorkspaceLimit, RuleKnownRequest, RuleGrantOnce, RuleRelease,
		RuleServerUp, RuleForgotten, RuleRunOnce, RuleNotRun, RuleOneAnswer,
	}
}

// waitingRequest is what the checker knows of one.
type waitingRequest struct {
	tier      request.Tier
	workspace string
	limit     int
	entry     pool.EntryID
	expires   time.Time
}

// replay follows a trace with its own books; it shares no code with the
// scheduler, so that an error in the scheduler's counts does not hide itself.
type replay struct {
	waiting    map[request.ID]waitingRequest
	byTier     [request.MaxTiers]int
	running    map[pool.GrantID]request.ID
	grantOf    map[request.ID]pool.GrantID
	used       map[pool.GrantID]bool
	servers    map[string]bool
	health     map[string]pool.Health
	violations []Violation
}

// CheckTrace replays a trace and returns what it violates. complete tells
// that the trace goes on until every caller had its answer.
func CheckTrace(records []Record, complete bool) []Violation {
	r := &replay{
		waiting: map[request.ID]waitingRequest{}, running: map[pool.GrantID]request.ID{},
		grantOf: map[request.ID]pool.GrantID{}, used: map[pool.GrantID]bool{},
		servers: map[string]bool{}, health: map[string]pool.Health{},
	}
	for _, x := range records {
		r.event(x.At, x.Event)
		for _, c := range x.Commands {
			r.command(x.At, c)
		}
	}
	if complete {
		for id := range r.waiting {
			r.violate(RuleForgotten, id, "still waits at the end")
		}
	}
	return r.violations
}

func (r *replay) violate(rule Rule, id request.ID, format string, args ...any) {
	r.violations = append(r.violations, Violation{Rule: rule, Request: string(id), Detail: fmt.Sprintf(format, args...)})
}

func (r *replay) event(now time.Time, ev pool.Event) {
	switch e := ev.(type) {
	case pool.Enqueue:
		r.forget(e.Request)
		r.waiting[e.Request] = waitingRequest{
			tier: e.Tier, workspace: e.Workspace, limit: e.MaxWaiting, entry: e.Entry, expires: now.Add(e.DeadlineIn),
		}
		r.byTier[e.Tier]++
	case pool.Withdraw:
		r.forget(e.Request)
	case pool.Release:
		r.release(e)
	case pool.Running:
		r.running[e.Grant] = e.Request
		r.grantOf[e.Request] = e.Grant
	case pool.EntrySet:
		r.entries(e)
	case pool.EntryEnded:
		for id, w := range r.waiting {
			if w.entry == e.Entry {
				r.forget(id)
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

func (r *replay) forget(id request.ID) (waitingRequest, bool) {
	w, ok := r.waiting[id]
	if ok {
		delete(r.waiting, id)
		r.byTier[w.tier]--
	}
	return w, ok
}

func (r *replay) entries(e pool.EntrySet) {
	alive := map[pool.EntryID]bool{}
	for _, id := range e.Entries {
		alive[id] = true
	}
	for id, w := range r.waiting {
		if !alive[w.entry] {
			r.forget(id)
		}
	}
}

func (r *replay) release(e pool.Release) {
	id, ok := r.running[e.Grant]
	if !ok || id != e.Request {
		r.violate(RuleRelease, e.Request, "grant %v holds %q", e.Grant, id)
		return
	}
	delete(r.running, e.Grant)
	delete(r.grantOf, e.Request)
}

func (r *replay) command(now time.Time, c pool.Command) {
	switch c := c.(type) {
	case pool.Grant:
		r.grant(c)
	case pool.Shed:
		r.shed(now, c)
	case pool.Redirect:
		if _, ok := r.forget(c.Request); !ok {
			r.violate(RuleKnownRequest, c.Request, "redirected to %s", c.Pool)
		}
	}
}

func (r *replay) grant(c pool.Grant) {
	if _, ok := r.forget(c.Request); !ok {
		r.violate(RuleKnownRequest, c.Request, "granted %s", c.Server)
	}
	if r.used[c.Grant] {
		r.violate(RuleGrantOnce, c.Request, "grant id %v used before", c.Grant)
	}
	if other, ok := r.grantOf[c.Request]; ok {
		r.violate(RuleGrantOnce, c.Request, "runs under grant %v already", other)
	}
	if health, known := r.health[c.Server]; !r.servers[c.Server] || (known && health != pool.HealthUp) {
		r.violate(RuleServerUp, c.Request, "%s is in the set: %t, health %d", c.Server, r.servers[c.Server], health)
	}
	r.used[c.Grant] = true
	r.running[c.Grant] = c.Request
	r.grantOf[c.Request] = c.Grant
}

// shed checks a refusal by its reason: a bound of the pool takes the lowest
// tier first; the other reasons must be true by themselves.
func (r *replay) shed(now time.Time, c pool.Shed) {
	inTier := r.waitingOf(c.Request)
	w, ok := r.forget(c.Request)
	if !ok {
		r.violate(RuleKnownRequest, c.Request, "shed as %s", c.Reason)
		return
	}
	switch c.Reason {
	case request.ReasonShed:
		if lower, n := r.lowest(w.tier); n > 0 {
			r.violate(RuleTierOrder, c.Request, "tier %d shed while %d of tier %d waited", w.tier, n, lower)
		}
	case request.ReasonExpired:
		if now.Before(w.expires) {
			r.violate(RuleExpiry, c.Request, "%v before its deadline", w.expires.Sub(now))
		}
	case request.ReasonWorkspaceLimit:
		if w.limit == 0 || inTier <= w.limit {
			r.violate(RuleWorkspaceLimit, c.Request, "%d wait, bound %d", inTier, w.limit)
		}
	}
}

// lowest returns the lowest tier below the given one of which requests wait.
func (r *replay) lowest(above request.Tier) (tier request.Tier, waiting int) {
	for t := request.Tier(request.MaxTiers - 1); t > above; t-- {
		if r.byTier[t] > 0 {
			return t, r.byTier[t]
		}
	}
	return 0, 0
}

// waitingOf counts the waiting requests of a request's workspace and tier.
func (r *replay) waitingOf(id request.ID) int {
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

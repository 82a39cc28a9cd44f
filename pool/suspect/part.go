package suspect

import (
	"math"
	"slices"
	"time"
)

// maxFinished is how many parts of prompts are known to have finished; the least recently
// finished are evicted.
const maxFinished = 8192

// chanceOfCrashes is how likely it may be, for a part that is confirmed, that its requests were
// lost as any others. maxCrashesNeeded bounds the crashes that this takes.
const (
	chanceOfCrashes  = 0.03
	maxCrashesNeeded = 5
)

// runCount counts how runs ended: with their whole answers, or lost with a server that crashed
// as their answers began.
type runCount struct{ finished, lost int }

// lostShare returns the share of the runs that were lost among those since an earlier count,
// at least one in a thousand and at most 999.
func (c runCount) lostShare(now runCount) float64 {
	lost, all := float64(now.lost-c.lost), float64(now.lost-c.lost+now.finished-c.finished)
	return min(max(lost/max(all, 1), 0.001), 0.999)
}

// RunFinished and RunLost count a run that ended.
func (r *Registry) RunFinished() { r.runs.finished++ }

// RunLost counts a run that was lost with a server that crashed as its answer began.
func (r *Registry) RunLost() { r.runs.lost++ }

// Scope tells in whose requests a part of prompts has crashed servers. The ids of parts are
// the callers' word, so that one workspace alone can't have another's requests refused.
type Scope struct {
	// Workspace is the only workspace; it means nothing if Several is set.
	Workspace string
	Several   bool
	known     bool
}

// ScopeOf returns the scope of one workspace's requests.
func ScopeOf(workspace string) Scope { return Scope{Workspace: workspace, known: true} }

// ScopeOfAll returns the scope of all workspaces' requests.
func ScopeOfAll() Scope { return Scope{Several: true, known: true} }

func (s Scope) merge(x Scope) Scope {
	switch {
	case !x.known:
		return s
	case !s.known:
		return x
	case s.Several || x.Several || s.Workspace != x.Workspace:
		return ScopeOfAll()
	}
	return s
}

func (s Scope) includes(workspace string) bool {
	return s.Several || s.known && s.Workspace == workspace
}

// Crash is the crash of a server, as a request met it that had begun there.
type Crash struct {
	Server    string // its incarnation
	Workspace string // of the request
	// SentAt is when the server got the request, LostAt when its answer was lost.
	SentAt, LostAt time.Time
}

// AddPartCrash records that a server has crashed under a part of a prompt. It reports whether
// the crash counts.
//
// Servers crash for other reasons, too, often many at once, and a part may be in every
// prompt. So of crashes that requests with the part met at the same time only one counts; none
// counts for a part that has finished since, or if another part explains it that finished less
// recently.
func (r *Registry) AddPartCrash(now time.Time, part uint64, c Crash) bool {
	if part == 0 || !c.LostAt.After(r.finishedAt(part)) || r.explained(part, c.Server) {
		return false
	}
	e, run := r.get(now, part), timeSpan{c.SentAt, c.LostAt}
	if e != nil && slices.ContainsFunc(e.runs, run.overlaps) {
		return false
	}
	if e == nil {
		e = r.add(now, part)
		e.part, e.runsBefore = true, r.runs
	}
	if !e.addCrash(c.Server) {
		return false
	}
	e.expires, e.runs = now.Add(r.rules.Retention), append(e.runs, run)
	e.scope = e.scope.merge(ScopeOf(c.Workspace))
	r.update(now, part, e)
	return true
}

// timeSpan is when a run was sent and lost.
type timeSpan struct{ from, to time.Time }

func (x timeSpan) overlaps(y timeSpan) bool { return x.from.Before(y.to) && y.from.Before(x.to) }

// Finish records that a run with a part has finished, which clears it. It reports whether the
// part was suspected.
func (r *Registry) Finish(now time.Time, part uint64) bool {
	if part == 0 {
		return false
	}
	r.finished.Add(part, now)
	return r.Clear(now, part)
}

// Refuses reports whether a workspace's requests with a part are confirmed to crash servers.
func (r *Registry) Refuses(now time.Time, part uint64, workspace string) bool {
	if r.confirmed[part] == nil {
		return false
	}
	e := r.get(now, part)
	return e != nil && e.state == Confirmed && e.scope.includes(workspace)
}

// HasFinished reports whether a run with a part has finished, as far as is known.
func (r *Registry) HasFinished(part uint64) bool { return r.finished.Contains(part) }

func (r *Registry) finishedAt(part uint64) time.Time {
	at, _ := r.finished.Peek(part)
	return at
}

// crashesNeeded returns the number of crashes that confirm an entry: for a part, more the more
// of all runs are lost meanwhile.
func (r *Registry) crashesNeeded(fingerprint uint64, e *entry) int {
	if !e.part {
		return r.rules.ConfirmAfter
	}
	needed := int(math.Ceil(math.Log(chanceOfCrashes) / math.Log(e.runsBefore.lostShare(r.runs))))
	if r.finished.Contains(fingerprint) {
		needed = max(needed, r.rules.ConfirmFinishedAfter)
	}
	return min(max(needed, r.rules.ConfirmAfter), maxCrashesNeeded)
}

// explained reports whether a confirmed part explains a crash better than this one.
func (r *Registry) explained(part uint64, server string) bool {
	for f, e := range r.confirmed {
		if e.part && f != part && r.finishedAt(f).Before(r.finishedAt(part)) && slices.Contains(e.crashes, server) {
			return true
		}
	}
	return false
}

// explain takes the crashes of a confirmed part from all others that finished more recently.
func (r *Registry) explain(part uint64, confirmed *entry) {
	for _, f := range r.entries.Keys() {
		e, _ := r.entries.Peek(f)
		if !e.part || f == part || !r.finishedAt(part).Before(r.finishedAt(f)) {
			continue
		}
		e.crashes = slices.DeleteFunc(e.crashes, func(server string) bool { return slices.Contains(confirmed.crashes, server) })
		withdrawn := e.state == Confirmed && len(e.crashes) < r.crashesNeeded(f, e)
		if withdrawn {
			r.withdrawn = append(r.withdrawn, f)
		}
		if withdrawn || len(e.crashes) == 0 {
			r.entries.Remove(f)
		}
	}
}

// TakeWithdrawn returns the parts whose verdicts were withdrawn since the last call, because
// another part explains their crashes.
func (r *Registry) TakeWithdrawn() []uint64 {
	out := r.withdrawn
	r.withdrawn = nil
	return out
}

// Package suspect tracks requests that may crash servers, by fingerprint. Under the
// default rules every request that ran on a server when it crashed becomes suspected. A
// suspected request runs alone: if its server crashes again it is confirmed, and if it
// finishes it is cleared.
//
// With Rules.ConfirmAfter, suspects run beside others. A fingerprint is confirmed when
// that many servers have crashed under it one after the other, and is cleared by a run
// that finishes. A confirmed one gets a few trials. The fingerprints of parts of prompts,
// which many requests share, follow the stricter rules of AddPartCrash.
//
// The number of entries is bounded, and they expire. A Registry is not safe for
// concurrent use.
package suspect

import (
	"iter"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// State is the state of a fingerprint.
type State uint8

// The states of a fingerprint, in ascending order of severity.
const (
	Clear State = iota
	Suspected
	Confirmed
)

const (
	// maxEntries is how many fingerprints are kept; the least recently used are
	// evicted.
	maxEntries = 4096
	// maxCrashes is how many crashed servers of a fingerprint are kept.
	maxCrashes = 32
	// trialWait is how long a trial may wait for a slot until another may wait.
	trialWait = 2 * time.Second
)

// trialDelays are the times from the confirmation to the first trial, and from each
// trial to the next.
var trialDelays = []time.Duration{10 * time.Second, time.Minute}

// Rules decide when a fingerprint is confirmed, and for how long.
type Rules struct {
	// Retention is how long an entry is kept after its last change.
	Retention time.Duration
	// ConfirmAfter is the number of servers that crash under a fingerprint, without a
	// finished run in between, after which it is confirmed; 0: Confirm alone does so.
	ConfirmAfter int
	// ConfirmFinishedAfter is the same for a part of prompts that a finished run held before.
	ConfirmFinishedAfter int
}

// Record is what is known of a fingerprint. Times are relative to the present.
type Record struct {
	State     State
	ExpiresIn time.Duration
	// Crashes names the incarnations of servers that have crashed under it.
	Crashes []string
	// Trials counts the trials since it was confirmed. The next one may run in TrialIn.
	Trials  int
	TrialIn time.Duration
	// Part is set for a part of prompts. Scope tells whose requests it crashes servers in.
	Part  bool
	Scope Scope
}

type entry struct {
	state   State
	expires time.Time
	crashes []string
	trials  int
	trialAt time.Time
	part    bool
	scope   Scope
	// runs are those that were lost in the crashes counted here, of a part.
	runs []timeSpan
	// runsBefore counts how runs had ended before its first crash.
	runsBefore runCount
}

// Registry holds the states of the fingerprints of one pool.
type Registry struct {
	entries *simplelru.LRU[uint64, *entry]
	// confirmed holds the confirmed ones among the entries.
	confirmed map[uint64]*entry
	// finished holds when runs with a part last finished.
	finished *simplelru.LRU[uint64, time.Time]
	runs     runCount
	// withdrawn holds parts whose verdicts were withdrawn, until TakeWithdrawn.
	withdrawn []uint64
	rules     Rules
}

// NewRegistry returns an empty registry.
func NewRegistry(rules Rules) *Registry {
	r := &Registry{rules: rules, confirmed: map[uint64]*entry{}}
	entries, err := simplelru.NewLRU(maxEntries, func(fingerprint uint64, _ *entry) { delete(r.confirmed, fingerprint) })
	if err != nil {
		panic(err) // fails only for a size below one
	}
	finished, err := simplelru.NewLRU[uint64, time.Time](maxFinished, nil)
	if err != nil {
		panic(err)
	}
	r.entries, r.finished = entries, finished
	return r
}

// get returns the entry of a fingerprint, or nil if there is none or it has expired.
// Zero is no fingerprint.
func (r *Registry) get(now time.Time, fingerprint uint64) *entry {
	if r.entries.Len() == 0 || fingerprint == 0 {
		return nil
	}
	e, ok := r.entries.Get(fingerprint)
	if !ok {
		return nil
	}
	if !now.Before(e.expires) {
		r.entries.Remove(fingerprint)
		return nil
	}
	return e
}

// add returns the entry of a fingerprint, which expires after the retention from now on.
func (r *Registry) add(now time.Time, fingerprint uint64) *entry {
	e := r.get(now, fingerprint)
	if e == nil {
		e = &entry{state: Suspected}
		r.entries.Add(fingerprint, e)
	}
	e.expires = now.Add(r.rules.Retention)
	return e
}

// State returns the state of a fingerprint. Zero is no fingerprint and always
// Clear.
func (r *Registry) State(now time.Time, fingerprint uint64) State {
	if e := r.get(now, fingerprint); e != nil {
		return e.state
	}
	return Clear
}

// Record returns what is known of a fingerprint.
func (r *Registry) Record(now time.Time, fingerprint uint64) Record {
	e := r.get(now, fingerprint)
	if e == nil {
		return Record{}
	}
	return e.record(now)
}

func (e *entry) record(now time.Time) Record {
	out := Record{
		State: e.state, ExpiresIn: e.expires.Sub(now), Crashes: slices.Clone(e.crashes), Trials: e.trials, Part: e.part, Scope: e.scope,
	}
	if e.state == Confirmed && len(e.crashes) > 0 {
		out.TrialIn = max(0, e.trialAt.Sub(now))
	}
	return out
}

// All returns the fingerprints that are not clear.
func (r *Registry) All(now time.Time) iter.Seq2[uint64, Record] {
	return func(yield func(uint64, Record) bool) {
		for _, f := range r.entries.Keys() {
			if e, _ := r.entries.Peek(f); now.Before(e.expires) && !yield(f, e.record(now)) {
				return
			}
		}
	}
}

// RetryIn returns when a request with a confirmed fingerprint may run again: at its next
// trial or, if there is none, when it expires.
func (r *Registry) RetryIn(now time.Time, fingerprint uint64) time.Duration {
	e := r.get(now, fingerprint)
	switch {
	case e == nil:
		return 0
	case r.rules.ConfirmAfter > 0 && e.trials < len(trialDelays):
		return max(0, e.trialAt.Sub(now))
	default:
		return e.expires.Sub(now)
	}
}

// MarkSuspected makes a clear fingerprint suspected. It reports whether the state
// changed.
func (r *Registry) MarkSuspected(now time.Time, fingerprint uint64) bool {
	if fingerprint == 0 || r.State(now, fingerprint) != Clear {
		return false
	}
	r.add(now, fingerprint)
	return true
}

// Confirm makes a fingerprint confirmed.
func (r *Registry) Confirm(now time.Time, fingerprint uint64) {
	if fingerprint != 0 {
		e := r.add(now, fingerprint)
		e.state = Confirmed
		r.confirmed[fingerprint] = e
	}
}

// AnyConfirmed reports whether a fingerprint is confirmed, or was until it expired.
func (r *Registry) AnyConfirmed() bool { return len(r.confirmed) > 0 }

// AddCrash records that a server has crashed under a fingerprint. It reports whether
// that is new.
func (r *Registry) AddCrash(now time.Time, fingerprint uint64, server string) bool {
	if fingerprint == 0 {
		return false
	}
	e := r.add(now, fingerprint)
	if !e.addCrash(server) {
		return false
	}
	r.update(now, fingerprint, e)
	return true
}

func (e *entry) addCrash(server string) bool {
	if slices.Contains(e.crashes, server) || len(e.crashes) >= maxCrashes {
		return false
	}
	e.crashes = append(e.crashes, server)
	return true
}

// update confirms an entry with enough crashes.
func (r *Registry) update(now time.Time, fingerprint uint64, e *entry) {
	if e.state != Confirmed && r.rules.ConfirmAfter > 0 && len(e.crashes) >= r.crashesNeeded(fingerprint, e) {
		e.state, e.trialAt = Confirmed, now.Add(trialDelays[0])
	}
	r.indexConfirmed(fingerprint, e)
}

func (r *Registry) indexConfirmed(fingerprint uint64, e *entry) {
	if e.state != Confirmed {
		return
	}
	r.confirmed[fingerprint] = e
	if e.part {
		r.explain(fingerprint, e)
	}
}

// BeginTrial reports whether a request with a confirmed fingerprint may wait for a slot as
// a trial. No other one may do so until trialWait has passed.
func (r *Registry) BeginTrial(now time.Time, fingerprint uint64) bool {
	if !r.TrialDue(now, fingerprint) {
		return false
	}
	r.get(now, fingerprint).trialAt = now.Add(trialWait)
	return true
}

// TrialDue reports whether a trial of a confirmed fingerprint may begin.
func (r *Registry) TrialDue(now time.Time, fingerprint uint64) bool {
	e := r.get(now, fingerprint)
	return e != nil && e.state == Confirmed && r.rules.ConfirmAfter > 0 && e.trials < len(trialDelays) && !now.Before(e.trialAt)
}

// CountTrial records that a trial has got its slot.
func (r *Registry) CountTrial(now time.Time, fingerprint uint64) {
	e := r.get(now, fingerprint)
	if e == nil {
		return
	}
	e.trials++
	if e.trials < len(trialDelays) {
		e.trialAt = now.Add(trialDelays[e.trials])
	}
}

// Clear clears a fingerprint whose request finished. Unless crashes are counted, a
// confirmed one stays confirmed: a run that ends without a crash does not disprove an
// earlier one. Clear reports whether the state changed.
func (r *Registry) Clear(now time.Time, fingerprint uint64) bool {
	switch r.State(now, fingerprint) {
	case Clear:
		return false
	case Confirmed:
		if r.rules.ConfirmAfter == 0 {
			return false
		}
	}
	r.entries.Remove(fingerprint)
	return true
}

// Merge merges what another pool knows of a fingerprint. The more severe state wins,
// except that Clear clears as a finished run does. The time until it expires is capped
// at the registry's retention.
func (r *Registry) Merge(now time.Time, fingerprint uint64, x Record) {
	if fingerprint == 0 {
		return
	}
	if x.State == Clear {
		if x.Part {
			r.Finish(now, fingerprint)
		} else {
			r.Clear(now, fingerprint)
		}
		return
	}
	expires := now.Add(min(x.ExpiresIn, r.rules.Retention))
	e := r.get(now, fingerprint)
	if e == nil {
		e = &entry{}
		r.entries.Add(fingerprint, e)
	}
	if x.Part && !e.part {
		e.part, e.runsBefore = true, r.runs
	}
	e.scope = e.scope.merge(x.Scope)
	for _, server := range x.Crashes {
		e.addCrash(server)
	}
	trialAt := now.Add(x.TrialIn)
	switch {
	case x.State > e.state:
		e.state, e.expires, e.trials, e.trialAt = x.State, expires, x.Trials, trialAt
	case x.State == e.state && expires.After(e.expires):
		e.expires = expires
	}
	if x.Trials > e.trials {
		e.trials, e.trialAt = x.Trials, trialAt
	}
	if e.part {
		r.indexConfirmed(fingerprint, e) // whether it finished before is known where it crashed
		return
	}
	r.update(now, fingerprint, e)
}

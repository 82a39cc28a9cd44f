package streamversion

import (
	"slices"
	"time"
)

// span is a time, relative to the take-up of a stream.
type span struct{ from, to time.Duration }

// evidence is what one daemon knows of a stream.
type evidence struct {
	// version began the stream; valid if known is set. It may be ambiguous.
	version string
	known   bool
	// versions are those that its service had lately, as far as this daemon knows, which has
	// observed the servers for this long.
	versions    []string
	observedFor time.Duration
	// proofAge is the age of the newest proof of its list of servers; valid if proved is set.
	proofAge time.Duration
	proved   bool
	// observed is when this daemon has surely known all versions; valid if proved is set.
	observed span
}

// observe sets when the daemon has observed the servers: its evidence was taken between two
// times relative to the take-up.
func (e *evidence) observe(earliest, latest time.Duration) {
	e.observed = span{from: latest - min(e.observedFor, versionMemory), to: earliest - e.proofAge}
}

// verdict is what follows from all evidence. A lower one is overruled by a higher one.
type verdict uint8

const (
	// unknown: nobody knows the stream, and several versions could have begun it.
	unknown verdict = iota
	// unproved: nobody knows the stream, and another version than the one that all daemons
	// have seen may have begun it since the newest proof.
	unproved
	// soleSeen: nobody knows the stream, and a single version is there, but no daemons have
	// observed the servers for as long as the stream may be old.
	soleSeen
	// sole: nobody knows the stream, but a single version could have begun it.
	sole
	// recorded: a daemon has a record of the stream.
	recorded
)

// verdicts are all of them.
var verdicts = []verdict{unknown, unproved, soleSeen, sole, recorded}

// String returns the verdict's name in logs and metrics.
func (v verdict) String() string {
	switch v {
	case unproved:
		return "unproved"
	case soleSeen:
		return "sole_in_archive"
	case sole:
		return "sole"
	case recorded:
		return "recorded"
	default:
		return "unknown"
	}
}

// decide returns the version that began a stream, which is no older than life.
func decide(all []evidence, life time.Duration) (string, verdict) {
	version, v, contradicted := "", unknown, false
	for _, e := range all {
		switch {
		case !e.known:
		case v == recorded && version != e.version, e.version == ambiguous:
			contradicted = true
		default:
			version, v = e.version, recorded
		}
	}
	if contradicted {
		return "", unknown
	}
	if v == recorded {
		return version, v
	}
	return soleVersion(all, life)
}

// soleVersion returns the only version that any daemon knows of, and whether another one can
// have begun a stream no older than life.
func soleVersion(all []evidence, life time.Duration) (string, verdict) {
	version, found := "", false
	for _, e := range all {
		for _, other := range e.versions {
			if found && other != version {
				return "", unknown
			}
			version, found = other, true
		}
	}
	switch from, ok := observedUntilNow(all); {
	case !ok:
		return "", unproved
	case !found:
		return "", unknown
	case from > -life:
		return version, soleSeen
	default:
		return version, sole
	}
}

// observedUntilNow returns since when daemons have observed the servers, without a gap, until
// the take-up; false: none has a proof from after it.
func observedUntilNow(all []evidence) (from time.Duration, ok bool) {
	spans := make([]span, 0, len(all))
	for _, e := range all {
		if e.proved && e.observed.from <= e.observed.to {
			spans = append(spans, e.observed)
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return int(b.to - a.to) })
	for _, s := range spans {
		if s.to < from {
			break
		}
		from, ok = min(from, s.from), true
	}
	return from, ok
}

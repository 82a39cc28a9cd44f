package streamversion

import "time"

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
}

// verdict is what follows from all evidence. A lower one is overruled by a higher one.
type verdict uint8

const (
	// unknown: nobody knows the stream, and several versions could have begun it.
	unknown verdict = iota
	// soleSeen: nobody knows the stream, and all daemons have seen a single version, but
	// none for as long as the stream may be old.
	soleSeen
	// sole: nobody knows the stream, but a single version could have begun it.
	sole
	// recorded: a daemon has a record of the stream.
	recorded
)

// String returns the verdict's name in logs and metrics.
func (v verdict) String() string {
	switch v {
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

// soleVersion returns the only version that any daemon knows of.
func soleVersion(all []evidence, life time.Duration) (string, verdict) {
	version, found, v := "", false, soleSeen
	for _, e := range all {
		for _, other := range e.versions {
			if found && other != version {
				return "", unknown
			}
			version, found = other, true
		}
		if e.observedFor >= life {
			v = sole
		}
	}
	if !found {
		return "", unknown
	}
	return version, v
}

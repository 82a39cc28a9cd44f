package streamversion

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// maxLoggedIDBytes bounds what a log line holds of an id that a caller chose.
const maxLoggedIDBytes = 64

// logLookup logs who was asked for the version of a stream, what each knew, how old each list of
// servers was, and what followed.
func (k *Keeper) logLookup(l *lookup, version string, v verdict) {
	f := logrus.Fields{
		"stream": fmt.Sprintf("%016x", uint64(l.stream.key())), "resumes": l.stream.Request[:min(len(l.stream.Request), maxLoggedIDBytes)],
		"service": l.stream.Service, "verdict": v.String(), "own": l.own.String(), "took_ms": k.cfg.Now().Sub(l.started).Milliseconds(),
	}
	if version != "" {
		f["version"] = version
	}
	if len(l.answers) > 0 {
		answers := make([]string, 0, len(l.answers))
		for _, a := range l.answers {
			answers = append(answers, a.of+": "+a.evidence.String())
		}
		f["answers"] = answers
	}
	if len(l.unanswered) > 0 {
		f["unanswered"] = l.unanswered
	}
	k.log.WithFields(f).Info("Stream is taken up.")
}

// String returns the evidence as logs show it.
func (e evidence) String() string {
	record := "no record"
	switch {
	case e.known && e.version == ambiguous:
		record = "several records"
	case e.known:
		record = "record of " + e.version
	}
	proof := "never proved"
	if e.proved {
		proof = fmt.Sprintf("proved %dms ago", e.proofAge.Milliseconds())
	}
	return fmt.Sprintf("%s, versions [%s] for %ds, %s", record, strings.Join(e.versions, " "), int(e.observedFor/time.Second), proof)
}

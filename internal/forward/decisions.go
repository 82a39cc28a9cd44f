package forward

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/request"
)

// trail is what an exchange remembers for the one line that tells its end.
type trail struct {
	waited time.Duration // for slots, all together
	first  time.Duration // from the request to its first event or answer
	events int
	canary string   // the new version to which the last send went; empty: the stable one
	tries  []string // the sends before the last, with their end
}

// maxTries bounds the sends that a line tells.
const maxTries = 8

// note remembers how a send ended.
func (t *trail) note(server, cause string, took time.Duration) {
	if len(t.tries) < maxTries {
		t.tries = append(t.tries, fmt.Sprintf("%s %s after %dms", server, cause, took.Milliseconds()))
	}
}

// fields are the inputs of a request's decisions: what it asked, by which
// version of the configuration, proved how long ago, and how it went.
func (x *exchange) fields() logrus.Fields {
	f := x.asked()
	if x.table != nil {
		f["proof_ms"] = x.server.deps.Admission.ProofAge().Milliseconds()
		if lost := x.server.deps.Admission.StoreLost(); lost > 0 {
			f["store_lost_ms"] = lost.Milliseconds()
		}
	}
	if x.spec != nil {
		f["waited_ms"] = x.trail.waited.Milliseconds()
		f["cost"] = x.cost
	}
	if x.out != nil && x.out.serverID != "" {
		f["server"] = x.out.serverID
	}
	if x.trail.canary != "" {
		f["canary_version"] = x.trail.canary
	}
	if len(x.trail.tries) > 0 {
		f["tries"] = x.trail.tries
	}
	return f
}

func (x *exchange) logSend(err error) {
	x.server.log.WithFields(x.fields()).WithField("cause", causeOf(err)).WithError(err).Info("Send failed.")
}

func (x *exchange) logRefusal(r *request.Refusal) {
	x.running.end()
	x.server.log.WithFields(x.fields()).WithFields(logrus.Fields{
		"reason": r.Reason, "not_run": r.NotRun.JSON(), "status": x.status, "retry_after_ms": r.RetryAfter.Milliseconds(),
	}).WithError(r).Info("Refused.")
}

// logAnswer tells the end of an answer; err is why a stream was cut.
func (x *exchange) logAnswer(err error) {
	x.running.end()
	l := x.server.log.WithFields(x.fields()).WithFields(logrus.Fields{
		"status": x.status, "first_ms": x.trail.first.Milliseconds(), "events": x.trail.events,
	})
	if err != nil {
		l.WithError(err).Info("Stream cut.")
		return
	}
	x.server.count.answered.Add(1)
	x.server.count.total.Observe(time.Since(x.received))
	l.Info("Answered.")
}

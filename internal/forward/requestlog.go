package forward

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/request"
)

// requestHistory is what an exchange remembers for the one line that tells its end.
type requestHistory struct {
	slotWait      time.Duration // for slots, all together
	firstEvent    time.Duration // from the request to its first event or answer
	events        int
	canaryVersion string   // the new version to which the last send went; empty: the stable one
	failedSends   []string // the sends before the last, with their end
}

// maxLoggedSends bounds the sends that a line tells.
const maxLoggedSends = 8

// recordFailedSend remembers how a send ended.
func (t *requestHistory) recordFailedSend(server, cause string, elapsed time.Duration) {
	if len(t.failedSends) < maxLoggedSends {
		t.failedSends = append(t.failedSends, fmt.Sprintf("%s %s after %dms", server, cause, elapsed.Milliseconds()))
	}
}

// logFields are the inputs of a request's decisions: what it asked, by which
// version of the configuration, proved how long ago, and how it went.
func (x *exchange) logFields() logrus.Fields {
	f := x.requestFields()
	if x.table != nil {
		f["proof_ms"] = x.server.deps.Admission.ProofAge().Milliseconds()
		if lost := x.server.deps.Admission.StoreLost(); lost > 0 {
			f["store_lost_ms"] = lost.Milliseconds()
		}
	}
	if x.spec != nil {
		f["waited_ms"] = x.history.slotWait.Milliseconds()
		f["cost"] = x.quotaCost
	}
	if x.outbound != nil && x.outbound.serverID != "" {
		f["server"] = x.outbound.serverID
	}
	if x.history.canaryVersion != "" {
		f["canary_version"] = x.history.canaryVersion
	}
	if len(x.history.failedSends) > 0 {
		f["tries"] = x.history.failedSends
	}
	return f
}

func (x *exchange) logFailedSend(err error) {
	x.server.log.WithFields(x.logFields()).WithField("cause", sendErrorCause(err)).WithError(err).Info("Send failed.")
}

func (x *exchange) logRefusal(r *request.Refusal) {
	x.runningLog.stop()
	x.server.log.WithFields(x.logFields()).WithFields(logrus.Fields{
		"reason": r.Reason, "not_run": r.NotRun.JSON(), "status": x.status, "retry_after_ms": r.RetryAfter.Milliseconds(),
	}).WithError(r).Info("Refused.")
}

// logAnswer tells the end of an answer; err is why a stream was cut.
func (x *exchange) logAnswer(err error) {
	x.runningLog.stop()
	l := x.server.log.WithFields(x.logFields()).WithFields(logrus.Fields{
		"status": x.status, "first_ms": x.history.firstEvent.Milliseconds(), "events": x.history.events,
	})
	if err != nil {
		l.WithError(err).Info("Stream cut.")
		return
	}
	x.server.counters.answered.Add(1)
	x.server.counters.totalTime.Observe(time.Since(x.receivedAt))
	l.Info("Answered.")
}

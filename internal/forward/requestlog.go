package forward

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/request"
)

// requestHistory is what the log line at the end of a request reports.
type requestHistory struct {
	slotWait      time.Duration // total of all waits for slots
	firstEvent    time.Duration // from the request's arrival to its first event or its answer
	events        int
	canaryVersion string   // the new version that the last send went to; empty for the stable one
	failedSends   []string // the first maxLoggedSends failed sends, with cause and time
	peer          string   // through which the last send went; empty: direct
	serverVersion string   // of the server of the last send
	writeFailed   bool     // a write of a stream to the caller failed
}

// maxLoggedSends bounds the failed sends that a line lists.
const maxLoggedSends = 8

// maxLoggedParts bounds the parts of a prompt that a line lists.
const maxLoggedParts = 16

// recordFailedSend records how a send failed.
func (t *requestHistory) recordFailedSend(server, cause string, elapsed time.Duration) {
	if len(t.failedSends) < maxLoggedSends {
		t.failedSends = append(t.failedSends, fmt.Sprintf("%s %s after %dms (%s)", server, cause, elapsed.Milliseconds(), t.serverVersion))
	}
}

// logFields returns the inputs of the decisions about a request (what it asked for, the
// version of the configuration and the age of its proof) and how it went.
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
		f["server"], f["server_version"] = x.outbound.serverID, x.history.serverVersion
	}
	if x.history.peer != "" {
		f["through"] = x.history.peer
	}
	if x.history.canaryVersion != "" {
		f["canary_version"] = x.history.canaryVersion
	}
	if len(x.history.failedSends) > 0 {
		f["tries"] = x.history.failedSends
	}
	if x.history.writeFailed {
		f["write_failed"] = true
	}
	return f
}

func (x *exchange) logFailedSend(err error) {
	f := x.logFields()
	if x.spec != nil && len(x.spec.Parts) > 0 {
		f["parts"] = logs.Fingerprints(x.spec.Parts[:min(maxLoggedParts, len(x.spec.Parts))])
	}
	x.server.log.WithFields(f).WithField("cause", sendErrorCause(err)).WithError(err).Info("Send failed.")
}

// logMalformed logs and counts what of an attempt's answer could not be read: its head, or an
// event of its stream. It does nothing if the answer was lost otherwise.
func (x *exchange) logMalformed(a *attempt, lost error) {
	var event *eventError
	var head *httpconn.HeadError
	switch {
	case errors.As(lost, &event):
		x.server.counters.malformedEvents[event.fault].Add(1)
		x.logServer(a).WithFields(logrus.Fields{"fault": string(event.fault), "after_event": event.after}).WithError(event).Warn("Malformed event.")
	case errors.As(lost, &head):
		x.server.counters.malformedHeads[head.Fault].Add(1)
		x.logServer(a).WithFields(logrus.Fields{"fault": string(head.Fault), "line": head.Line}).WithError(head).Warn("Malformed head.")
	}
}

// logServer returns the log entry for what the server of an attempt did.
func (x *exchange) logServer(a *attempt) *logrus.Entry {
	s := a.grant.Server()
	return x.server.log.WithFields(x.requestFields()).WithFields(logrus.Fields{"server": s.Name, "server_version": s.Version})
}

func (x *exchange) logRefusal(r *request.Refusal) {
	x.runningLog.stop()
	x.server.log.WithFields(x.logFields()).WithFields(logrus.Fields{
		"reason": r.Reason, "not_run": r.NotRun.JSON(), "status": x.status, "retry_after_ms": r.RetryAfter.Milliseconds(),
	}).WithError(r).Info("Refused.")
}

// logAnswer logs the end of an answer. err is why a stream was cut; nil if it was not.
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

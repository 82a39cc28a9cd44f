package forward

import (
	"time"

	"github.com/sirupsen/logrus"
)

// takeRetry takes a retry from the budget of the request's service. It reports whether
// one was left.
func (x *exchange) takeRetry() bool {
	c := x.server.counters
	if !x.server.deps.Budget(x.service).Take() {
		c.retriesDenied.Add(1)
		x.logRetry().Info("Retry denied.")
		return false
	}
	c.retriesAllowed.Add(1)
	x.retryAllowedAt = time.Now()
	x.logRetry().Info("Retry allowed.")
	return true
}

// recordRetrySent notes that a send of the request starts. It does nothing for the first one.
func (x *exchange) recordRetrySent() {
	if x.attempts.Sends() == 0 {
		return
	}
	waited := time.Since(x.retryAllowedAt)
	x.server.counters.retriesSent.Add(1)
	x.server.counters.retryWait.Observe(waited)
	x.logRetry().WithFields(logrus.Fields{"server": x.outbound.serverID, "since_allowed_ms": waited.Milliseconds()}).Info("Retry sent.")
}

// logRetry returns the log entry for a decision on a retry.
func (x *exchange) logRetry() *logrus.Entry {
	return x.server.log.WithFields(x.requestFields()).WithFields(logrus.Fields{
		"sends": x.attempts.Sends(), "retries_left": x.server.deps.Budget(x.service).Left(),
	})
}

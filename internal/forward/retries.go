package forward

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/request"
)

// reserveRetry reserves a retry in the budget of the request's service, unless the request
// has one. It reports whether one was left.
func (x *exchange) reserveRetry() bool {
	if x.retryReserved {
		return true
	}
	now := time.Now()
	if !x.server.deps.Budget(x.service).Reserve(now) {
		x.server.counters.retriesDenied.Add(1)
		x.logRetry().Info("Retry denied.")
		return false
	}
	x.retryReserved, x.retryReservedAt = true, now
	x.server.counters.retriesAllowed.Add(1)
	x.logRetry().Info("Retry allowed.")
	return true
}

// chargeRetry charges the request's retry, directly before its first byte is sent. It does
// nothing for the first send. The returned error is a refusal.
func (x *exchange) chargeRetry() error {
	if x.attempts.Sends() == 0 {
		return nil
	}
	if !x.reserveRetry() {
		return x.noRetryLeft(errNoRetryLeft)
	}
	waited := time.Since(x.retryReservedAt)
	x.retryReserved = false
	c, l := x.server.counters, x.logRetry().WithField("since_allowed_ms", waited.Milliseconds())
	if !x.server.deps.Budget(x.service).Send(time.Now()) {
		c.retriesWithdrawn.Add(1)
		l.Info("Retry withdrawn.")
		return x.noRetryLeft(errNoRetryLeft)
	}
	c.retriesSent.Add(1)
	c.retryWait.Observe(waited)
	l.WithFields(logrus.Fields{"server": x.outbound.serverID, "server_version": x.history.serverVersion}).Info("Retry sent.")
	return nil
}

// releaseRetry returns a reserved retry that will not be sent.
func (x *exchange) releaseRetry() {
	if x.retryReserved {
		x.retryReserved = false
		x.server.deps.Budget(x.service).Release()
	}
}

func (x *exchange) noRetryLeft(cause error) *request.Refusal {
	return x.newRefusal(request.ReasonEngineRefused, "no retry is left: %v", cause)
}

// logRetry returns the log entry for a decision on a retry.
func (x *exchange) logRetry() *logrus.Entry {
	left := x.server.deps.Budget(x.service).Left(time.Now())
	return x.server.log.WithFields(x.requestFields()).WithFields(logrus.Fields{"sends": x.attempts.Sends(), "retries_left": left})
}

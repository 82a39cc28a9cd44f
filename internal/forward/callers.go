package forward

import (
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/internal/logs"
)

// accountEvents returns what counts and logs the callers that give way to others.
func (s *Server) accountEvents() callermem.Events {
	c := s.counters
	return callermem.Events{
		IdleClosed: s.givesWay(c.connectionsClosedIdle, "Idle connection closed."),
		SlowClosed: s.givesWay(c.connectionsClosedSlow, "Connection of a stalled caller closed."),
		Evicted:    s.givesWay(c.requestsEvicted, "Request evicted."),
		Refused:    s.givesWay(c.connectionsRefused, "Connection refused."),
	}
}

// givesWay returns a function that counts an event, and logs it once a second at most.
func (s *Server) givesWay(counter *expvar.Int, message string) func() {
	limiter := logs.NewLimiter(1)
	return func() {
		counter.Add(1)
		if omitted, ok := limiter.Allow(time.Now()); ok {
			s.log.WithFields(logrus.Fields{"omitted": omitted}).Info(message)
		}
	}
}

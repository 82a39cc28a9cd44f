package gateway

import (
	"maps"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/discovery"
)

// Sources of what a daemon knows of servers, for the log; another daemon that has sent it is
// the source by its name.
const (
	fromStore  = "store"
	fromAnswer = "answer" // of the server, to a request that this daemon sent
	fromExpiry = "expiry" // of the time for which the store may lack an entry after an outage
)

// logServers logs which servers registered, restarted, began to leave or are gone. The first
// time it logs only their number, which may be thousands.
func (s *state) logServers(changes []serverChange) {
	if s.usable.Load() == nil {
		s.log.WithFields(logrus.Fields{"servers": len(s.built.servers), "revision": s.serversRevision.Revision()}).Info("Servers loaded.")
		return
	}
	for _, c := range changes {
		if c.was && c.is && c.before.Incarnation() != c.after.Incarnation() {
			s.changeLog(c).WithField("before", c.before.Incarnation()).Info("Server restarted.")
		}
		switch {
		case !c.is:
			s.log.WithFields(logrus.Fields{"server": c.id, "from": c.from, "revision": s.serversRevision.Revision()}).Info("Server is gone.")
		case c.after.Leaving && !(c.was && c.before.Leaving):
			s.changeLog(c).Info("Server is leaving.")
		case !c.was:
			s.changeLog(c).Info("Server registered.")
		}
	}
}

// logInvalid logs and counts the entries that have become malformed, or are malformed for a
// new reason.
func (s *state) logInvalid(invalid []discovery.Server) {
	maps.DeleteFunc(s.invalidReasons, func(id, _ string) bool {
		x, known := s.directory.Get(id)
		return !known || x.InvalidReason == ""
	})
	for _, x := range invalid {
		if s.invalidReasons[x.ID] == x.InvalidReason {
			continue
		}
		s.invalidReasons[x.ID] = x.InvalidReason
		s.invalidEntries.Add(1)
		s.log.WithFields(logrus.Fields{"server": x.ID, "reason": x.InvalidReason, "revision": x.Revision.Revision()}).Warn("Server entry is malformed.")
	}
}

// changeLog returns an entry with the server after a change, and from whom it is known.
func (s *state) changeLog(c serverChange) *logrus.Entry {
	x := c.after
	return s.log.WithFields(logrus.Fields{"server": x.ID, "service": x.Service, "version": x.Version, "address": x.Address, "incarnation": x.Incarnation(), "from": c.from, "revision": s.serversRevision.Revision()})
}

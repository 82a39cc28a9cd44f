package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/discovery"
)

// logServers logs which servers registered, restarted, began to leave or are gone. The first
// time it logs only their number, which may be thousands.
func (s *state) logServers(servers []discovery.Server) {
	known := make(map[string]string, len(servers))
	for _, x := range servers {
		known[x.ID] = x.Incarnation()
	}
	defer func() { s.incarnations = known }()
	prev := s.usable.Load()
	if prev == nil {
		s.log.WithFields(logrus.Fields{"servers": len(servers), "revision": s.serversRevision}).Info("Servers loaded.")
		return
	}
	for _, x := range servers {
		prevUse, ok := (*prev)[x.ID]
		if ok && s.incarnations[x.ID] != known[x.ID] {
			s.serverLog(x).WithField("before", s.incarnations[x.ID]).Info("Server restarted.")
		}
		switch {
		case !ok && !x.Leaving:
			s.serverLog(x).Info("Server registered.")
		case ok && !prevUse.leaving && x.Leaving, !ok && x.Leaving:
			s.serverLog(x).Info("Server is leaving.")
		}
	}
	for id := range *prev {
		if _, present := known[id]; !present {
			s.log.WithFields(logrus.Fields{"server": id, "revision": s.serversRevision}).Info("Server is gone.")
		}
	}
}

// logInvalid logs and counts the entries that have become malformed, or are malformed for a
// new reason.
func (s *state) logInvalid(entries []discovery.Server) {
	now := make(map[string]string, len(entries))
	for _, x := range entries {
		now[x.ID] = x.InvalidReason
		if s.invalidReasons[x.ID] == x.InvalidReason {
			continue
		}
		s.invalidEntries.Add(1)
		s.log.WithFields(logrus.Fields{"server": x.ID, "reason": x.InvalidReason, "revision": x.Revision}).Warn("Server entry is malformed.")
	}
	s.invalidReasons = now
}

func (s *state) serverLog(x discovery.Server) *logrus.Entry {
	return s.log.WithFields(logrus.Fields{"server": x.ID, "service": x.Service, "version": x.Version, "address": x.Address, "incarnation": x.Incarnation(), "revision": s.serversRevision})
}

package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/discovery"
)

// logServers tells which servers came, started again, began to leave, or went; at first only
// how many there are, or thousands of lines would tell what the store lists.
func (s *state) logServers(servers []discovery.Server) {
	known := make(map[string]string, len(servers))
	for _, x := range servers {
		known[x.ID] = x.Incarnation()
	}
	defer func() { s.incarnations = known }()
	prev := s.usable.Load()
	if prev == nil {
		s.log.WithFields(logrus.Fields{"servers": len(servers), "revision": s.serversRevision}).Info("Servers are there.")
		return
	}
	for _, x := range servers {
		prevUse, ok := (*prev)[x.ID]
		if ok && s.incarnations[x.ID] != known[x.ID] {
			s.serverLog(x).WithField("before", s.incarnations[x.ID]).Info("Server has started again.")
		}
		switch {
		case !ok && !x.Leaving:
			s.serverLog(x).Info("Server is there.")
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

// logInvalid tells and counts the entries that have become malformed, or are so for
// another reason now.
func (s *state) logInvalid(entries []discovery.Server) {
	now := make(map[string]string, len(entries))
	for _, x := range entries {
		now[x.ID] = x.InvalidReason
		if s.invalidReasons[x.ID] == x.InvalidReason {
			continue
		}
		s.invalidEntries.Add(1)
		s.log.WithFields(logrus.Fields{"server": x.ID, "reason": x.InvalidReason, "revision": x.Revision}).Warn("Server's entry is malformed.")
	}
	s.invalidReasons = now
}

func (s *state) serverLog(x discovery.Server) *logrus.Entry {
	return s.log.WithFields(logrus.Fields{"server": x.ID, "service": x.Service, "version": x.Version, "address": x.Address, "incarnation": x.Incarnation(), "revision": s.serversRevision})
}

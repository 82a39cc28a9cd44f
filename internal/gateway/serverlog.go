package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/discovery"
)

// logServers tells which servers came, began to leave, or went; at first only
// how many there are, or thousands of lines would tell what the store lists.
func (s *state) logServers(servers []discovery.Server) {
	before := s.usable.Load()
	if before == nil {
		s.log.WithFields(logrus.Fields{"servers": len(servers), "revision": s.serversRevision}).Info("Servers are there.")
		return
	}
	known := make(map[string]bool, len(servers))
	for _, x := range servers {
		known[x.ID] = true
		was, ok := (*before)[x.ID]
		switch {
		case !ok && !x.Leaving:
			s.logServer(x).Info("Server is there.")
		case was && x.Leaving, !ok && x.Leaving:
			s.logServer(x).Info("Server is leaving.")
		}
	}
	for id := range *before {
		if !known[id] {
			s.log.WithFields(logrus.Fields{"server": id, "revision": s.serversRevision}).Info("Server is gone.")
		}
	}
}

// logUnusable tells and counts the entries that have come to name no server to
// use, or do so for another reason.
func (s *state) logUnusable(entries []discovery.Server) {
	now := make(map[string]string, len(entries))
	for _, x := range entries {
		now[x.ID] = x.Unusable
		if s.unusable[x.ID] == x.Unusable {
			continue
		}
		s.unusableEntries.Add(1)
		s.log.WithFields(logrus.Fields{"server": x.ID, "reason": x.Unusable, "revision": x.Revision}).Warn("Server's entry can't be used.")
	}
	s.unusable = now
}

func (s *state) logServer(x discovery.Server) *logrus.Entry {
	return s.log.WithFields(logrus.Fields{"server": x.ID, "service": x.Service, "address": x.Address, "incarnation": x.Incarnation(), "revision": s.serversRevision})
}

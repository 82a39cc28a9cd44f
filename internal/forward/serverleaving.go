package forward

// leavingValue is the value of the header by which a server says that it is leaving.
const leavingValue = "1"

// reportLeaving reports that a server's answer says that it is leaving: to this daemon, which
// sends it nothing from now on, and to the pool's owner. Other values count as nothing.
func (x *exchange) reportLeaving(a *attempt, r *reply) {
	value := r.header.Peek(x.server.wire.ServerLeaving)
	if len(value) == 0 {
		return
	}
	if string(value) != leavingValue {
		x.server.counters.invalidLeaving.Add(1)
		x.server.log.WithFields(x.requestFields()).WithField("value", string(value)).Debug("Invalid value of a server's leaving header.")
		return
	}
	x.server.deps.Admission.ServerLeaves(a.grant.Server())
	a.grant.Leaving()
}

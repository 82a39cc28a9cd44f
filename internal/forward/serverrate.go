package forward

import (
	"regexp"
	"strconv"
)

// decimalNumber is the form of a number in a server's answer; it has neither sign nor exponent.
var decimalNumber = regexp.MustCompile(`^[0-9]{1,9}(\.[0-9]{1,9})?$`)

// parseDecimal parses a decimal number; false if it is not valid.
func parseDecimal(value []byte) (number float64, ok bool) {
	if !decimalNumber.Match(value) {
		return 0, false
	}
	number, err := strconv.ParseFloat(string(value), 64)
	return number, err == nil
}

// reportRate reports the limit on requests per second that a server's answer names. A value
// that isn't valid counts as none. The answer of another server at the address says
// nothing about this one.
func (x *exchange) reportRate(a *attempt, r *reply) {
	value := r.header.Peek(x.server.wire.ServerRate)
	if len(value) == 0 || r.header.StatusCode() == statusMisdirectedRequest {
		return
	}
	perSecond, ok := parseDecimal(value)
	if !ok {
		x.server.counters.invalidRates.Add(1)
		x.server.log.WithFields(x.requestFields()).WithField("value", string(value)).Debug("Invalid rate limit of a server.")
		return
	}
	a.grant.RateLimited(max(perSecond, minReportedRate))
}

// reportBrittle reports that a server's answer names it brittle. A value that isn't valid
// counts as none.
func (x *exchange) reportBrittle(a *attempt, r *reply) {
	value := r.header.Peek(x.server.wire.ServerBrittle)
	if len(value) == 0 || r.header.StatusCode() == statusMisdirectedRequest {
		return
	}
	perSecond, ok := parseDecimal(value)
	if !ok {
		x.server.counters.invalidRates.Add(1)
		x.server.log.WithFields(x.requestFields()).WithField("value", string(value)).Debug("Invalid bound of a brittle server.")
		return
	}
	a.grant.Brittle(int(perSecond))
}

// minReportedRate stands for 0, which would be no limit at the pool's owner.
const minReportedRate = 0.001

package forward

import (
	"expvar"
	"regexp"
	"strconv"

	"github.com/valyala/fasthttp"
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

// statedNumber returns the number in a header by which a server states something of itself;
// false if there is none. One that isn't valid is counted and counts as none.
func (x *exchange) statedNumber(r *reply, header string, invalid *expvar.Int) (number float64, ok bool) {
	value := r.header.Peek(header)
	if len(value) == 0 {
		return 0, false
	}
	if number, ok = parseDecimal(value); !ok {
		invalid.Add(1)
		x.server.log.WithFields(x.requestFields()).WithField("header", header).WithField("value", string(value)).Debug("Invalid number in a server's answer.")
	}
	return number, ok
}

// reportStatements reports what a server's answer states of the server itself. The answer of
// another server at the address says nothing about this one.
func (x *exchange) reportStatements(a *attempt, r *reply) {
	if r.header.StatusCode() == statusMisdirectedRequest {
		return
	}
	wire, count := &x.server.wire, x.server.counters
	if perSecond, ok := x.statedNumber(r, wire.ServerRate, count.invalidRates); ok {
		a.grant.RateLimited(max(perSecond, minReportedRate))
	}
	if rejections, ok := x.statedNumber(r, wire.ServerBrittle, count.invalidRates); ok {
		a.grant.Brittle(int(rejections))
	}
	x.reportLeaving(a, r)
	if r.header.StatusCode() == fasthttp.StatusServiceUnavailable {
		x.reportPushback(a, r)
	}
}

// minReportedRate stands for 0, which would be no limit at the pool's owner.
const minReportedRate = 0.001

package httpconn

import (
	"net/textproto"
	"strings"
)

// hopByHopHeaders holds the headers that apply to one connection only, in canonical
// form. Forwarding one would let the two sides disagree on where a message ends (request
// smuggling).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true,
}

// HopByHop tells whether a header must not be forwarded. options holds the headers that
// the message's Connection header names, as ConnectionOptions returns them.
func HopByHop(name string, options map[string]bool) bool {
	name = textproto.CanonicalMIMEHeaderKey(name)
	return hopByHopHeaders[name] || options[name]
}

// ConnectionOptions returns the headers that a Connection header's value names, in
// canonical form. It returns nil for an empty value, "keep-alive" and "close".
func ConnectionOptions(value string) map[string]bool {
	if value == "" || strings.EqualFold(value, "keep-alive") || strings.EqualFold(value, "close") {
		return nil
	}
	options := map[string]bool{}
	for name := range strings.SplitSeq(value, ",") {
		options[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
	}
	return options
}

package httpconn

import (
	"net/textproto"
	"strings"
)

// hopByHop holds the headers that concern one connection only, in canonical
// form. To pass one on lets the two sides disagree on where a message ends
// (request smuggling).
var hopByHop = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true,
}

// HopByHop tells whether a header is not to be passed on. named holds those
// that the message's Connection header names, by ConnectionNames.
func HopByHop(name string, named map[string]bool) bool {
	name = textproto.CanonicalMIMEHeaderKey(name)
	return hopByHop[name] || named[name]
}

// ConnectionNames returns the headers that a Connection header's value names,
// in canonical form; nil where it names none but the usual two.
func ConnectionNames(value string) map[string]bool {
	if value == "" || strings.EqualFold(value, "keep-alive") || strings.EqualFold(value, "close") {
		return nil
	}
	named := map[string]bool{}
	for name := range strings.SplitSeq(value, ",") {
		named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
	}
	return named
}

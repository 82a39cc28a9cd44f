package httpservice

import "strings"

// ownHeaders belong to one connection or are set here. To pass them on lets
// the two sides disagree on where a message ends (request smuggling).
var ownHeaders = []string{
	"connection", "content-length", "expect", "host", "keep-alive", "proxy-authenticate", "proxy-authorization",
	"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "x-request-id",
}

// hopByHop returns the lower-case names of the headers that are not passed
// on: the fixed ones, and those that a Connection header names.
func hopByHop(header [][2]string) map[string]bool {
	skip := make(map[string]bool, len(ownHeaders))
	for _, name := range ownHeaders {
		skip[name] = true
	}
	for _, h := range header {
		if strings.EqualFold(h[0], "connection") {
			for _, name := range strings.Split(h[1], ",") {
				skip[strings.ToLower(strings.TrimSpace(name))] = true
			}
		}
	}
	return skip
}

// validToken reports whether s is a token of RFC 9110, as methods and header
// names are.
func validToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// validValue reports whether s can stand in a header's value.
func validValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// validPath reports whether s can stand in a request line.
func validPath(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

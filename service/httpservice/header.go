package httpservice

import (
	"maps"
	"net/textproto"
	"strings"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// adapterHeaders are set by the adapter itself; keys are in canonical form.
var adapterHeaders = map[string]bool{"Host": true, "X-Request-Id": true}

// endToEndHeaders returns the headers of a message that are forwarded.
func endToEndHeaders(header [][2]string) [][2]string {
	connectionOptions := map[string]bool{}
	for _, h := range header {
		if strings.EqualFold(h[0], "connection") {
			maps.Copy(connectionOptions, httpconn.ConnectionOptions(h[1]))
		}
	}
	var out [][2]string
	for _, h := range header {
		if !httpconn.HopByHop(h[0], connectionOptions) && !adapterHeaders[textproto.CanonicalMIMEHeaderKey(h[0])] {
			out = append(out, h)
		}
	}
	return out
}

// validToken reports whether s is a token of RFC 9110, the syntax of methods and header
// names.
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

// validValue reports whether s is a valid header value.
func validValue(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// validPath reports whether s is a valid path in a request line.
func validPath(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

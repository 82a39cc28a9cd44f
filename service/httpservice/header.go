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

// validPath reports whether s is a valid path in a request line.
func validPath(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

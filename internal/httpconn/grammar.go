package httpconn

import "strings"

// tokenBytes holds the bytes of tokens.
var tokenBytes = func() (t [256]bool) {
	for c := range t {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		t[c] = letter || c < 0x80 && strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c))
	}
	return t
}()

// ValidToken reports whether s is a token of RFC 9110, the syntax of methods and header
// names.
func ValidToken[T string | []byte](s T) bool {
	for i := 0; i < len(s); i++ {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return len(s) > 0
}

// ValidValue reports whether s is a valid header value: without control bytes but tabs.
func ValidValue[T string | []byte](s T) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

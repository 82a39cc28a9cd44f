package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// bearer returns the key of an Authorization header; false where there is none.
func bearer(h *fasthttp.RequestHeader) (string, bool) {
	scheme, key, ok := strings.Cut(string(h.Peek(fasthttp.HeaderAuthorization)), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return strings.TrimSpace(key), true
}

// milliseconds reads a header's whole number of milliseconds; false where it
// has none that is positive.
func milliseconds(value []byte) (time.Duration, bool) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || n <= 0 || n > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// maxHint bounds a caller's estimate of its answer's tokens: what is larger is
// an error of the caller's.
const maxHint = 1 << 20

// lengthHint reads a number of tokens; zero where the caller gave none.
func lengthHint(value []byte) int {
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 0 || n > maxHint {
		return 0
	}
	return n
}

// retryAfter spells a Retry-After in seconds with a fraction.
func retryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

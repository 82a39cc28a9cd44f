package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// bearerKey returns the key of an Authorization header; false where there is none.
func bearerKey(h *fasthttp.RequestHeader) (string, bool) {
	scheme, key, ok := strings.Cut(string(h.Peek(fasthttp.HeaderAuthorization)), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return strings.TrimSpace(key), true
}

// parseMilliseconds reads a header's whole number of milliseconds; false where it
// has none that is positive.
func parseMilliseconds(value []byte) (time.Duration, bool) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || n <= 0 || n > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// maxLengthHint bounds a caller's estimate of its answer's tokens: what is larger is
// an error of the caller's.
const maxLengthHint = 1 << 20

// parseLengthHint reads a number of tokens; zero where the caller gave none.
func parseLengthHint(value []byte) int {
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 0 || n > maxLengthHint {
		return 0
	}
	return n
}

// formatRetryAfter spells a Retry-After in seconds with a fraction.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// bearerKey returns the key of an Authorization header; false if there is none.
func bearerKey(h *fasthttp.RequestHeader) (string, bool) {
	scheme, key, ok := strings.Cut(string(h.Peek(fasthttp.HeaderAuthorization)), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return strings.TrimSpace(key), true
}

// holdsKey reports whether a value of Authorization may hold a key, in force or not.
func holdsKey(value []byte) bool {
	const scheme = "bearer"
	return len(value) >= len(scheme) && strings.EqualFold(string(value[:len(scheme)]), scheme)
}

// parseMilliseconds parses a whole number of milliseconds; false if it is not positive or
// exceeds 24 h.
func parseMilliseconds(value []byte) (time.Duration, bool) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || n <= 0 || n > int64(24*time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// maxLengthHint bounds, in tokens, a caller's estimate of its answer's length. A larger
// value is a mistake of the caller.
const maxLengthHint = 1 << 20

// parseLengthHint parses a number of tokens; 0 if it is missing or not valid.
func parseLengthHint(value []byte) int {
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 0 || n > maxLengthHint {
		return 0
	}
	return n
}

// formatRetryAfter formats a Retry-After value as seconds with three decimals.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

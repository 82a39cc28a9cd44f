package explain

import (
	"cmp"
	"slices"
	"time"
)

// RetrySecond counts the retries of one service within one second, over all daemons.
type RetrySecond struct {
	At      time.Time
	Service string
	// Allowed and Denied count the decisions of the retry budget, Sent what was sent to a
	// server, Withdrawn what was allowed and was not any more when it would have been sent.
	Allowed, Denied, Sent, Withdrawn int
	// WaitMs is the longest time from permission to send, in milliseconds.
	WaitMs int
}

type retryKey struct {
	at      time.Time
	service string
}

func (c *LossCollector) addRetry(l Line) {
	k := retryKey{l.Time.Truncate(time.Second), stringField(l, "service")}
	row := c.retries[k]
	if row == nil {
		if len(c.retries) >= maxRows {
			return // the logs cover more than maxRows seconds with retries
		}
		row = &RetrySecond{At: k.at, Service: k.service}
		c.retries[k] = row
	}
	switch l.Message {
	case "Retry allowed.":
		row.Allowed++
	case "Retry denied.":
		row.Denied++
	case "Retry withdrawn.":
		row.Withdrawn++
	case "Retry sent.":
		row.Sent++
		row.WaitMs = max(row.WaitMs, intField(l, "since_allowed_ms"))
	}
}

func (c *LossCollector) sortedRetries() (out []RetrySecond) {
	for _, row := range c.retries {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b RetrySecond) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Service, b.Service))
	})
	return out
}

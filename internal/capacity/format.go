package capacity

import "fmt"

// formatCount formats a count with two or three significant digits; from 100 on it
// rounds to an integer.
func formatCount(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2g", v)
	}
}

// formatBytes formats a size in the largest unit in which it is at least 1.
func formatBytes(v float64) string {
	const step = 1024
	switch {
	case v == 0:
		return "0"
	case v < step:
		return fmt.Sprintf("%.0f B", v)
	case v < step*step:
		return fmt.Sprintf("%.1f KB", v/step)
	default:
		return fmt.Sprintf("%.1f MB", v/(step*step))
	}
}

// formatPercent formats a fraction of a core as a percentage.
func formatPercent(v float64) string { return fmt.Sprintf("%.2g%%", 100*v) }

// formatSeconds formats a time in seconds; 0 becomes "-".
func formatSeconds(v float64) string {
	if v == 0 {
		return "-"
	}
	if v < 0.1 {
		return fmt.Sprintf("%.2g ms", 1000*v)
	}
	return fmt.Sprintf("%.1f s", v)
}

// formatBounded formats a value and marks it if it exceeds its bound.
func formatBounded(v, bound float64, format func(float64) string) string {
	if v > bound {
		return fmt.Sprintf("**%s, over**", format(v))
	}
	return format(v)
}

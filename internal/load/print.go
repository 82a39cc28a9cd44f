package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes the report as text tables.
func (rep *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "mix %s, seed %d: %d sent in %s (%.1f/s), tool late by p99 %.1f ms\n\n",
		rep.Mix, rep.Seed, rep.Sent, time.Duration(rep.DurationMs)*time.Millisecond, rep.PerSecond, rep.SendLag.P99)
	fmt.Fprintln(w, "TIER\tOFFERED\tWHOLE\tGOOD\tGOODPUT\tLEFT\tFIRST TOKEN P50/P95/P99 MS\tPER TOKEN P95 MS\tTOTAL P50/P99 MS\tMISSED")
	for _, t := range rep.Tiers {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.4f\t%d\t%.1f / %.1f / %.1f\t%.2f\t%.1f / %.1f\t%s\n",
			t.Tier, t.Offered, t.Complete, t.Good, t.Goodput, t.Disconnected, t.FirstToken.P50, t.FirstToken.P95,
			t.FirstToken.P99, t.PerToken.P95, t.Total.P50, t.Total.P99, FormatCounts(t.Missed))
	}
	fmt.Fprintln(w, "\nENDING\tCALLERS")
	for _, e := range Outcomes() {
		fmt.Fprintf(w, "%s\t%d\n", e, rep.Outcomes[e])
	}
	fmt.Fprintf(w, "\nrefusals by reason: %s\n", FormatCounts(rep.Refusals))
	return w.Flush()
}

// FormatCounts formats counts, sorted by name.
func FormatCounts[K ~string](m map[K]int) string {
	if len(m) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(m))
	for k, n := range m {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// Line formats the progress as one terminal line.
func (p Progress) Line() string {
	return fmt.Sprintf("%6.1fs  sent %d of %d  waiting %d  good %d", p.Elapsed.Seconds(), p.Sent, p.Planned, p.Sent-p.Finished, p.Good)
}

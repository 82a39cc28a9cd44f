package experiment

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/lycheekeel/lycheekeel/internal/load"
)

// Print writes the outcome as text tables.
func (o *Outcome) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	tiers := load.TiersByPriority(o.mix)
	fmt.Fprintf(w, "scenario %s, seed %d: %d requests in %.0f s\n", o.Scenario, o.Seed, o.Arrivals, float64(o.DurationMs)/1000)
	fmt.Fprintf(w, "offered load over capacity: mean %.2f, busiest second %.2f (all shared prefixes cached: %.2f, %.2f); by tier, mean / busiest second:",
		o.Offered.All.Mean, o.Offered.All.Peak, o.Offered.PrefixesCached.Mean, o.Offered.PrefixesCached.Peak)
	for _, t := range tiers {
		fmt.Fprintf(w, " %s %.2f / %.2f", t, o.Offered.ByTier[t].Mean, o.Offered.ByTier[t].Peak)
	}
	fmt.Fprintf(w, "\n\nPOLICY\t%s\tTOTAL\tWASTED PREFILL\tREUSE / ALL-KNOWING\tFIRST TOKEN P95 MS %s / ALL\tPER TOKEN P95 MS\tVIOLATIONS\n",
		strings.ToUpper(strings.Join(tiers, "\t")), strings.ToUpper(tiers[0]))
	for _, p := range o.Order {
		r := o.Policies[p]
		fmt.Fprintf(w, "%s", p)
		for _, t := range tiers {
			fmt.Fprintf(w, "\t%.4f", r.Goodput[t])
		}
		fmt.Fprintf(w, "\t%.4f\t%.4f\t%.3f / %.3f\t%.0f / %.0f\t%.1f\t%s\n", r.TotalGoodput, r.WastedPrefillFraction,
			r.Prefill.Reuse, r.Prefill.ReuseBound, r.Report.Tiers[0].FirstToken.P95, r.FirstTokenP95Ms, r.TpotP95Ms, load.FormatCounts(r.Violations))
	}
	fmt.Fprintln(w, "\nPOLICY\tREFUSALS\tENDINGS OTHER THAN WHOLE AND REFUSED\t"+strings.ToUpper(tiers[0])+" MISSED\tTOOL LATE P99 MS")
	for _, p := range o.Order {
		r := o.Policies[p]
		other := map[load.Outcome]int{}
		for e, n := range r.Report.Outcomes {
			if n > 0 && e != load.OutcomeComplete && e != load.OutcomeRefused {
				other[e] = n
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\n", p, load.FormatCounts(r.Refusals), load.FormatCounts(other), load.FormatCounts(r.Report.Tiers[0].Missed), r.Report.SendLag.P99)
	}
	return w.Flush()
}

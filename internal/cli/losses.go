package cli

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lycheekeel/lycheekeel/internal/explain"
)

func init() { register(addLosses) }

// addLosses adds the command losses.
func addLosses(app *kingpin.Application, g *globals) {
	cmd := app.Command("losses", "Sum up where requests were refused or lost, from the logs of many VMs.")
	rows := cmd.Flag("rows", "Rows of each table.").Default("25").Int()
	files := cmd.Arg("file", "Logs; - or none reads standard input.").Strings()
	cmd.Action(run(func() error {
		c := explain.NewLossCollector()
		if err := readLogs(c.Read, *files); err != nil {
			return err
		}
		if g.output == outputJSON {
			return g.printJSON(c.Losses())
		}
		return g.printLosses(c.Losses(), *rows)
	}))
}

func (g *globals) printLosses(x explain.Losses, rows int) error {
	fmt.Fprintf(g.stdout, "%d answered, %d streams cut, %d without an end; %d lines read, %d of another kind\n", x.Answered, x.Cut, len(x.Unended), x.Read, x.Skipped)
	for _, table := range []struct {
		title  string
		header []string
		rows   [][]string
	}{
		{"classes", []string{"served", "route", "tier", "answered", "refused"}, classRows(x)},
		{"refusals", []string{"count", "reason", "tier", "route", "workspace", "held ms", "told to come back after ms, p10 p50 p90"}, refusalRows(x)},
		{"refusals by second", []string{"second", "reasons"}, secondRows(x)},
		{"pools by second", []string{"second", "tiers: granted, granted late, shed, expired, slot ms"}, poolSecondRows(x)},
		{"failed sends", []string{"count", "server", "cause"}, failureRows(x)},
		{"ran on without an end", []string{"at", "vm", "request", "server"}, unendedRows(x)},
		{"starts", []string{"at", "vm", "first answer after ms"}, startRows(x)},
		{"pools that shed", []string{"at", "pool", "shed", "running", "free", "lost runs"}, crowdRows(x)},
	} {
		fmt.Fprintf(g.stdout, "\n%s (%d):\n", table.title, len(table.rows))
		if err := g.printTable(table.header, table.rows[:min(rows, len(table.rows))]); err != nil {
			return err
		}
	}
	return nil
}

func refusalRows(x explain.Losses) (out [][]string) {
	for _, r := range x.Refusals {
		told := fmt.Sprintf("%d %d %d", r.RetryAfterMs[0], r.RetryAfterMs[1], r.RetryAfterMs[2])
		out = append(out, []string{strconv.Itoa(r.Count), r.Reason, strconv.Itoa(r.Tier), r.Route, r.Workspace, fmt.Sprintf("%.0f", r.HeldMs), told})
	}
	return out
}

func classRows(x explain.Losses) (out [][]string) {
	for _, c := range x.Classes {
		out = append(out, []string{fmt.Sprintf("%.3f", c.Served()), c.Route, strconv.Itoa(c.Tier), strconv.Itoa(c.Answered), strconv.Itoa(c.Refused)})
	}
	return out
}

func poolSecondRows(x explain.Losses) (out [][]string) {
	for _, s := range x.PoolSeconds {
		var tiers []string
		for t := range s.Granted {
			row := []int{s.Granted[t], s.GrantedLate[t], s.Shed[t], s.Expired[t], s.SlotMs[t]}
			if slices.Max(row) > 0 {
				tiers = append(tiers, fmt.Sprintf("%d: %d %d %d %d %d", t, row[0], row[1], row[2], row[3], row[4]))
			}
		}
		out = append(out, []string{s.At.Format(clockFormat), strings.Join(tiers, "; ")})
	}
	return out
}

func secondRows(x explain.Losses) (out [][]string) {
	for _, s := range x.Seconds {
		var reasons []string
		for reason, n := range s.Reasons {
			reasons = append(reasons, fmt.Sprintf("%s %d", reason, n))
		}
		slices.Sort(reasons)
		out = append(out, []string{s.At.Format(clockFormat), strings.Join(reasons, ", ")})
	}
	return out
}

func failureRows(x explain.Losses) (out [][]string) {
	for _, f := range x.Servers {
		out = append(out, []string{strconv.Itoa(f.Count), f.Server, f.Cause})
	}
	return out
}

func unendedRows(x explain.Losses) (out [][]string) {
	for _, u := range x.Unended {
		out = append(out, []string{u.At.Format(clockFormat), u.VM, u.Request, u.Server})
	}
	return out
}

func startRows(x explain.Losses) (out [][]string) {
	for _, s := range x.Starts {
		out = append(out, []string{s.At.Format(clockFormat), s.VM, strconv.FormatInt(s.FirstMs, 10)})
	}
	return out
}

func crowdRows(x explain.Losses) (out [][]string) {
	for _, c := range x.Crowds {
		out = append(out, []string{c.At.Format(clockFormat), c.Pool, strconv.Itoa(c.Shed), strconv.Itoa(c.Running), strconv.Itoa(c.Free), strconv.Itoa(c.Lost)})
	}
	return out
}

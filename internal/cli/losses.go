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
	cmd := app.Command("losses", "Summarize refused and lost requests from the logs of many VMs.")
	rows := cmd.Flag("rows", "Maximum number of rows of each table.").Default("25").Int()
	files := cmd.Arg("file", "Log files; - or none reads standard input.").Strings()
	cmd.Action(action(func() error {
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

func (g *globals) printLosses(losses explain.Losses, rows int) error {
	fmt.Fprintf(g.stdout, "%d answered, %d streams cut, %d without an end; %d lines read, %d of another kind\n", losses.Answered, losses.Cut, len(losses.Unended), losses.Read, losses.Skipped)
	for _, table := range []struct {
		title  string
		header []string
		rows   [][]string
	}{
		{"classes", []string{"served", "route", "tier", "answered", "refused"}, classRows(losses)},
		{"refusals", []string{"count", "reason", "tier", "route", "workspace", "held ms", "told to come back after ms, p10 p50 p90"}, refusalRows(losses)},
		{"refusals by second", []string{"second", "reasons"}, secondRows(losses)},
		{"pools by second", []string{"second", "tiers: granted, granted late, shed, expired, slot ms"}, poolSecondRows(losses)},
		{"retries by second", []string{"second", "service", "allowed", "denied", "sent", "withdrawn", "longest ms from permission to send"}, retryRows(losses)},
		{"failed sends", []string{"count", "server", "cause"}, failureRows(losses)},
		{"ran on without an end", []string{"at", "vm", "request", "server"}, unendedRows(losses)},
		{"starts", []string{"at", "vm", "first answer after ms"}, startRows(losses)},
		{"pools that shed", []string{"at", "pool", "shed", "running", "free", "lost runs"}, overloadRows(losses)},
	} {
		fmt.Fprintf(g.stdout, "\n%s (%d):\n", table.title, len(table.rows))
		if err := g.printTable(table.header, table.rows[:min(rows, len(table.rows))]); err != nil {
			return err
		}
	}
	return nil
}

func refusalRows(losses explain.Losses) (out [][]string) {
	for _, r := range losses.Refusals {
		retryAfter := fmt.Sprintf("%d %d %d", r.RetryAfterMs[0], r.RetryAfterMs[1], r.RetryAfterMs[2])
		out = append(out, []string{strconv.Itoa(r.Count), r.Reason, strconv.Itoa(r.Tier), r.Route, r.Workspace, fmt.Sprintf("%.0f", r.HeldMs), retryAfter})
	}
	return out
}

func classRows(losses explain.Losses) (out [][]string) {
	for _, c := range losses.Classes {
		out = append(out, []string{fmt.Sprintf("%.3f", c.Served()), c.Route, strconv.Itoa(c.Tier), strconv.Itoa(c.Answered), strconv.Itoa(c.Refused)})
	}
	return out
}

func poolSecondRows(losses explain.Losses) (out [][]string) {
	for _, s := range losses.PoolSeconds {
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

func secondRows(losses explain.Losses) (out [][]string) {
	for _, s := range losses.Seconds {
		var reasons []string
		for reason, n := range s.Reasons {
			reasons = append(reasons, fmt.Sprintf("%s %d", reason, n))
		}
		slices.Sort(reasons)
		out = append(out, []string{s.At.Format(clockFormat), strings.Join(reasons, ", ")})
	}
	return out
}

func retryRows(losses explain.Losses) (out [][]string) {
	for _, s := range losses.Retries {
		out = append(out, []string{
			s.At.Format(clockFormat), s.Service, strconv.Itoa(s.Allowed), strconv.Itoa(s.Denied), strconv.Itoa(s.Sent), strconv.Itoa(s.Withdrawn), strconv.Itoa(s.WaitMs),
		})
	}
	return out
}

func failureRows(losses explain.Losses) (out [][]string) {
	for _, f := range losses.Servers {
		out = append(out, []string{strconv.Itoa(f.Count), f.Server, f.Cause})
	}
	return out
}

func unendedRows(losses explain.Losses) (out [][]string) {
	for _, u := range losses.Unended {
		out = append(out, []string{u.At.Format(clockFormat), u.VM, u.Request, u.Server})
	}
	return out
}

func startRows(losses explain.Losses) (out [][]string) {
	for _, s := range losses.Starts {
		out = append(out, []string{s.At.Format(clockFormat), s.VM, strconv.FormatInt(s.FirstMs, 10)})
	}
	return out
}

func overloadRows(losses explain.Losses) (out [][]string) {
	for _, c := range losses.Crowds {
		out = append(out, []string{c.At.Format(clockFormat), c.Pool, strconv.Itoa(c.Shed), strconv.Itoa(c.Running), strconv.Itoa(c.Free), strconv.Itoa(c.Lost)})
	}
	return out
}

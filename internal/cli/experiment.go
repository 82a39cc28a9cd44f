package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/experiment"
	"github.com/lycheekeel/lycheekeel/internal/load"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/scenarios"
)

// Names of the files that the command experiment writes.
const (
	experimentReportFile = "experiment.json"
	experimentPlotFile   = "experiment.png"
	experimentTableFile  = "experiment.txt"
)

// policies are all scheduling policies.
var policies = []pool.Policy{pool.PolicyLycheekeel, pool.PolicyRoundRobin, pool.PolicyLeastOutstanding, pool.PolicyFIFO}

// experimentFlags are the flags of the command experiment.
type experimentFlags struct {
	scenario      string
	policies      string
	seed          uint64
	out           string
	json          bool
	long          bool
	withoutFaults bool
}

func init() { register(addExperiment) }

// addExperiment adds the command experiment.
func addExperiment(app *kingpin.Application, g *globals) {
	var f experimentFlags
	cmd := app.Command("experiment", "Compare scheduling policies in real time: the production code with stand-in engines, and the same arrivals for each policy.")
	cmd.Flag("scenario", "Scenario file (JSON), or the name of a built-in scenario: "+strings.Join(scenarios.Names(), ", ")+".").Required().StringVar(&f.scenario)
	cmd.Flag("policies", "Policies to compare, separated by commas.").Default(joinPolicies()).StringVar(&f.policies)
	cmd.Flag("seed", "The same seed gives the same arrivals.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("out", "Directory for the table, "+experimentReportFile+" and "+experimentPlotFile+"; without it no file is written.").StringVar(&f.out)
	cmd.Flag("json", "Print the outcome as JSON, as -o json does.").BoolVar(&f.json)
	cmd.Flag("long", "Run for the scenario's long duration, if it has one.").BoolVar(&f.long)
	cmd.Flag("without-faults", "Omit the scenario's timed faults, for a baseline run.").BoolVar(&f.withoutFaults)
	cmd.Action(action(func() error { return f.run(g) }))
}

func joinPolicies() string {
	names := make([]string, len(policies))
	for i, p := range policies {
		names[i] = string(p)
	}
	return strings.Join(names, ",")
}

func (f *experimentFlags) run(g *globals) error {
	o, err := f.options()
	if err != nil {
		return err
	}
	var progressLine atomic.Pointer[string]
	o.Progress = func(p pool.Policy, progress load.Progress) {
		s := fmt.Sprintf("%-18s %s", p, progress.Line())
		progressLine.Store(&s)
	}
	stop := showProgress(g.stderr, func() string {
		if s := progressLine.Load(); s != nil {
			return *s
		}
		return "starting"
	})
	out, err := experiment.Run(g.ctx, o)
	stop()
	if err != nil {
		return err
	}
	return f.write(g, out)
}

// options checks the flags and returns the experiment's options.
func (f *experimentFlags) options() (experiment.Options, error) {
	o := experiment.Options{Seed: f.seed, Long: f.long, WithoutFaults: f.withoutFaults}
	file, data, err := readFileOrShipped(f.scenario, scenarios.Scenario)
	if err != nil {
		return o, withExit(ExitUsage, err)
	}
	if o.Scenario, err = experiment.Parse(file, data); err != nil {
		return o, withExit(ExitFindings, err)
	}
	for _, name := range strings.Split(f.policies, ",") {
		p, err := parsePolicy(strings.TrimSpace(name))
		if err != nil {
			return o, withExit(ExitUsage, err)
		}
		o.Policies = append(o.Policies, p)
	}
	return o, nil
}

func parsePolicy(name string) (pool.Policy, error) {
	for _, p := range policies {
		if string(p) == name {
			return p, nil
		}
	}
	return "", errors.Errorf("--policies: %q is not one of %s", name, joinPolicies())
}

func (f *experimentFlags) write(g *globals, out *experiment.Outcome) error {
	if f.out != "" {
		if err := f.writeFiles(out); err != nil {
			return err
		}
	}
	if f.json || g.output == outputJSON {
		return g.printJSON(out)
	}
	return out.Print(g.stdout)
}

func (f *experimentFlags) writeFiles(out *experiment.Outcome) error {
	if err := os.MkdirAll(f.out, 0o755); err != nil {
		return errors.Wrap(err, "--out")
	}
	table, err := os.Create(filepath.Join(f.out, experimentTableFile))
	if err != nil {
		return errors.Wrap(err, "create table")
	}
	if err := out.Print(table); err != nil {
		_ = table.Close()
		return errors.Wrap(err, "write table")
	}
	if err := table.Close(); err != nil {
		return errors.Wrap(err, "close table")
	}
	if err := writeJSON(filepath.Join(f.out, experimentReportFile), out); err != nil {
		return err
	}
	return out.WritePlot(filepath.Join(f.out, experimentPlotFile))
}

package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/mattn/go-isatty"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/load"
	"github.com/lycheekeel/lycheekeel/scenarios"
)

// Names of the files that the command load writes.
const (
	loadReportFile = "load.json"
	loadPlotFile   = "load.png"
)

// progressInterval is the interval at which the progress line is redrawn.
const progressInterval = 250 * time.Millisecond

// loadFlags are the flags of the command load.
type loadFlags struct {
	targets  string
	mix      string
	keys     string
	rate     float64
	duration time.Duration
	seed     uint64
	out      string
}

func init() { register(addLoad) }

// addLoad adds the command load.
func addLoad(app *kingpin.Application, g *globals) {
	var f loadFlags
	cmd := app.Command("load", "Send requests to entries at scheduled times (open loop), check every answer and report goodput by tier.")
	cmd.Flag("target", "Addresses of entries, http://HOST:PORT, separated by commas.").Required().StringVar(&f.targets)
	cmd.Flag("mix", "Mix of request classes: a JSON file, or the name of a built-in mix: "+strings.Join(scenarios.Mixes(), ", ")+".").Required().StringVar(&f.mix)
	cmd.Flag("keys", "Bearer keys by workspace: a JSON object, a file with one, or the output of 'lycheekeel demo --json'.").Required().StringVar(&f.keys)
	cmd.Flag("rate", "Requests per second of all classes together, outside bursts; 0 takes the rate of the mix.").Float64Var(&f.rate)
	cmd.Flag("duration", "How long to send requests.").Default("10s").DurationVar(&f.duration)
	cmd.Flag("seed", "The same seed gives the same arrivals.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("out", "Directory for "+loadReportFile+" and "+loadPlotFile+"; without it no file is written.").StringVar(&f.out)
	cmd.Action(action(func() error { return f.run(g) }))
}

func (f *loadFlags) run(g *globals) error {
	r, err := f.prepare()
	if err != nil {
		return err
	}
	stop := showProgress(g.stderr, func() string { return r.Progress(time.Now()).Line() })
	results := r.Do(g.ctx)
	stop()
	report := load.Summarize(r.Mix, f.seed, f.duration, results)
	if err := f.write(g, r.Mix, report, results); err != nil {
		return err
	}
	if n := report.Outcomes[load.OutcomeNotSent]; n > 0 && n == report.Sent {
		return withExit(ExitUnreachable, errors.Errorf("no connection to %s", f.targets))
	}
	if n := report.InvalidOutcomes(); n > 0 {
		return errors.Errorf("%d callers got a lost, cut, doubled, crossed or wrong answer", n)
	}
	return nil
}

// prepare checks the flags and returns the run.
func (f *loadFlags) prepare() (*load.Run, error) {
	if f.duration <= 0 || f.rate < 0 {
		return nil, withExit(ExitUsage, errors.New("--duration must be above 0 and --rate must not be negative"))
	}
	file, data, err := readFileOrShipped(f.mix, scenarios.Mix)
	if err != nil {
		return nil, withExit(ExitUsage, err)
	}
	mix, err := load.ParseMix(file, data)
	if err != nil {
		return nil, withExit(ExitFindings, err)
	}
	if f.rate > 0 {
		mix.Scale(f.rate / mix.TotalRate())
	}
	keys, err := readKeys(f.keys)
	if err != nil {
		return nil, withExit(ExitUsage, err)
	}
	targets, err := parseTargets(f.targets)
	if err != nil {
		return nil, withExit(ExitUsage, err)
	}
	r := &load.Run{Mix: mix, Arrivals: load.Arrivals(mix, f.seed, f.duration), Targets: targets, Keys: keys}
	return r, withExit(ExitUsage, r.Check())
}

func (f *loadFlags) write(g *globals, mix *load.Mix, report *load.Report, results []load.Result) error {
	if f.out != "" {
		if err := os.MkdirAll(f.out, 0o755); err != nil {
			return errors.Wrap(err, "--out")
		}
		if err := writeJSON(filepath.Join(f.out, loadReportFile), report); err != nil {
			return err
		}
		if err := load.WritePlot(filepath.Join(f.out, loadPlotFile), mix, f.duration, results); err != nil {
			return err
		}
	}
	if g.output == outputJSON {
		return g.printJSON(report)
	}
	return report.Print(g.stdout)
}

// readFileOrShipped returns the built-in data of that name, or else the contents
// of the file.
func readFileOrShipped(name string, shipped func(string) ([]byte, bool)) (file string, data []byte, err error) {
	if data, ok := shipped(name); ok {
		return name, data, nil
	}
	data, err = os.ReadFile(name)
	return name, data, errors.Wrapf(err, "%s is not a built-in name and can't be read as a file", name)
}

// readKeys reads the keys from JSON text or from a file that contains it. The JSON
// object either maps workspaces to keys or has such a map in its member "keys".
func readKeys(arg string) (map[string]string, error) {
	data := []byte(arg)
	if !strings.HasPrefix(strings.TrimSpace(arg), "{") {
		var err error
		if data, err = os.ReadFile(arg); err != nil {
			return nil, errors.Wrap(err, "--keys")
		}
	}
	var demoOutput struct {
		Keys map[string]string `json:"keys"`
	}
	if err := json.Unmarshal(data, &demoOutput); err == nil && demoOutput.Keys != nil {
		return demoOutput.Keys, nil
	}
	var keys map[string]string
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, errors.New("--keys: want {\"workspace\":\"key\"}, or the line that 'lycheekeel demo --json' prints")
	}
	return keys, nil
}

// parseTargets returns the host:port of each URL in a comma-separated list.
func parseTargets(urls string) ([]string, error) {
	var out []string
	for _, u := range strings.Split(urls, ",") {
		host := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(u), "http://"), "/")
		if host == "" || strings.ContainsAny(host, "/ ") || !strings.Contains(host, ":") {
			return nil, errors.Errorf("--target: %q is not http://HOST:PORT", u)
		}
		out = append(out, host)
	}
	return out, nil
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, path)
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write file")
}

// showProgress redraws a progress line periodically if out is a terminal, and does
// nothing otherwise. The returned function stops it and clears the line.
func showProgress(out io.Writer, line func() string) (stop func()) {
	file, ok := out.(*os.File)
	if !ok || !isTerminal(file) {
		return func() {}
	}
	done := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(progressInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				fmt.Fprint(file, "\r\x1b[K")
				return
			case <-t.C:
				fmt.Fprintf(file, "\r\x1b[K%s", line())
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

func isTerminal(f *os.File) bool { return isatty.IsTerminal(f.Fd()) }

package cli

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/experiment"
)

// rolloutFlags are the flags of the command rollouts.
type rolloutFlags struct {
	setting     experiment.RolloutSetting
	duration    time.Duration
	rates       []int
	runsPerCase int
	seed        uint64
}

func init() { register(addRollouts) }

// addRollouts adds the command rollouts.
func addRollouts(app *kingpin.Application, g *globals) {
	var f rolloutFlags
	cmd := app.Command("rollouts", "Simulate rollouts of good and bad versions with the production decider and print their outcomes.")
	cmd.Flag("rate", "Requests per second of the service; may be repeated.").Default("10", "100", "600").IntsVar(&f.rates)
	cmd.Flag("within", "Maximum duration of a rollout.").Default("12s").DurationVar(&f.duration)
	cmd.Flag("share", "Maximum share of the requests that a bad version may get, from 0 to 1.").Default("0.1").Float64Var(&f.setting.Bounds.Share)
	cmd.Flag("slack", "Number of requests that it may get beyond the share.").Default("50").Float64Var(&f.setting.Bounds.Slack)
	cmd.Flag("stable-fails", "Share of the stable version's answers that fail, from 0 to 1.").Default("0.01").Float64Var(&f.setting.StableFailureShare)
	cmd.Flag("servers", "Number of servers of each version.").Default("20").IntVar(&f.setting.Servers)
	cmd.Flag("played", "Number of rollouts simulated per case.").Default("500").IntVar(&f.runsPerCase)
	cmd.Flag("seed", "The same seed gives the same rollouts.").Default("1").Uint64Var(&f.seed)
	cmd.Action(action(func() error { return f.run(g) }))
}

// check returns one error that lists all invalid flags.
func (f *rolloutFlags) check() error {
	b := f.setting.Bounds
	var problems []string
	for _, x := range []struct {
		wrong  bool
		reason string
	}{
		{slices.ContainsFunc(f.rates, func(n int) bool { return n < 1 }), "--rate must be at least 1"},
		{f.duration <= 0, "--within must be above 0"},
		{!(b.Share > 0 && b.Share <= 1), "--share must be above 0 and at most 1"},
		{!(b.Slack >= 0), "--slack must not be negative"},
		{!(f.setting.StableFailureShare >= 0 && f.setting.StableFailureShare < 1), "--stable-fails must be at least 0 and below 1"},
		{f.setting.Servers < 1, "--servers must be at least 1"},
		{f.runsPerCase < 1, "--played must be at least 1"},
	} {
		if x.wrong {
			problems = append(problems, x.reason)
		}
	}
	if problems == nil {
		return nil
	}
	return withExit(ExitUsage, errors.New(strings.Join(problems, "; ")))
}

func (f *rolloutFlags) run(g *globals) error {
	if err := f.check(); err != nil {
		return err
	}
	f.setting.Duration = f.duration
	fmt.Fprintln(g.stdout, experiment.RolloutHeader)
	for _, rate := range f.rates {
		for _, c := range experiment.RolloutCases(rate) {
			if err := g.ctx.Err(); err != nil {
				return err
			}
			fmt.Fprintln(g.stdout, experiment.SimulateRollouts(f.setting, c, f.runsPerCase, f.seed).Line())
		}
	}
	return nil
}
